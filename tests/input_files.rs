//! The files that operators write: what each key means, and what is said of a file that cannot be used, word for word.
//! The files under `tests/fixtures` stay as they are.

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

/// Guards the meaning of every key of the configuration.
#[test]
fn each_key_of_the_configuration_goes_where_it_belongs() {
    let mut zones = Zones::default();
    zones.id("a".to_string());
    let text = fixture("configuration-v1.json");
    let mut in_force = ActiveConfig::default();
    let taken = in_force.replace(text.clone(), &mut zones).expect("usable");
    assert_eq!(in_force.text(), text);
    let file = &taken.file;
    assert_eq!((file.name.as_str(), file.listen.as_str()), ("gw-a-1", "127.0.0.1:6432"));
    assert_eq!(
        (file.admin_addr.as_deref(), file.discovery.as_str()),
        (Some("127.0.0.1:6433"), "10.0.0.9:7000")
    );
    assert_eq!((taken.discovery.to_string().as_str(), taken.seed), ("10.0.0.9:7000", 0x1fa));
    assert_eq!((file.limits.sockets, file.limits.memory_mb), (200, 48));
    assert_eq!((file.known.len(), file.known.groups().collect::<Vec<_>>()), (3, vec![1, 1, 2]));

    let site = &taken.settings;
    assert_eq!(site.class_names, ["any", "fresh", "own", "recent", "store"]);
    assert_eq!(site.tenant_names, ["t-1", "t-2"]);
    assert_eq!((site.positions_from, site.connect_timeout), (ms(16.0), ms(21.0)));
    let wanted = Settings {
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
    assert_eq!(format!("{:?}", site.router), format!("{wanted:?}"));
}

/// Guards what holds where a key may be missing and is.
#[test]
fn a_key_that_may_be_missing_has_its_default() {
    let text = fixture("configuration-least-v1.json");
    let taken = ActiveConfig::default().replace(text, &mut Zones::default()).expect("usable");
    assert_eq!((taken.file.admin_addr, taken.file.limits.memory_mb), (None, 0));
    assert_eq!((taken.settings.positions_from, taken.settings.connect_timeout), (Micros(0), Micros(0)));
    let wanted = Settings {
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
    assert_eq!(format!("{:?}", taken.settings.router), format!("{wanted:?}"));
}

/// Guards the meaning of every key of the project's own settings, and of a file without any.
#[test]
fn each_key_of_the_settings_goes_where_it_belongs() {
    let place = |name: &str, address: &str| NamedAddress {
        name: name.to_string(),
        address: address.parse().expect("an address"),
    };
    let machine = |zone: &str, name: &str, address: &str| {
        let machine = ControlServerInfo { name: name.to_string(), zone: zone.to_string() };
        (machine, address.parse().expect("an address"))
    };
    let fleet = FleetSettings {
        name: Some("shop".to_string()),
        listen: Some("127.0.0.1:7100".parse().expect("an address")),
        voters: vec![
            place("gw-1", "10.0.0.1:7100"),
            place("gw-2", "10.0.0.2:7100"),
            place("gw-3", "10.0.0.3:7100"),
        ],
        seeds: vec![place("gw-4", "10.0.0.4:7100")],
        size: 30,
        lease_ms: 4000,
        probe_ms: 600,
        file: Some("/var/lib/dunemount/voter".into()),
    };
    let control = ControlSettings {
        servers: vec![machine("a", "cm-1", "10.0.1.1:7200"), machine("b", "cm-2", "10.0.1.2:7200")],
        zone: Some("a".to_string()),
        file: Some("/var/lib/dunemount/version".into()),
        line: 15,
    };
    assert_eq!(
        LocalSettings::parse(&fixture("settings-v1.ini")),
        Ok(LocalSettings { cores: 8, fleet, control })
    );
    let none = LocalSettings::parse("").expect("usable");
    assert_eq!((none.cores, none.fleet.size, none.fleet.lease_ms, none.fleet.probe_ms), (1, 3, 3_000, 500));
    assert_eq!(none, LocalSettings::default());
}

/// Settings that cannot be used, of which each says something else.
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

/// Guards what is said of settings that cannot be used, and of which line.
#[test]
fn faults_of_the_settings_keep_their_words() {
    let long = format!("[fleet]\nname = {}\n", "x".repeat(65));
    let machines: Vec<String> = (0..17).map(|n| format!("a/m{n}@127.0.0.1:{}", n + 1)).collect();
    let many = format!("[control]\nmachines = {}\n", machines.join(","));
    let all = BAD_SETTINGS.into_iter().chain([long.as_str(), many.as_str()]);
    let faults: Vec<String> = all
        .map(|text| LocalSettings::parse(text).expect_err("unusable").in_file("FILE").to_string() + "\n")
        .collect();
    assert_eq!(faults.concat(), fixture("settings-faults-v1.txt"));
}

/// Guards what is said of settings that name control machines but not all that a gateway needs with them.
#[test]
fn faults_of_a_gateway_with_control_machines_keep_their_words() {
    let fleet = "[fleet]\nname = shop\nlisten = 127.0.0.1:1\nvoters = gw-1@127.0.0.1:1\n";
    let options = |rest: &str| {
        LocalSettings::parse(&format!("{fleet}[control]\nmachines = a/cm-1@127.0.0.1:2\n{rest}"))
            .expect("usable")
    };
    let faults = [
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
    assert_eq!(faults.join("\n") + "\n", fixture("control-faults-v1.txt"));
}

/// Guards what is said of a configuration that cannot be used, and of which line.
#[test]
fn faults_of_the_configuration_keep_their_words() {
    let good: Value = serde_json::from_str(&fixture("configuration-v1.json")).expect("JSON");
    let with = |pointer: &str, value: Value| {
        let mut bad = good.clone();
        *bad.pointer_mut(pointer).expect("a key") = value;
        format!("{bad:#}")
    };
    let without = |parent: &str, key: &str| {
        let mut bad = good.clone();
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
    let fault = |text: &String| {
        let fault =
            ActiveConfig::default().replace(text.clone(), &mut Zones::default()).err().expect("unusable");
        let alone = fault.to_string();
        format!("{}\n{alone}\n", fault.in_file("FILE"))
    };
    let mut faults: Vec<String> = texts.iter().map(fault).collect();
    let mut in_force = ActiveConfig::default();
    in_force.replace(format!("{good:#}"), &mut Zones::default()).expect("usable");
    let fewer = [
        without("", "admin_addr"),
        without("/settings/Clients", "MarksRetry"),
        without("/settings/Classes/2", "Effect"),
        without("/settings/Tenants/0", "QuotaPerS"),
    ];
    for text in fewer {
        let fault = in_force.replace(text, &mut Zones::default()).err().expect("a key has vanished");
        faults.push(fault.in_file("FILE").to_string() + "\n");
    }
    assert_eq!(faults.concat(), fixture("configuration-faults-v1.txt"));
}
