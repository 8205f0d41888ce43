//! The simulator adapter, run as a process on handwritten input lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{json, Value};

fn run(lines: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dunemount-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    // An adapter that stops at an invalid line may close its input first.
    let _ = input.write_all(lines.as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn params() -> Value {
    json!({
        "Azs": ["east"], "Balancers": 2, "Me": 0, "Zone": "east", "TickMs": 1.0, "Unheard": {"Of": 1},
        "Classes": [
            {"Name": "look", "AimMs": 200.0, "DeadlineMs": 800.0, "Value": 1.0, "Effect": "read_like"},
            {"Name": "store", "AimMs": 500.0, "DeadlineMs": 2000.0, "Value": 2.0, "LateWorth": 0.5,
             "Effect": "idempotency_key", "Group": "cell", "RepeatWindowMs": 900.0}],
        "RegistryMode": "on_request",
        "Specifics": {"CountedFromMs": 1000.0, "NeedsByClass": ["recent", "update"], "LagAllowedMs": [300.0, 0.0],
                      "ServerChecks": "none", "SessionMarks": "client", "Stamps": true},
        "Permissions": {"Cancelling": true, "Probing": true, "Peers": true, "ParallelTries": true,
                        "RetryAfter": true, "MaxRetryAfterMs": 500.0, "ConnIdleMs": 15000.0, "SendCap": 4},
        "Deductions": {"Probe": 0.01},
        "Safety": {"ColdFrom": 0.2, "ColdMs": 9000.0, "FallMs": 2000.0, "StopSendingWithinMs": 500.0,
                   "TipMultiple": 2.0}
    })
}

fn start() -> Value {
    let node = |member, writer| json!({"Member": member, "Writer": writer, "RackZone": "east", "Shard": 4, "Health": "Ready", "Heft": 1.0});
    json!({"MomentMs": 50000.0, "news": [
        {"Launch": {"Who": 3, "Salt": 9, "Params": params()}},
        {"Manifest": {"Table": 0, "NodesList": [node(71, 1), node(72, 0)]}},
        {"Update": {"Who": 3, "Kind": "cached", "Serial": 1, "Table": 0}}]})
}

fn replies(batches: &[Value]) -> Vec<Value> {
    let lines: String = batches.iter().map(|b| format!("{b}\n")).collect();
    let output = run(&lines);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("a reply")).collect()
}

fn find<'a>(reply: &'a Value, name: &str) -> Option<&'a Value> {
    reply["outbox"].as_array().expect("outbox").iter().find_map(|action| action.get(name))
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    assert_eq!(replies(&[json!({"MomentMs": 1.5, "news": []})]), [json!({"outbox": []})]);
}

#[test]
fn a_write_goes_to_the_listed_primary_and_comes_back() {
    let batches = [
        start(),
        json!({"MomentMs": 50001.0, "news": [{"Req": {"Who": 3, "Id": "00ab", "Priority": "store", "Key": 5,
            "Cluster": 4, "Write": true, "TimeLeftMs": 900.0}}]}),
        json!({"MomentMs": 50040.0, "news": [{"Outcome": {"Who": 3, "Id": "00ab", "Copy": 0, "Member": 71,
            "Disposition": "served", "SpentMs": 39.0, "Terminal": true, "Progress": 196121}}]}),
    ];
    let replies = replies(&batches);
    assert!(find(&replies[0], "Watch").is_some());
    assert!(find(&replies[0], "SetAlarm").is_some());
    let send = find(&replies[1], "PassOn").expect("a send");
    assert_eq!(
        (&send["Member"], &send["Id"], &send["Who"]),
        (&json!(71), &json!("00000000000000ab"), &json!(3))
    );
    assert!(find(&replies[2], "PassOn").is_none());
}

#[test]
fn a_rejection_gives_its_wait_in_milliseconds() {
    let batches = [
        start(),
        json!({"MomentMs": 50001.0, "news": [{"Req": {"Who": 3, "Id": "ff", "Priority": "look", "Cluster": 9,
            "TimeLeftMs": 800.0}}]}),
        json!({"MomentMs": 50150.0, "news": [{"Elapsed": {"Who": 3, "Nonce": 0}}]}),
    ];
    let reply = replies(&batches)[2].clone();
    let busy = find(&reply, "Busy").expect("a rejection for a group that the list does not contain");
    assert!(busy["WaitMs"].as_f64().expect("advice") > 1.0);
}

/// With `DrainBindsAlone`, members that an empty list omits still get requests.
#[test]
fn drain_binds_alone_reaches_the_router() {
    for drain_binds_alone in [false, true] {
        let mut first = start();
        first["news"][0]["Launch"]["Params"]["Safety"]["DrainBindsAlone"] = json!(drain_binds_alone);
        let batches = [
            first,
            json!({"MomentMs": 50001.0, "news": [{"Manifest": {"Table": 1, "NodesList": []}},
                {"Update": {"Who": 3, "Kind": "full", "Serial": 2, "Table": 1}},
                {"Req": {"Who": 3, "Id": "1", "Priority": "store", "Key": 5, "Cluster": 4, "TimeLeftMs": 900.0}}]}),
        ];
        assert_eq!(find(&replies(&batches)[1], "PassOn").is_some(), drain_binds_alone);
    }
}

#[test]
fn idle_connections_are_closed_by_an_adapter_action() {
    for idle_ms in [Some(30_000.0), None] {
        let mut first = start();
        let permissions = &mut first["news"][0]["Launch"]["Params"]["Permissions"];
        match idle_ms {
            Some(ms) => permissions["ConnIdleMs"] = json!(ms),
            None => drop(permissions.as_object_mut().expect("an object").remove("ConnIdleMs")),
        }
        let mut batches = vec![first];
        for round in 0..8 {
            let (id, at) = (format!("{round:x}"), 51_000.0 + 2000.0 * f64::from(round));
            batches.push(json!({"MomentMs": at, "news": [{"Elapsed": {"Who": 3, "Nonce": 0}},
                {"Req": {"Who": 3, "Id": id, "Priority": "look", "Cluster": 4, "TimeLeftMs": 800.0}}]}));
            batches.push(json!({"MomentMs": at + 200.0, "news": [{"Outcome": {"Who": 3, "Id": id, "Copy": 0,
                "Member": 71, "Disposition": "called_off", "SpentMs": 200.0, "Terminal": true}}]}));
        }
        let closed = replies(&batches).iter().any(|reply| {
            find(reply, "CloseIdle").is_some_and(|close| close["Member"] == 71 && close["Who"] == 3)
        });
        assert_eq!(closed, idle_ms.is_some(), "idle time {idle_ms:?}");
    }
}

#[test]
fn a_halted_instance_is_removed() {
    let batches = [start(), json!({"MomentMs": 50001.0, "news": [{"Halt": {"Who": 3}}]})];
    replies(&batches);
    let lines = format!(
        "{}\n{}\n{}\n",
        batches[0],
        batches[1],
        json!({"MomentMs": 50002.0, "news": [{"Gone": {"Who": 3, "Id": "1"}}]})
    );
    let output = run(&lines);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("line 3"));
}

#[test]
fn malformed_input_is_named_by_line_and_field() {
    let request = |class: &str, id: &str| {
        json!({"MomentMs": 50001.0, "news": [{"Req": {"Who": 3, "Id": id, "Priority": class, "Cluster": 4,
            "TimeLeftMs": 800.0}}]})
        .to_string()
    };
    let cases = [
        ("{".to_string(), "line 2"),
        (request("nosuch", "1"), "Priority"),
        (request("look", "xyz"), "Id"),
        (r#"{"MomentMs":1,"news":[{"Nonsense":{}}]}"#.to_string(), "Nonsense"),
        (r#"{"MomentMs":1,"news":[{"Elapsed":{"Who":3}}]}"#.to_string(), "Nonce"),
        (r#"{"MomentMs":1,"news":[{"Update":{"Who":3,"Kind":"full","Table":7}}]}"#.to_string(), "Table"),
    ];
    for (bad, named) in cases {
        let output = run(&format!("{}\n{bad}\n", start()));
        let message = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success(), "{bad}");
        assert!(message.contains("line 2") && message.contains(named), "{bad}: {message}");
        assert_eq!(String::from_utf8_lossy(&output.stdout).lines().count(), 1, "{bad}");
    }
}
