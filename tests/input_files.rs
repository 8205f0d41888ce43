//! Tests of the files that operators write: the meaning of each key, and the exact error messages of unusable files.
//! The files under `tests/fixtures` must not change.

use std::path::Path;

use dunemount::config::ActiveConfig;
use dunemount::settings::Zones;
use dunemount::settings_file::{ControlSettings, FleetSettings, LocalSettings, NamedAddress};
use dunemount::*;
use dunemount_rollout::settings::ControlServerInfo;
use serde_json::{json, Value};

fn fixture(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn ms(time: f64) -> Micros {
    Micros((time * 1000.0) as u64)
}

fn class(
    times: [f64; 2],
    priority_weight: f64,
    late_weight: f64,
    idempotency: Idempotency,
    consistency: Consistency,
) -> Class {
    Class {
        latency_objective: ms(times[0]),
        deadline: ms(times[1]),
        priority_weight,
        late_weight,
        idempotency,
        consistency,
    }
}

fn keyed(scope: DeduplicationScope, window: f64) -> Idempotency {
    Idempotency::IdempotencyKey { scope, window: ms(window) }
}

/// Guards the mapping of every key of the configuration.
#[test]
fn each_key_of_the_configuration_sets_its_field() {
    let mut zones = Zones::default();
    zones.id("a".to_string());
    let text = fixture("configuration-v1.json");
    let mut active = ActiveConfig::default();
    let loaded = active.replace(text.clone(), &mut zones).expect("usable");
    assert_eq!(active.text(), text);
    let file = &loaded.file;
    assert_eq!((file.name.as_str(), file.listen.as_str()), ("gw-a-1", "127.0.0.1:6432"));
    assert_eq!(
        (file.admin_addr.as_deref(), file.discovery.as_str()),
        (Some("127.0.0.1:6433"), "10.0.0.9:7000")
    );
    assert_eq!((loaded.discovery.to_string().as_str(), loaded.seed), ("10.0.0.9:7000", 0x1fa));
    assert_eq!((file.limits.sockets, file.limits.memory_mb), (200, 48));
    assert_eq!((file.known.len(), file.known.groups().collect::<Vec<_>>()), (3, vec![1, 1, 2]));

    let site = &loaded.settings;
    assert_eq!(site.class_names, ["any", "fresh", "own", "recent", "store"]);
    assert_eq!(site.tenant_names, ["t-1", "t-2"]);
    assert_eq!((site.positions_from, site.connect_timeout), (ms(16.0), ms(21.0)));
    let expected = Settings {
        classes: vec![
            class([1.5, 2.0], 1.25, 0.0, Idempotency::Idempotent, Consistency::Eventual),
            class([3.0, 4.0], 0.0, 0.5, Idempotency::NonIdempotent, Consistency::Strong),
            class([5.0, 6.0], 7.0, 0.0, keyed(DeduplicationScope::All, 0.0), Consistency::Session),
            class(
                [8.0, 9.0],
                10.0,
                1.0,
                keyed(DeduplicationScope::Zone, 11.25),
                Consistency::BoundedStaleness(ms(17.5)),
            ),
            class([12.0, 13.0], 14.0, 0.0, keyed(DeduplicationScope::Group, 15.0), Consistency::Write),
        ],
        tenants: vec![Tenant { quota_per_s: 31.5 }, Tenant { quota_per_s: 32.0 }],
        over_quota_weight: 0.18,
        weight_basis: WeightBasis::Work,
        zone: ZoneId(1),
        gateways: 3,
        tick: ms(33.25),
        watch_required: true,
        replica_checks: ReplicaChecks::Reject,
        session_tokens: SessionTokens::Remembered,
        health_checks: true,
        cancels: true,
        peers: true,
        hedging: true,
        retry_after: true,
        clients_mark_retries: true,
        max_retry_after: ms(19.0),
        max_attempts: 22,
        health_check_price: 0.25,
        cross_zone_price: 0.23,
        handshake_price: 0.24,
        drain_grace: ms(29.0),
        removed_may_serve: true,
        connection_idle_timeout: ms(20.0),
        slow_start_initial: 0.26,
        slow_start_window: ms(27.0),
        overload_multiple: 30.5,
        overload_window: ms(28.0),
    };
    assert_eq!(format!("{:?}", site.router), format!("{expected:?}"));
}

/// Guards the defaults of the optional keys.
#[test]
fn an_optional_key_has_its_default() {
    let text = fixture("configuration-least-v1.json");
    let loaded = ActiveConfig::default().replace(text, &mut Zones::default()).expect("usable");
    assert_eq!((loaded.file.admin_addr, loaded.file.limits.memory_mb), (None, 0));
    assert_eq!((loaded.settings.positions_from, loaded.settings.connect_timeout), (Micros(0), Micros(0)));
    let expected = Settings {
        classes: vec![class([1.0, 2.0], 1.0, 0.0, Idempotency::Idempotent, Consistency::Eventual)],
        tenants: Vec::new(),
        over_quota_weight: 0.0,
        weight_basis: WeightBasis::Request,
        zone: ZoneId(0),
        gateways: 1,
        tick: ms(5.0),
        watch_required: false,
        replica_checks: ReplicaChecks::None,
        session_tokens: SessionTokens::Carried,
        health_checks: false,
        cancels: false,
        peers: false,
        hedging: false,
        retry_after: false,
        clients_mark_retries: false,
        max_retry_after: Micros(0),
        max_attempts: 4,
        health_check_price: 0.0,
        cross_zone_price: 0.0,
        handshake_price: 0.0,
        drain_grace: ms(8.0),
        removed_may_serve: false,
        connection_idle_timeout: Micros(0),
        slow_start_initial: 0.2,
        slow_start_window: ms(6.0),
        overload_multiple: 2.0,
        overload_window: ms(7.0),
    };
    assert_eq!(format!("{:?}", loaded.settings.router), format!("{expected:?}"));
}

/// Guards the mapping of every key of the settings file, and the defaults of an empty file.
#[test]
fn each_key_of_the_settings_sets_its_field() {
    let member = |name: &str, address: &str| NamedAddress {
        name: name.to_string(),
        address: address.parse().expect("an address"),
    };
    let server = |zone: &str, name: &str, address: &str| {
        let info = ControlServerInfo { name: name.to_string(), zone: zone.to_string() };
        (info, address.parse().expect("an address"))
    };
    let fleet = FleetSettings {
        name: Some("shop".to_string()),
        listen: Some("127.0.0.1:7100".parse().expect("an address")),
        voters: vec![
            member("gw-1", "10.0.0.1:7100"),
            member("gw-2", "10.0.0.2:7100"),
            member("gw-3", "10.0.0.3:7100"),
        ],
        seeds: vec![member("gw-4", "10.0.0.4:7100")],
        size: 30,
        lease_ms: 4000,
        probe_ms: 600,
        file: Some("/var/lib/dunemount/voter".into()),
    };
    let control = ControlSettings {
        servers: vec![server("a", "cm-1", "10.0.1.1:7200"), server("b", "cm-2", "10.0.1.2:7200")],
        zone: Some("a".to_string()),
        file: Some("/var/lib/dunemount/version".into()),
        line: 15,
    };
    assert_eq!(
        LocalSettings::parse(&fixture("settings-v1.ini")),
        Ok(LocalSettings { cores: 8, fleet, control })
    );
    let defaults = LocalSettings::parse("").expect("usable");
    assert_eq!(
        (defaults.cores, defaults.fleet.size, defaults.fleet.lease_ms, defaults.fleet.probe_ms),
        (1, 3, 3_000, 500)
    );
    assert_eq!(defaults, LocalSettings::default());
}

/// Unusable settings, each with a different error.
const BAD_SETTINGS: [&str; 30] = [
    "nothing",
    "[cores]\ncount = 2\nnothing\n",
    "[core]\ncount = 2\n",
    "count = 2\n",
    "[cores]\ncounts = 2\n",
    "[cores]\ncount = 2\ncount = 3\n",
    "[cores]\ncount = many\n",
    "[cores]\n\ncount = 0\n",
    "[cores]\ncount = 65\n",
    "[fleet]\nsize = 1001\n",
    "[fleet]\nlease_ms = 299\n",
    "[fleet]\nprobe_ms = 60001\n",
    "[fleet]\nname =\n",
    "[fleet]\nlisten = 127.0.0.1\n",
    "[fleet]\nvoters = gw-1@127.0.0.1:1, gw-2@127.0.0.1:2\n",
    "[fleet]\nvoters = gw-1\n",
    "[fleet]\nvoters = gw-1@nowhere\n",
    "[fleet]\nvoters = @127.0.0.1:1\n",
    "[fleet]\nseeds = gw-1@127.0.0.1:1, gw-1@127.0.0.1:2\n",
    "[fleet]\nseeds = gw-1@127.0.0.1:1, gw-2@127.0.0.1:1\n",
    "[fleet]\nfile =\n",
    "[cores]\ncount = 2\n[fleet]\nname = shop\n",
    "[fleet]\nname = shop\nlisten = 127.0.0.1:1\n",
    "[fleet]\nname = shop\nlisten = 127.0.0.1:1\nvoters = gw-1@127.0.0.1:1\nlease_ms = 300\n",
    "[control]\nmachines = cm-1@127.0.0.1:1\n",
    "[control]\nmachines = a/cm-1\n",
    "[control]\nmachines = /cm-1@127.0.0.1:1\n",
    "[control]\nzone =\n",
    "[control]\nfile =\n",
    "[control]\nmachines = a/cm-1@127.0.0.1:1\n",
];

/// Guards the messages and lines of errors in unusable settings.
#[test]
fn errors_of_the_settings_keep_their_messages() {
    let long = format!("[fleet]\nname = {}\n", "x".repeat(65));
    let machines: Vec<String> = (0..17).map(|n| format!("a/m{n}@127.0.0.1:{}", n + 1)).collect();
    let many = format!("[control]\nmachines = {}\n", machines.join(","));
    let all = BAD_SETTINGS.into_iter().chain([long.as_str(), many.as_str()]);
    let errors: Vec<String> = all
        .map(|text| LocalSettings::parse(text).expect_err("unusable").in_file("FILE").to_string() + "\n")
        .collect();
    assert_eq!(errors.concat(), fixture("settings-faults-v1.txt"));
}

/// Guards the messages for settings that have control servers but lack other keys that a gateway then requires.
#[test]
fn errors_of_a_gateway_with_control_servers_keep_their_messages() {
    let fleet = "[fleet]\nname = shop\nlisten = 127.0.0.1:1\nvoters = gw-1@127.0.0.1:1\n";
    let options = |rest: &str| {
        LocalSettings::parse(&format!("{fleet}[control]\nmachines = a/cm-1@127.0.0.1:2\n{rest}"))
            .expect("usable")
    };
    let errors = [
        options("").control.follower().expect_err("no zone").in_file("FILE").to_string(),
        options("zone = a\n").control.follower().expect_err("no file").in_file("FILE").to_string(),
        options("").control.version_file().expect_err("no file").in_file("FILE").to_string(),
        options("").control.check_gateway_name("").expect_err("no name").in_file("FILE").to_string(),
        options("")
            .control
            .check_gateway_name(&"x".repeat(65))
            .expect_err("too long")
            .in_file("FILE")
            .to_string(),
        options("").fleet.voter("gw-1").expect_err("no file").to_string(),
    ];
    assert_eq!(errors.join("\n") + "\n", fixture("control-faults-v1.txt"));
}

/// Guards the messages and lines of errors in unusable configurations.
#[test]
fn errors_of_the_configuration_keep_their_messages() {
    let valid: Value = serde_json::from_str(&fixture("configuration-v1.json")).expect("JSON");
    let with = |pointer: &str, value: Value| {
        let mut bad = valid.clone();
        *bad.pointer_mut(pointer).expect("a key") = value;
        format!("{bad:#}")
    };
    let without = |parent: &str, key: &str| {
        let mut bad = valid.clone();
        let parent = bad.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object");
        parent.remove(key).expect("a key");
        format!("{bad:#}")
    };
    let texts = [
        "{".to_string(),
        "{}".to_string(),
        with("/seed", json!("x")),
        with("/discovery", json!("nowhere")),
        with("/limits/sockets", json!(-1)),
        with("/settings/Classes", json!([])),
        with("/settings/Specifics/NeedsByClass", json!(["loose"])),
        with("/settings/Permissions/SendCap", json!(0)),
        with("/settings/Balancers", json!(0)),
        with("/settings/Safety/ColdFrom", json!(1.5)),
        with("/settings/Safety/TipMultiple", json!(0)),
        with("/settings/Classes/1/AimMs", json!(0)),
        with("/settings/Classes/1/DeadlineMs", json!(-1)),
        with("/settings/Classes/1/Value", json!(-1)),
        with("/settings/Classes/1/LateWorth", json!(2)),
        with("/settings/Classes/1/Name", json!("any")),
        with("/settings/Classes/1/Effect", json!("none")),
        with("/settings/Specifics/LagAllowedMs", json!([])),
        without("/settings", "Zone"),
        without("/settings/Safety", "ColdMs"),
    ];
    let error = |text: &String| {
        let error =
            ActiveConfig::default().replace(text.clone(), &mut Zones::default()).err().expect("unusable");
        let without_path = error.to_string();
        format!("{}\n{without_path}\n", error.in_file("FILE"))
    };
    let mut errors: Vec<String> = texts.iter().map(error).collect();
    let mut active = ActiveConfig::default();
    active.replace(format!("{valid:#}"), &mut Zones::default()).expect("usable");
    let with_removed_keys = [
        without("", "admin_addr"),
        without("/settings/Clients", "MarksRetry"),
        without("/settings/Classes/2", "Effect"),
        without("/settings/Tenants/0", "QuotaPerS"),
    ];
    for text in with_removed_keys {
        let error = active.replace(text, &mut Zones::default()).err().expect("a key was removed");
        errors.push(error.in_file("FILE").to_string() + "\n");
    }
    assert_eq!(errors.concat(), fixture("configuration-faults-v1.txt"));
}
