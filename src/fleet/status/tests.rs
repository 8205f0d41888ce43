//! Tests that the response of the admin interface and the output of the command keep the form of their first version.

use super::*;

fn member(index: u64) -> MemberStatus {
    MemberStatus {
        name: format!("gw-{index}"),
        address: format!("127.0.0.{index}:7400"),
        start: 1_000 + index,
    }
}

fn full() -> NodeStatus {
    let configuration = ConfigurationStatus {
        version: Some(12),
        digest: Some("0011223344556677".into()),
        machine: Some("ctl-1".into()),
        cut_off_ms: 0,
        refused: Some(RejectedVersion {
            version: 13,
            digest: "8899aabbccddeeff".into(),
            why: "no hosts".into(),
        }),
        unstored: Some("no space left".into()),
        older: 2,
        conflicts: 1,
    };
    let role = |name: &str, epoch, owner: Option<&str>, held| RoleStatus {
        name: name.into(),
        epoch,
        owner: owner.map(str::to_string),
        held,
    };
    NodeStatus {
        fleet: "sand".into(),
        me: member(1),
        members: vec![member(2), member(3)],
        voters: vec![
            VoterStatus { name: "gw-1".into(), generation: 0, present: true },
            VoterStatus { name: "gw-9".into(), generation: 4_294_967_303, present: false },
        ],
        voting: Some(true),
        registers: 3,
        unstored: Some("no space left on device".into()),
        roles: vec![
            role("survey/1", 7, Some("gw-1"), true),
            role("survey/2", 8, None, false),
            role("survey/3", 0, None, false),
        ],
        foreign: 1,
        senseless: 2,
        refused: 3,
        too_long: 4,
        unfit: 5,
        configuration: Some(configuration),
    }
}

/// The status of a voter without its file, and without configurations from control servers.
fn plain() -> NodeStatus {
    NodeStatus { fleet: "sand".into(), me: member(1), voting: Some(false), ..NodeStatus::default() }
}

/// Guards `GET /ops/fleet`, which scripts and the command read: names and format are those of the first version.
#[test]
fn the_admin_interfaces_response() {
    let fixtures = [
        (full(), include_str!("../../../tests/fixtures/fleet-status-v1.json")),
        (plain(), include_str!("../../../tests/fixtures/fleet-status-plain-v1.json")),
    ];
    for (status, json) in fixtures {
        assert_eq!(serde_json::to_string(&status).expect("JSON"), json);
        assert_eq!(serde_json::from_str::<NodeStatus>(json).expect("a status"), status);
    }
}

/// Guards `dunemount fleet status`, which operators read.
#[test]
fn the_commands_table() {
    assert_eq!(full().to_string(), include_str!("../../../tests/fixtures/fleet-status-v1.txt"));
    assert_eq!(plain().to_string(), include_str!("../../../tests/fixtures/fleet-status-plain-v1.txt"));
}
