//! Tests of configuration versions: the part that all gateways share, and how it is merged with each gateway's own
//! file.

mod harness;

use std::sync::Arc;

use dunemount::config::version::{overlay, shared_part, validate, ConfigSource};
use dunemount::config::ActiveConfig;
use dunemount::settings::Zones;
use dunemount_rollout::version::{Digest, Document, Version};
use serde_json::{json, Value};

fn gateway_file(name: &str) -> Value {
    json!({"name": name, "listen": "127.0.0.1:1", "admin_addr": "127.0.0.1:2", "discovery": "127.0.0.1:3",
        "seed": "1f", "limits": {"sockets": 100}, "known": {"rev": 0, "all": true, "targets": []},
        "settings": harness::settings()})
}

/// The settings that all gateways share.
fn shared_settings() -> Value {
    let mut settings = harness::settings();
    settings.as_object_mut().expect("an object").remove("Zone").expect("a zone");
    settings
}

fn read(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes).expect("JSON")
}

/// Guards against gateway keys in a version, whether it is made from a complete file or from the shared part only.
#[test]
fn a_version_has_only_the_keys_that_all_gateways_share() {
    let complete = gateway_file("gw").to_string();
    let shared = json!({"discovery": "127.0.0.1:3", "settings": shared_settings()});
    assert_eq!(read(&shared_part(&complete).expect("usable")), shared);
    assert_eq!(read(&shared_part(&shared.to_string()).expect("usable")), shared);
    let settings = json!({"settings": shared_settings()});
    assert_eq!(read(&shared_part(&settings.to_string()).expect("usable")), settings, "discovery is optional");
    assert_eq!(shared_part("{").expect_err("cut off").line, 1);
    for bad in ["{}", "[]", "1", "", "{\"settings\": {}}", "{\"name\": \"gw\"}"] {
        assert!(shared_part(bad).is_err(), "{bad}");
    }
}

/// Guards the line of an error: it is the line in the operator's text, whether or not that has the gateway's keys.
#[test]
fn an_error_has_the_line_in_the_text_of_the_operator() {
    let shared = json!({"kind": "settings", "settings": shared_settings()});
    for file in [gateway_file("gw"), shared] {
        for (pointer, value) in [
            ("/settings/Safety/FallMs", json!("x")),
            ("/settings/Zone", json!(7)),
            ("/settings/Permissions/SendCap", json!(0)),
        ] {
            let mut bad = file.clone();
            // The shared part has no zone.
            let Some(target) = bad.pointer_mut(pointer) else { continue };
            *target = value;
            let text = format!("\n{bad:#}\n\n");
            let key = format!("\"{}\":", pointer.rsplit('/').next().expect("a key"));
            let line = text.lines().position(|line| line.contains(&key)).expect("the key's line") + 1;
            assert_eq!(shared_part(&text).expect_err(pointer).line, line, "{pointer}");
        }
    }
    let mut bad = gateway_file("gw");
    bad["admin_addr"] = json!("nowhere");
    let error = shared_part(&format!("{bad:#}")).expect_err("no address");
    assert_eq!((error.line, error.error.to_string().contains("admin_addr")), (2, true), "{error}");
}

/// Guards the control server's check of a new version: a document with gateway keys, without keys of the previous
/// version or with unusable values is refused. A previous version that is no longer usable does not block the next
/// one.
#[test]
fn a_document_is_checked_against_the_previous_version() {
    let settings = json!({"settings": shared_settings()});
    let with = json!({"discovery": "127.0.0.1:3", "settings": shared_settings()});
    let (settings, with) = (settings.to_string(), with.to_string());
    let check = |document: &str, previous: Option<&str>| {
        validate(document.as_bytes(), previous.map(str::as_bytes)).map_err(|error| error.error.to_string())
    };
    assert_eq!(check(&settings, None), Ok(()));
    assert_eq!(check(&with, Some(&settings)), Ok(()));
    assert_eq!(check(&settings, Some(&with)), Err("discovery: missing".to_string()));
    assert_eq!(check(&gateway_file("gw").to_string(), None), Err("name: is each gateway's own".to_string()));
    let zoned = json!({"settings": harness::settings()}).to_string();
    assert_eq!(check(&zoned, None), Err("settings.Zone: is each gateway's own".to_string()));
    let mut shorter = read(settings.as_bytes());
    shorter["settings"]["Safety"].as_object_mut().expect("an object").remove("ColdMs");
    let error = check(&shorter.to_string(), Some(&settings)).expect_err("a key was removed");
    assert_eq!(error, "settings.Safety.ColdMs: missing");
    assert!(check("{}", Some(&settings)).is_err() && check("[]", None).is_err());
    assert!(validate(b"\xff", None).is_err());
    assert_eq!(check(&settings, Some("{}")), Ok(()));
}

/// Guards the merge of a gateway's file and a version: the gateway's keys and its zone always come from the file,
/// discovery only if the version has none, and everything else comes from the version.
#[test]
fn a_version_is_merged_with_the_file_of_the_gateway() {
    let mut file = gateway_file("gw");
    file["extra"] = json!(1);
    let mut settings = harness::settings();
    (settings["Zone"], settings["TickMs"]) = (json!("b"), json!(6.0));
    let document = json!({"settings": settings, "name": "other", "more": 2}).to_string();
    let merged = read(overlay(&file.to_string(), document.as_bytes()).expect("both are objects").as_bytes());
    let mut expected = gateway_file("gw");
    (expected["settings"]["TickMs"], expected["more"]) = (json!(6.0), json!(2));
    assert_eq!(merged, expected);
    let document = json!({"settings": settings, "discovery": "127.0.0.1:9"}).to_string();
    let merged = read(overlay(&file.to_string(), document.as_bytes()).expect("both are objects").as_bytes());
    assert_eq!(merged["discovery"], "127.0.0.1:9");
    assert!(overlay("[]", document.as_bytes()).is_err() && overlay(&file.to_string(), b"[]").is_err());
}

/// Guards SIGHUP together with versions: the version in force is applied to the file that is read again, an unusable
/// version changes nothing, and the environment's address of discovery is used until a version changes it or the file
/// is read again.
#[test]
fn a_reload_of_the_file_keeps_the_version_in_force() {
    let folder = std::env::temp_dir().join(format!("dunemount-source-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("own.json");
    let text = gateway_file("gw").to_string();
    std::fs::write(&path, &text).expect("written");
    let (mut active, mut zones) = (ActiveConfig::default(), Zones::default());
    let configured = active.replace(text.clone(), &mut zones).expect("usable").discovery;
    let overridden = "127.0.0.1:77".parse().expect("an address");
    let mut source = ConfigSource {
        path: path.clone(),
        file_text: text.clone(),
        active,
        version: None,
        configured_discovery: configured,
        discovery: overridden,
    };
    let version = |number: u64, document: Value| {
        let bytes: Arc<[u8]> = document.to_string().into_bytes().into();
        Document::verify(Version { number, digest: Digest::of(&bytes) }, bytes).expect("the digest matches")
    };
    let mut settings = harness::settings();
    settings["Permissions"]["SendCap"] = json!(9);
    let (_, loaded) =
        source.reload(Some(&version(1, json!({ "settings": settings }))), &mut zones).expect("usable");
    assert_eq!(loaded.discovery, overridden, "the version does not change discovery");
    // A new version does not read the file; an unusable file is an error at the next SIGHUP.
    std::fs::write(&path, "{").expect("written");
    assert!(source.reload(None, &mut zones).is_err());
    let bad = version(2, json!({"settings": {}}));
    assert!(source.reload(Some(&bad), &mut zones).is_err());
    assert_eq!(source.version.as_ref().map(|version| version.version().number), Some(1));
    std::fs::write(&path, &text).expect("written");
    let (text, loaded) = source.reload(None, &mut zones).expect("usable");
    assert_eq!(read(text.as_bytes())["settings"], settings, "the settings of the version, not of the file");
    assert_eq!(loaded.discovery, configured, "the file read again ends the override");
    let moved = version(3, json!({"settings": settings, "discovery": "127.0.0.1:8"}));
    let (_, loaded) = source.reload(Some(&moved), &mut zones).expect("usable");
    assert_eq!(loaded.discovery.port(), 8);
    std::fs::remove_dir_all(folder).expect("removed");
}
