//! Tests that `dunemount fleet config status` keeps its output, as JSON and as a table, byte by byte. The files under
//! `fixtures/` are the output of the first version that had the command.

use std::path::Path;

use dunemount::fleet::rollout::status_report::{
    ControlServerEntry, GatewayEntry, GatewayState, StatusReport, VersionEntry,
};

fn version(number: u64) -> Option<VersionEntry> {
    Some(VersionEntry { version: number, digest: format!("00112233445566{number:02x}") })
}

fn control_server(name: &str) -> ControlServerEntry {
    ControlServerEntry {
        name: name.to_string(),
        zone: "zone-a".to_string(),
        reached: true,
        why: None,
        fresh: true,
        looked_ms: Some(120),
        newest: version(12),
        has_document: true,
        gateways: 4,
    }
}

fn gateway(name: &str, state: GatewayState, in_force: Option<VersionEntry>) -> GatewayEntry {
    GatewayEntry {
        name: name.to_string(),
        zone: "zone-b".to_string(),
        state,
        in_force,
        why: None,
        silent_ms: 40,
    }
}

fn report() -> StatusReport {
    let unreached = ControlServerEntry {
        reached: false,
        why: Some("connection refused (os error 111)".to_string()),
        fresh: false,
        looked_ms: None,
        newest: None,
        has_document: false,
        gateways: 0,
        ..control_server("ctl-2")
    };
    let rejected = GatewayEntry {
        why: Some("line 3: port in use".to_string()),
        ..gateway("gw-3", GatewayState::Rejected, None)
    };
    StatusReport {
        newest: version(12),
        machines: vec![
            control_server("ctl-1"),
            unreached,
            ControlServerEntry { fresh: false, looked_ms: Some(9_000), ..control_server("ctl-3") },
            ControlServerEntry { fresh: false, looked_ms: None, ..control_server("ctl-4") },
            ControlServerEntry { has_document: false, ..control_server("ctl-5") },
        ],
        in_force: 1,
        gateways: vec![
            gateway("gw-1", GatewayState::InForce, version(12)),
            gateway("gw-2", GatewayState::Lagging, version(11)),
            rejected,
            GatewayEntry { silent_ms: 70_000, ..gateway("gw-4", GatewayState::Silent, version(10)) },
        ],
        unheard: vec!["gw-5".to_string()],
    }
}

fn fixture(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read_to_string(path).expect("a fixture")
}

/// Guards the JSON that operators' own programs read: the names, their order, and the names of a gateway's states.
#[test]
fn the_json_of_a_status_keeps_its_format() {
    let text = fixture("config-status-v1.json");
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(value["newest"]["version"], 12);
    assert_eq!(value["machines"][1]["why"], "connection refused (os error 111)");
    assert_eq!(value["machines"][2]["looked_ms"], 9_000);
    let states: Vec<_> = (0..4).map(|index| value["gateways"][index]["stands"].clone()).collect();
    assert_eq!(states, ["in_force", "lags", "refused", "silent"]);
    assert_eq!(value["unheard"][0], "gw-5");
    assert_eq!(serde_json::to_string_pretty(&report()).expect("JSON"), text);
}

/// Guards the table that operators read.
#[test]
fn the_table_of_a_status_keeps_its_format() {
    assert_eq!(report().to_string(), fixture("config-status-v1.txt"));
}
