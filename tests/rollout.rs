//! Tests of the distribution of versions from operators to gateways, while processes are killed and stopped and disks
//! fail. Each control server and each gateway is a process of its own.

mod harness;
mod rollout_deployment;

use std::sync::mpsc::channel;
use std::sync::{atomic::Ordering, Arc};

use rustix::process::Signal;
use serde_json::{json, Value};

use harness::{metric, read, ClientConnection, HostControls};
use rollout_deployment::{document, Deployment, Discovery, CONTROL_SERVERS};

/// Guards the distribution of a version: proposed once, it is in force at all gateways, which the command and the admin
/// interfaces show. Clients and their requests are kept, and so is the watch on discovery unless the version changes
/// its address. A SIGHUP does not drop the version.
#[test]
fn a_proposed_version_is_in_force_everywhere() {
    let (attempt_sender, attempts) = channel();
    let host_controls = Arc::new(HostControls::default());
    let host = harness::toy_host(0, attempt_sender, host_controls.clone());
    let deployment = Deployment::with_hosts("rollout-all", 3, harness::listing(&[host]));
    deployment.wait_until("a first watch of each gateway", |deployment| {
        deployment.discoveries.iter().all(|own| own.watches() > 0)
    });
    let mut client = ClientConnection::open(deployment.addresses[0].clients);
    client.ask(&read("held"));
    attempts.recv().expect("the attempt is sent");

    assert_eq!(deployment.propose_until_accepted(&document(1)), 1);
    deployment.wait_until_in_force(0..3, 1);
    deployment.wait_until("the command shows it", |deployment| {
        let status = deployment.status();
        status["in_force"] == 3 && status["newest"]["version"] == 1
    });
    // On a busy machine a read of the register, or a heartbeat, may be late at one moment.
    deployment.wait_until("all control servers are fresh, and each member has reported", |deployment| {
        let status = deployment.status();
        let fresh = |all: &Vec<Value>| all.iter().all(|machine| machine["fresh"] == true);
        status["machines"].as_array().is_some_and(fresh) && status["unheard"] == json!([])
    });
    deployment.wait_until("the table shows it", |deployment| {
        let table = deployment.status_table();
        table.contains("newest version: 1 (") && table.contains("in force at 3 of 3 gateways heard")
    });
    deployment.wait_until("the gateway shows it", |deployment| {
        let own = deployment.fleet_status(0);
        own.contains("configuration: version 1 (") && own.contains("in force, heard from c-")
    });
    let applied = |deployment: &Deployment| {
        (0..3).map(|gateway| metric(deployment.addresses[gateway].admin, "config_applied")).max()
    };
    assert_eq!(applied(&deployment), Some(1));
    // A gateway sends its requests to discovery one after the other: one that continues its watch has not requested the
    // full list before.
    let watched: Vec<usize> = deployment.discoveries.iter().map(Discovery::watches).collect();
    deployment.wait_until("each watch continues", |deployment| {
        deployment.discoveries.iter().zip(&watched).all(|(own, before)| own.watches() > before + 2)
    });
    assert_eq!(
        deployment.discoveries.iter().map(Discovery::full_list_requests).sum::<usize>(),
        0,
        "no gateway requests the full list"
    );

    let moved = Discovery::start();
    let mut moved_document = document(2);
    moved_document["discovery"] = json!(moved.address.to_string());
    assert_eq!(deployment.propose(&moved_document), Ok(2));
    deployment.wait_until_in_force(0..3, 2);
    deployment.wait_until("all have moved", |_| moved.full_list_requests() == 3 && moved.watches() >= 3);
    moved_document["settings"]["Permissions"]["MaxRetryAfterMs"] = json!(3.0);
    assert_eq!(deployment.propose(&moved_document), Ok(3));
    deployment.wait_until_in_force(0..3, 3);
    let watched = moved.watches();
    deployment.wait_until("the watches continue", |_| moved.watches() > watched + 9);
    assert_eq!(moved.full_list_requests(), 3, "no gateway has changed its discovery again");

    // The gateway's own file names another discovery: if it applied that file alone, it would go back to it.
    deployment.signal(CONTROL_SERVERS, Signal::HUP);
    deployment.wait_until_logged(CONTROL_SERVERS, "configuration file reloaded");
    deployment.wait_until("a SIGHUP requests the full list", |_| moved.full_list_requests() == 4);
    assert_eq!(deployment.configuration_status(0)["version"], 3);
    assert_eq!(applied(&deployment), Some(4));

    host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(client.answer().len(), 4, "the request has been answered, on the same connection");
    client.ask(&read("after"));
    assert_eq!(client.answer().len(), 4);
    deployment.end();
}

/// Guards against an invalid file: the command names the line, the control server rejects errors that only it can
/// detect, and a gateway those that depend on its own file. Nothing else changes, and a valid file is still accepted.
#[test]
fn an_invalid_file_is_rejected_by_the_first_process_that_can_detect_it() {
    let mut deployment = Deployment::new("rollout-bad", 2);
    assert_eq!(deployment.propose_until_accepted(&document(1)), 1);
    deployment.wait_until_in_force(0..2, 1);

    for (pointer, value, key, error) in [
        ("/settings/Safety/FallMs", json!("x"), "\"FallMs\"", "invalid type: string"),
        ("/settings/Permissions/SendCap", json!(0), "\"SendCap\"", "SendCap: not positive"),
    ] {
        let mut bad = document(2);
        *bad.pointer_mut(pointer).expect("there") = value;
        let why = deployment.propose(&bad).expect_err("it cannot be used");
        let line = format!("{bad:#}").lines().position(|line| line.contains(key)).expect("there") + 1;
        assert!(why.contains(&format!(".json:{line}: ")) && why.contains(error), "{line}: {why}");
    }
    let mut whole = document(2);
    whole["listen"] = json!("nowhere");
    assert!(deployment.propose(&whole).is_err_and(|why| why.contains("listen: \"nowhere\" is no address")));
    assert!(deployment.propose(&json!([1])).is_err_and(|why| why.contains("JSON object")));

    let mut shorter = document(2);
    shorter["settings"]["Permissions"].as_object_mut().expect("an object").remove("RetryAfter");
    let why = deployment.propose(&shorter).expect_err("a key has vanished");
    assert!(why.contains("settings.Permissions.RetryAfter: missing") && why.contains(".json:"), "{why}");
    assert_eq!(deployment.status()["newest"]["version"], 1);
    assert!((0..2).all(|gateway| deployment.configuration_status(gateway)["version"] == 1));
    assert!((0..2).all(|gateway| metric(deployment.addresses[gateway].admin, "config_rejected") == 0));

    // This gateway's own file has a key that no version has: it rejects versions until one has that key.
    deployment.kill(CONTROL_SERVERS + 1);
    let path = deployment.folder.join(format!("{}.json", CONTROL_SERVERS + 1));
    let mut own: Value = serde_json::from_str(&std::fs::read_to_string(&path).expect("there")).expect("JSON");
    own["settings"]["Safety"]["OnlyHere"] = json!(1);
    std::fs::write(&path, own.to_string()).expect("written");
    std::fs::remove_file(deployment.folder.join(format!("kept-{}", CONTROL_SERVERS + 1)))
        .expect("the file exists");
    deployment.start(CONTROL_SERVERS + 1);
    deployment.wait_until("it rejects the version", |deployment| {
        deployment.configuration_status(1)["refused"]["version"] == 1
    });
    deployment.wait_until("the command names it", |deployment| {
        let status = deployment.status();
        let gateway = &status["gateways"][1];
        gateway["stands"] == "refused" && gateway["why"].as_str().is_some_and(|why| why.contains("OnlyHere"))
    });
    deployment.wait_until_logged(CONTROL_SERVERS + 1, "config: version refused");
    let (table, own) = (deployment.status_table(), deployment.fleet_status(1));
    assert!(table.contains("refused: settings.Safety.OnlyHere: missing"), "{table}");
    assert!(own.contains("no version in force") && own.contains("refused: version 1 ("), "{own}");
    assert_eq!(metric(deployment.addresses[1].admin, "config_rejected"), 1);
    assert_eq!(deployment.propose(&document(3)), Ok(2));
    deployment.wait_until_in_force([0], 2);
    let mut with_key = document(4);
    with_key["settings"]["Safety"]["OnlyHere"] = json!(1);
    assert_eq!(deployment.propose(&with_key), Ok(3));
    deployment.wait_until_in_force(0..2, 3);
    deployment.end();
}

/// Guards a zone against the loss of its control server: its gateways follow another one and get the next version
/// there. The server returns with its disk, fetches the versions that it has missed and distributes them.
#[test]
fn a_zone_without_its_control_server_gets_the_next_version() {
    let mut deployment = Deployment::new("rollout-killed", 3);
    assert_eq!(deployment.propose_until_accepted(&document(1)), 1);
    deployment.wait_until_in_force(0..3, 1);
    deployment.wait_until_followed(0, "c-0");
    deployment.kill(0);
    deployment.wait_until_followed(0, "c-1");
    // The command skips the control server that was killed.
    assert_eq!(deployment.propose(&document(2)), Ok(2));
    deployment.wait_until_in_force(0..3, 2);
    deployment.start(0);
    deployment.wait_until("it has the newest", |deployment| {
        let status = deployment.status();
        let own = &status["machines"][0];
        own["fresh"] == true && own["newest"]["version"] == 2 && own["has_document"] == true
    });
    deployment.wait_until_followed(0, "c-0");
    assert_eq!(deployment.propose(&document(3)), Ok(3));
    deployment.wait_until_in_force(0..3, 3);
    deployment.end();
}

/// Guards against a control server that was stopped during two versions: no gateway goes back to an older version,
/// neither those of its zone nor the others.
#[test]
fn a_control_server_that_was_stopped_takes_no_gateway_back() {
    let deployment = Deployment::new("rollout-late", 4);
    assert_eq!(deployment.propose_until_accepted(&document(1)), 1);
    deployment.wait_until_in_force(0..4, 1);
    deployment.wait_until_followed(0, "c-0");
    deployment.signal(0, Signal::STOP);
    deployment.wait_until_followed(0, "c-1");
    assert_eq!(deployment.propose_with(&document(2), "reversed.ini"), Ok(2));
    assert_eq!(deployment.propose_with(&document(3), "reversed.ini"), Ok(3));
    deployment.wait_until_in_force(0..4, 3);
    deployment.signal(0, Signal::CONT);
    deployment.wait_until("it knows", |deployment| {
        let status = deployment.status();
        let late = &status["machines"][0];
        late["fresh"] == true && late["newest"]["version"] == 3 && late["has_document"] == true
    });
    deployment.wait_until_followed(0, "c-0");
    deployment.wait_until_followed(3, "c-0");
    for gateway in 0..4 {
        let status = deployment.configuration_status(gateway);
        assert_eq!((&status["older"], &status["version"]), (&json!(0), &json!(3)), "gateway {gateway}");
    }
    deployment.end();
}

/// Guards against a control server that returns with an old disk and reaches no majority: it sends its version to no
/// gateway, not even to one that has no version and reaches no other server.
#[test]
fn a_control_server_with_an_old_disk_sends_nothing_before_it_is_fresh() {
    let mut deployment = Deployment::new("rollout-old", 4);
    deployment.kill(CONTROL_SERVERS + 3);
    assert_eq!(deployment.propose_until_accepted(&document(1)), 1);
    deployment.wait_until_in_force(0..3, 1);
    deployment.wait_until("it is on all disks", |deployment| {
        let status = deployment.status();
        (0..CONTROL_SERVERS).all(|machine| status["machines"][machine]["has_document"] == true)
    });
    deployment.kill(0);
    assert_eq!(deployment.propose_until_accepted(&document(2)), 2);
    assert_eq!(deployment.propose_until_accepted(&document(3)), 3);
    deployment.wait_until_in_force(0..3, 3);
    deployment.signal(1, Signal::STOP);
    deployment.signal(2, Signal::STOP);
    deployment.start(CONTROL_SERVERS + 3);
    deployment.start(0);
    deployment.wait_until("the new gateway has reported to it", |deployment| {
        let status = deployment.status();
        let gateways = status["gateways"].as_array();
        gateways.is_some_and(|all| all.iter().any(|gateway| gateway["name"] == "gw-3"))
    });
    deployment.wait_until("the new gateway has tried all control servers", |deployment| {
        deployment.configuration_status(3)["cut_off_ms"].as_u64() > Some(5_000)
    });
    assert_eq!(deployment.status()["newest"]["version"], 1, "it knows no newer one");
    assert_eq!(deployment.versions_in_force(3), [0; 0], "and sends nothing");
    deployment.signal(1, Signal::CONT);
    deployment.signal(2, Signal::CONT);
    deployment.wait_until_in_force(0..4, 3);
    // The log is written by a thread of its own, after the status is published.
    deployment.wait_until("its log says so", |deployment| !deployment.versions_in_force(3).is_empty());
    assert_eq!(deployment.versions_in_force(3), [3], "nothing older in between");
    deployment.end();
}

/// Guards a gateway that was stopped or killed during several versions: it applies only the newest.
#[test]
fn a_gateway_that_was_away_applies_only_the_newest() {
    let mut deployment = Deployment::new("rollout-away", 3);
    assert_eq!(deployment.propose_until_accepted(&document(1)), 1);
    deployment.wait_until_in_force(0..3, 1);
    deployment.wait_until_log_has(0..3, 1);
    deployment.signal(CONTROL_SERVERS, Signal::STOP);
    deployment.kill(CONTROL_SERVERS + 1);
    for mark in 2..6 {
        assert_eq!(deployment.propose(&document(mark)), Ok(mark as u64));
        deployment.wait_until_in_force([2], mark as u64);
    }
    deployment.wait_until("the command shows who lags", |deployment| {
        let status = deployment.status();
        let stands: Vec<_> = (0..3).map(|gateway| status["gateways"][gateway]["stands"].clone()).collect();
        stands == ["silent", "silent", "in_force"]
    });
    assert!(deployment.status_table().matches("silent for").count() == 2);
    deployment.signal(CONTROL_SERVERS, Signal::CONT);
    deployment.start(CONTROL_SERVERS + 1);
    deployment.wait_until_in_force(0..2, 5);
    deployment.wait_until_log_has(0..2, 5);
    assert_eq!((deployment.versions_in_force(0), deployment.versions_in_force(1)), (vec![1, 5], vec![1, 5]));
    deployment.end();
}

/// Guards the majority: without it nothing is accepted or applied, and the operator is notified. Once there is one
/// again, versions are accepted without intervention.
#[test]
fn without_a_majority_nothing_is_accepted() {
    let deployment = Deployment::new("rollout-few", 3);
    assert_eq!(deployment.propose_until_accepted(&document(1)), 1);
    deployment.wait_until_in_force(0..3, 1);
    // c-1 and c-2 can accept a version and distribute it to all gateways before c-0 knows of it.
    deployment.wait_until("c-0 is fresh and knows the version", |deployment| {
        let status = deployment.status();
        let own = &status["machines"][0];
        own["fresh"] == true && own["newest"]["version"] == 1
    });
    deployment.signal(1, Signal::STOP);
    deployment.signal(2, Signal::STOP);
    deployment.wait_until("it is no longer fresh", |deployment| {
        deployment.status()["machines"][0]["fresh"] == false
    });
    let why = deployment.propose(&document(2)).expect_err("no majority");
    assert!(why.contains("no majority") && !why.contains("uncertain"), "{why}");
    assert_eq!(deployment.status()["newest"]["version"], 1);
    assert!((0..3).all(|gateway| deployment.configuration_status(gateway)["version"] == 1));
    deployment.wait_until("the gateways know that they are cut off", |deployment| {
        (0..3).all(|gateway| deployment.configuration_status(gateway)["cut_off_ms"].as_u64() > Some(0))
    });
    deployment.wait_until_logged(CONTROL_SERVERS, "config: cut off from all control machines");
    deployment.signal(1, Signal::CONT);
    deployment.signal(2, Signal::CONT);
    let number = deployment.propose_until_accepted(&document(3));
    deployment.wait_until_in_force(0..3, number);
    deployment.wait_until("the command shows it", |deployment| deployment.status()["in_force"] == 3);
    deployment.wait_until_logged(CONTROL_SERVERS, "config: no longer cut off");
    deployment.end();
}

/// Guards against a forgotten gateway: a member of the fleet that has reported to no control server is named.
#[test]
fn a_member_that_has_reported_to_no_control_server_is_named() {
    let mut deployment = Deployment::new("rollout-unheard", 2);
    deployment.kill(CONTROL_SERVERS + 1);
    let (ini, json) = (format!("{}.ini", CONTROL_SERVERS + 1), format!("{}.json", CONTROL_SERVERS + 1));
    let change = |file: &str, change: &dyn Fn(String) -> String| {
        let path = deployment.folder.join(file);
        std::fs::write(&path, change(std::fs::read_to_string(&path).expect("there"))).expect("written");
    };
    change(&ini, &|text| text.split("[control]").next().expect("a part").to_string());
    change(&json, &|text| text.replace("\"gw-1\"", "\"forgotten\""));
    deployment.start(CONTROL_SERVERS + 1);
    deployment.wait_until("it is named", |deployment| deployment.status()["unheard"] == json!(["forgotten"]));
    assert!(deployment
        .status_table()
        .contains("forgotten: a member of the fleet that no control machine has heard"));
    assert_eq!(
        deployment.configuration_status(1),
        Value::Null,
        "without [control] its status has no configuration"
    );
    assert_eq!(deployment.propose_until_accepted(&document(1)), 1);
    deployment.wait_until_in_force([0], 1);
    assert_eq!(metric(deployment.addresses[1].admin, "config_applied"), 0);
    deployment.end();
}

/// Guards against two operators at once, at different control servers: each gets a number of its own, and all gateways
/// end with the later version.
#[test]
fn two_operators_at_once_get_two_numbers() {
    let deployment = Deployment::new("rollout-two", 3);
    assert_eq!(deployment.propose_until_accepted(&document(0)), 1);
    for turn in 0..5 {
        let (mut numbers, bytes) = std::thread::scope(|scope| {
            let deployment = &deployment;
            let put = |mark: usize, by: &'static str| {
                scope.spawn(move || deployment.propose_with(&document(mark), by))
            };
            let both = [put(10 + turn, "0.ini"), put(20 + turn, "reversed.ini")];
            let numbers = both.map(|put| put.join().expect("no panic").expect("accepted"));
            (numbers, [10 + turn, 20 + turn])
        });
        let last = bytes[usize::from(numbers[1] > numbers[0])];
        numbers.sort_unstable();
        assert_eq!(numbers, [2 * turn as u64 + 2, 2 * turn as u64 + 3]);
        deployment.wait_until_in_force(0..3, numbers[1]);
        let shown = deployment.config(&["show"], "0.ini");
        let shown: Value = serde_json::from_slice(&shown.stdout).expect("a document");
        assert_eq!(shown, document(last), "the number is the later operator's");
    }
    let digests: Vec<Value> =
        (0..3).map(|gateway| deployment.configuration_status(gateway)["digest"].clone()).collect();
    assert!(digests.iter().all(|digest| digest.is_string() && *digest == digests[0]), "{digests:?}");
    deployment.end();
}

/// Guards the order of many changes, each proposed after the previous one was accepted: numbers rise by one, the
/// numbers in force at each gateway only rise, and the last version is in force everywhere.
#[test]
fn the_last_of_many_changes_is_in_force_everywhere() {
    let deployment = Deployment::new("rollout-many", 4);
    let first = deployment.propose_until_accepted(&document(0));
    for mark in 1..=20 {
        assert_eq!(deployment.propose(&document(mark)), Ok(first + mark as u64));
    }
    deployment.wait_until_in_force(0..4, first + 20);
    deployment.wait_until("the command shows it", |deployment| deployment.status()["in_force"] == 4);
    let shown = deployment.config(&["show", "--number", &(first + 19).to_string()], "0.ini");
    assert_eq!(serde_json::from_slice::<Value>(&shown.stdout).expect("the one before"), document(19));
    assert!(!deployment.config(&["show", "--number", "1"], "0.ini").status.success(), "no longer stored");
    // A gateway counts a version before it logs that the version is in force. The configuration file that it was
    // started with, before the first version, is not counted.
    for gateway in 0..4 {
        let versions = deployment.versions_in_force(gateway);
        assert!(versions.is_sorted_by(|a, b| a < b), "{versions:?}");
        assert_eq!(metric(deployment.addresses[gateway].admin, "config_applied"), versions.len() as u64);
    }
    deployment.end();
}

/// Guards the file of a gateway's version: with it the gateway starts on its version while no control server runs.
/// Without it, or with a damaged one, the gateway starts on its own configuration file and gets the newest version
/// again.
#[test]
fn a_gateway_stores_its_version_and_survives_without_the_file() {
    let mut deployment = Deployment::new("rollout-file", 1);
    assert_eq!(deployment.propose_until_accepted(&document(1)), 1);
    deployment.wait_until_in_force([0], 1);
    let version_file = deployment.folder.join(format!("kept-{CONTROL_SERVERS}"));
    let complete = std::fs::read(&version_file).expect("stored");
    for damaged in [None, Some(&complete[..complete.len() - 1]), Some(b"{}"), Some(b"")] {
        deployment.kill(CONTROL_SERVERS);
        match damaged {
            None => std::fs::remove_file(&version_file).expect("the file exists"),
            Some(bytes) => std::fs::write(&version_file, bytes).expect("written"),
        }
        deployment.start(CONTROL_SERVERS);
        deployment.wait_until("it is stored again", |_| {
            std::fs::read(&version_file).is_ok_and(|bytes| bytes == complete)
        });
        deployment.wait_until_in_force([0], 1);
    }
    deployment
        .wait_until_logged(CONTROL_SERVERS, "config: the stored version cannot be used; starting without it");

    // Without the stored version the gateway would have no version in force.
    (0..CONTROL_SERVERS).for_each(|server| deployment.kill(server));
    deployment.kill(CONTROL_SERVERS);
    deployment.start(CONTROL_SERVERS);
    deployment.wait_until_in_force([0], 1);
    assert_eq!(deployment.configuration_status(0)["machine"], Value::Null);
    let table = deployment.status_table();
    assert!(
        table.contains("no control machine answers")
            && table.matches("not reached").count() == CONTROL_SERVERS,
        "{table}"
    );
    assert!(!deployment.config(&["status"], "0.ini").status.success());
    assert!(deployment.propose(&document(2)).is_err_and(|why| why.contains("no control machine answers")));
    deployment.wait_until_logged(CONTROL_SERVERS, "config: continuing with the stored version");
    assert!(deployment.end_process(CONTROL_SERVERS), "it ends gracefully");
    deployment.end();
}

/// Guards a hot restart: the successor starts on the version in force, and applies the versions that its predecessor
/// has applied since, even while no control server runs. The two processes do not write the file at the same time.
#[test]
fn a_hot_restart_keeps_the_version_in_force() {
    let mut deployment = Deployment::new("rollout-upgrade", 1);
    assert_eq!(deployment.propose_until_accepted(&document(1)), 1);
    deployment.wait_until_in_force([0], 1);
    let next = deployment.start_successor(0);
    deployment.wait_until_logged(CONTROL_SERVERS + next, "ready");
    deployment.wait_until_logged(CONTROL_SERVERS + next, "config: cannot lock the version's file yet");
    assert_eq!(deployment.propose(&document(2)), Ok(2));
    deployment.wait_until_in_force([0], 2);
    (0..CONTROL_SERVERS).for_each(|server| deployment.kill(server));
    assert!(deployment.end_process(CONTROL_SERVERS), "it ends gracefully");
    deployment.wait_until_in_force([next], 2);
    assert_eq!(metric(deployment.addresses[next].admin, "config_applied"), 1);
    (0..CONTROL_SERVERS).for_each(|server| deployment.start(server));
    assert_eq!(deployment.propose_until_accepted(&document(3)), 3);
    deployment.wait_until_in_force([next], 3);
    deployment.end();
}

/// Guards a version against a gateway's disk that fails for a while, at each of the system calls that store: the status
/// shows it, and the gateway applies the version once it can be stored, without a newer version or a restart.
#[test]
fn a_version_that_cannot_be_stored_for_a_while_is_applied_once_it_can_be() {
    let deployment = Deployment::new("rollout-full", 1);
    let mut number = deployment.propose_until_accepted(&document(0));
    deployment.wait_until_in_force([0], number);
    let faults = deployment.faults(CONTROL_SERVERS);
    let calls =
        ["open 28 1 kept", "write 28 1 kept", "fsync 5 1 kept", "rename 5 1 kept", "fsync 5 2 rollout-full"];
    for (index, fault) in calls.into_iter().enumerate() {
        faults.set(fault);
        number = deployment.propose_until_accepted(&document(index + 1));
        deployment.wait_until(&format!("{fault}: the status shows the error"), |deployment| {
            deployment.configuration_status(0)["unstored"].is_string()
        });
        assert!(
            deployment.configuration_status(0)["version"].as_u64() < Some(number),
            "{fault}: not reported as in force"
        );
        faults.set("");
        deployment.wait_until_in_force([0], number);
        deployment.wait_until("the status no longer shows the error", |deployment| {
            deployment.configuration_status(0)["unstored"].is_null()
        });
    }
    deployment.end();
}

/// Guards the file of a gateway's version against a kill between any two steps of storing, or in the middle of a write:
/// the gateway starts on the previous version or on this one, and continues from there.
#[test]
fn a_gateway_killed_while_it_stores_starts_on_a_complete_version() {
    let mut deployment = Deployment::new("rollout-killed", 1);
    let mut number = deployment.propose_until_accepted(&document(0));
    deployment.wait_until_in_force([0], number);
    let faults = deployment.faults(CONTROL_SERVERS);
    let moments = ["open kill 1 kept", "write half 1 kept", "fsync kill 1 kept", "rename kill 1 kept"];
    for (index, moment) in moments.into_iter().enumerate() {
        faults.set(moment);
        number = deployment.propose_until_accepted(&document(index + 1));
        let began = std::time::Instant::now();
        while !deployment.has_ended(CONTROL_SERVERS) {
            assert!(began.elapsed().as_secs() < 60, "{moment}: it was to be killed");
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        faults.set("");
        deployment.kill(CONTROL_SERVERS);
        deployment.start(CONTROL_SERVERS);
        deployment.wait_until_in_force([0], number);
    }
    deployment.end();
}

/// Guards the state of a control server whose disk fails, or which is killed while it stores: it does not confirm a
/// document that it cannot store, stores again as soon as it can, and restarts with a complete state.
#[test]
fn a_control_server_whose_disk_fails_confirms_nothing_and_continues() {
    let mut deployment = Deployment::new("rollout-disk", 1);
    let mut number = deployment.propose_until_accepted(&document(0));
    deployment.wait_until_in_force([0], number);
    let calls = ["open 28 1 kept", "write 28 1 kept", "fsync 5 1 kept", "rename 5 1 kept"];
    for (index, fault) in calls.into_iter().enumerate() {
        // The fault is set at all control servers: none can store the document.
        (0..CONTROL_SERVERS).for_each(|server| deployment.faults(server).set(fault));
        let refused = deployment.propose(&document(10 + index)).expect_err("no control server has stored it");
        assert!(refused.contains("cannot store it"), "{fault}: {refused}");
        (0..CONTROL_SERVERS).for_each(|server| deployment.faults(server).set(""));
        let next = deployment.propose_until_accepted(&document(20 + index));
        assert!(next > number);
        number = next;
        deployment.wait_until_in_force([0], number);
    }
    for (index, moment) in
        ["write half 1 kept", "fsync kill 1 kept", "rename kill 1 kept"].into_iter().enumerate()
    {
        deployment.faults(0).set(moment);
        let _ = deployment.propose(&document(30 + index));
        deployment.wait_until(&format!("{moment}: killed"), |deployment| {
            deployment.propose(&document(40 + index)).is_ok()
        });
        deployment.faults(0).set("");
        deployment.kill(0);
        deployment.start(0);
        number = deployment.propose_until_accepted(&document(50 + index));
        deployment.wait_until_in_force([0], number);
    }
    deployment.end();
}
