//! What a version of the configuration is: the part that all gateways share, over each one's own file.

mod harness;

use std::sync::Arc;

use dunemount::config::version::{overlay, shared_part, validate, ConfigSource};
use dunemount::config::ActiveConfig;
use dunemount::settings::Zones;
use dunemount_rollout::version::{Digest, Document, Version};
use serde_json::{json, Value};

fn own(name: &str) -> Value {
    json!({"name": name, "listen": "127.0.0.1:1", "admin_addr": "127.0.0.1:2", "discovery": "127.0.0.1:3",
        "seed": "1f", "limits": {"sockets": 100}, "known": {"rev": 0, "all": true, "targets": []},
        "settings": harness::settings()})
}

/// The settings that all gateways share.
fn shared_settings() -> Value {
    let mut settings = harness::settings();
    settings.as_object_mut().expect("an object").remove("Zone").expect("its own");
    settings
}

fn read(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes).expect("JSON")
}

/// Guards what is each gateway's own: it does not get into a version, from a whole file or from the shared part alone.
#[test]
fn a_version_is_what_all_gateways_share() {
    let whole = own("gw").to_string();
    let shared = json!({"discovery": "127.0.0.1:3", "settings": shared_settings()});
    assert_eq!(read(&shared_part(&whole).expect("usable")), shared);
    assert_eq!(read(&shared_part(&shared.to_string()).expect("usable")), shared);
    let settings = json!({"settings": shared_settings()});
    assert_eq!(
        read(&shared_part(&settings.to_string()).expect("usable")),
        settings,
        "discovery need not be in it"
    );
    assert_eq!(shared_part("{").expect_err("cut off").line, 1);
    for bad in ["{}", "[]", "1", "", "{\"settings\": {}}", "{\"name\": \"gw\"}"] {
        assert!(shared_part(bad).is_err(), "{bad}");
    }
}

/// Guards the place of a fault: the line is that of the operator's text, with or without a gateway's own keys in it.
#[test]
fn a_fault_is_named_by_the_line_of_the_text() {
    let shared = json!({"kind": "settings", "settings": shared_settings()});
    for file in [own("gw"), shared] {
        for (pointer, value) in [
            ("/settings/Safety/FallMs", json!("x")),
            ("/settings/Zone", json!(7)),
            ("/settings/Permissions/SendCap", json!(0)),
        ] {
            let mut bad = file.clone();
            // The shared part alone has no zone.
            let Some(place) = bad.pointer_mut(pointer) else { continue };
            *place = value;
            let text = format!("\n{bad:#}\n\n");
            let key = format!("\"{}\":", pointer.rsplit('/').next().expect("a key"));
            let line = text.lines().position(|line| line.contains(&key)).expect("there") + 1;
            assert_eq!(shared_part(&text).expect_err(pointer).line, line, "{pointer}");
        }
    }
    let mut bad = own("gw");
    bad["admin_addr"] = json!("nowhere");
    let fault = shared_part(&format!("{bad:#}")).expect_err("no address");
    assert_eq!((fault.line, fault.error.to_string().contains("admin_addr")), (2, true), "{fault}");
}

/// Guards the control machine's check: gateways' own keys, keys that vanish, and what cannot be used are refused; one that
/// was accepted by other rules stands in nobody's way.
#[test]
fn a_document_is_checked_against_the_one_before() {
    let settings = json!({"settings": shared_settings()});
    let with = json!({"discovery": "127.0.0.1:3", "settings": shared_settings()});
    let (settings, with) = (settings.to_string(), with.to_string());
    let judge = |document: &str, before: Option<&str>| {
        validate(document.as_bytes(), before.map(str::as_bytes)).map_err(|fault| fault.error.to_string())
    };
    assert_eq!(judge(&settings, None), Ok(()));
    assert_eq!(judge(&with, Some(&settings)), Ok(()));
    assert_eq!(judge(&settings, Some(&with)), Err("discovery: missing".to_string()));
    assert_eq!(judge(&own("gw").to_string(), None), Err("name: is each gateway's own".to_string()));
    let zoned = json!({"settings": harness::settings()}).to_string();
    assert_eq!(judge(&zoned, None), Err("settings.Zone: is each gateway's own".to_string()));
    let mut shorter = read(settings.as_bytes());
    shorter["settings"]["Safety"].as_object_mut().expect("an object").remove("ColdMs");
    let why = judge(&shorter.to_string(), Some(&settings)).expect_err("a key has vanished");
    assert_eq!(why, "settings.Safety.ColdMs: missing");
    assert!(judge("{}", Some(&settings)).is_err() && judge("[]", None).is_err());
    assert!(validate(b"\xff", None).is_err());
    assert_eq!(judge(&settings, Some("{}")), Ok(()));
}

/// Guards the own file: its own keys and its zone stay whatever a version says, discovery as long as the version has none, and
/// nothing else of it does.
#[test]
fn a_version_lies_over_the_own_file() {
    let mut mine = own("gw");
    mine["extra"] = json!(1);
    let mut settings = harness::settings();
    (settings["Zone"], settings["TickMs"]) = (json!("b"), json!(6.0));
    let document = json!({"settings": settings, "name": "other", "more": 2}).to_string();
    let whole = read(overlay(&mine.to_string(), document.as_bytes()).expect("both are objects").as_bytes());
    let mut wanted = own("gw");
    (wanted["settings"]["TickMs"], wanted["more"]) = (json!(6.0), json!(2));
    assert_eq!(whole, wanted);
    let document = json!({"settings": settings, "discovery": "127.0.0.1:9"}).to_string();
    let whole = read(overlay(&mine.to_string(), document.as_bytes()).expect("both are objects").as_bytes());
    assert_eq!(whole["discovery"], "127.0.0.1:9");
    assert!(overlay("[]", document.as_bytes()).is_err() && overlay(&mine.to_string(), b"[]").is_err());
}

/// Guards SIGHUP and versions together: the file is read anew under the version in force, a version that cannot be taken
/// changes nothing, and the environment's discovery holds until a version moves it or the file is read anew.
#[test]
fn the_file_read_anew_keeps_the_version_in_force() {
    let folder = std::env::temp_dir().join(format!("dunemount-source-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("own.json");
    let text = own("gw").to_string();
    std::fs::write(&path, &text).expect("written");
    let (mut in_force, mut zones) = (ActiveConfig::default(), Zones::default());
    let named = in_force.replace(text.clone(), &mut zones).expect("usable").discovery;
    let used = "127.0.0.1:77".parse().expect("an address");
    let mut source = ConfigSource {
        path: path.clone(),
        file_text: text.clone(),
        active: in_force,
        version: None,
        configured_discovery: named,
        discovery: used,
    };
    let version = |number: u64, document: Value| {
        let bytes: Arc<[u8]> = document.to_string().into_bytes().into();
        Document::verify(Version { number, digest: Digest::of(&bytes) }, bytes).expect("it fits")
    };
    let mut settings = harness::settings();
    settings["Permissions"]["SendCap"] = json!(9);
    let (_, taken) =
        source.reload(Some(&version(1, json!({ "settings": settings }))), &mut zones).expect("usable");
    assert_eq!(taken.discovery, used, "it does not move");
    // The file is of no concern to a version, and what is wrong with it is told at the SIGHUP.
    std::fs::write(&path, "{").expect("written");
    assert!(source.reload(None, &mut zones).is_err());
    let bad = version(2, json!({"settings": {}}));
    assert!(source.reload(Some(&bad), &mut zones).is_err());
    assert_eq!(source.version.as_ref().map(|version| version.version().number), Some(1));
    std::fs::write(&path, &text).expect("written");
    let (whole, taken) = source.reload(None, &mut zones).expect("usable");
    assert_eq!(read(whole.as_bytes())["settings"], settings, "the version's, not the file's");
    assert_eq!(taken.discovery, named, "the file is the latest word");
    let moved = version(3, json!({"settings": settings, "discovery": "127.0.0.1:8"}));
    let (_, taken) = source.reload(Some(&moved), &mut zones).expect("usable");
    assert_eq!(taken.discovery.port(), 8);
    std::fs::remove_dir_all(folder).expect("its own");
}
