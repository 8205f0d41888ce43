//! A configuration's versions from operators to gateways, through control machines that are killed, stopped and contradicted:
//! each a process of its own.

mod harness;
mod world;

use std::sync::mpsc::channel;
use std::sync::{atomic::Ordering, Arc};

use rustix::process::Signal;
use serde_json::{json, Value};

use harness::{figure, read, Mood, Talk};
use world::{document, Discovery, World, MACHINES};

/// Guards the way of a version: put once, it is in force at all gateways, the tool and the doors say so, clients and their
/// requests stay, and so does the watch on discovery unless the version moves it; a SIGHUP does not drop it.
#[test]
fn a_version_put_once_is_in_force_everywhere() {
    let (said, heard) = channel();
    let mood = Arc::new(Mood::default());
    let host = harness::toy_host(0, said, mood.clone());
    let world = World::with_hosts("rollout-all", 3, harness::listing(&[host]));
    world.until("a first watch of each gateway", |world| {
        world.discoveries.iter().all(|own| own.watches() > 0)
    });
    let mut client = Talk::to(world.doors[0].clients);
    client.ask(&read("held"));
    heard.recv().expect("the attempt is out");

    assert_eq!(world.put_at_last(&document(1)), 1);
    world.until_in_force(0..3, 1);
    world.until("the tool says so", |world| {
        let status = world.status();
        status["in_force"] == 3 && status["newest"]["version"] == 1
    });
    // On a busy machine a look at the register, or a sign of life, may be late at one moment.
    world.until("all control machines are fresh, and no member is unheard", |world| {
        let status = world.status();
        let fresh = |all: &Vec<Value>| all.iter().all(|machine| machine["fresh"] == true);
        status["machines"].as_array().is_some_and(fresh) && status["unheard"] == json!([])
    });
    world.until("the table says so", |world| {
        let table = world.table();
        table.contains("newest version: 1 (") && table.contains("in force at 3 of 3 gateways heard")
    });
    world.until("the gateway says so", |world| {
        let own = world.fleet_status(0);
        own.contains("configuration: version 1 (") && own.contains("in force, heard from c-")
    });
    let applied =
        |world: &World| (0..3).map(|gateway| figure(world.doors[gateway].admin, "config_applied")).max();
    assert_eq!(applied(&world), Some(1));
    // What a gateway asks of discovery it asks one after the other: whoever watches on has not asked for the list before.
    let watched: Vec<usize> = world.discoveries.iter().map(Discovery::watches).collect();
    world.until("each watch goes on", |world| {
        world.discoveries.iter().zip(&watched).all(|(own, before)| own.watches() > before + 2)
    });
    assert_eq!(
        world.discoveries.iter().map(Discovery::whole).sum::<usize>(),
        0,
        "nobody asks for the whole list"
    );

    let moved = Discovery::start();
    let mut elsewhere = document(2);
    elsewhere["discovery"] = json!(moved.address.to_string());
    assert_eq!(world.put(&elsewhere), Ok(2));
    world.until_in_force(0..3, 2);
    world.until("all have moved", |_| moved.whole() == 3 && moved.watches() >= 3);
    elsewhere["settings"]["Permissions"]["MaxRetryAfterMs"] = json!(3.0);
    assert_eq!(world.put(&elsewhere), Ok(3));
    world.until_in_force(0..3, 3);
    let watched = moved.watches();
    world.until("the watches go on", |_| moved.watches() > watched + 9);
    assert_eq!(moved.whole(), 3, "it has not moved again");

    // The own file names another discovery: by it the gateway would go back.
    world.signal(MACHINES, Signal::HUP);
    world.until_logged(MACHINES, "configuration read anew");
    world.until("a SIGHUP asks for the whole list, as ever", |_| moved.whole() == 4);
    assert_eq!(world.standing(0)["version"], 3);
    assert_eq!(applied(&world), Some(4));

    mood.released.store(true, Ordering::SeqCst);
    assert_eq!(client.answer().len(), 4, "the request has been answered, on the same connection");
    client.ask(&read("after"));
    assert_eq!(client.answer().len(), 4);
    world.end();
}

/// Guards against a bad file: named at the tool with its line, at the control machine where only that can see the fault,
/// and at a gateway where only its own file shows it; nothing changes anywhere else, and a good one still gets through.
#[test]
fn a_bad_file_is_refused_by_whoever_can_see_it() {
    let mut world = World::of("rollout-bad", 2);
    assert_eq!(world.put_at_last(&document(1)), 1);
    world.until_in_force(0..2, 1);

    for (pointer, value, place, what) in [
        ("/settings/Safety/FallMs", json!("x"), "\"FallMs\"", "invalid type: string"),
        ("/settings/Permissions/SendCap", json!(0), "\"SendCap\"", "SendCap: not positive"),
    ] {
        let mut bad = document(2);
        *bad.pointer_mut(pointer).expect("there") = value;
        let why = world.put(&bad).expect_err("it cannot be used");
        let line = format!("{bad:#}").lines().position(|line| line.contains(place)).expect("there") + 1;
        assert!(why.contains(&format!(".json:{line}: ")) && why.contains(what), "{line}: {why}");
    }
    let mut whole = document(2);
    whole["listen"] = json!("nowhere");
    assert!(world.put(&whole).is_err_and(|why| why.contains("listen: \"nowhere\" is no address")));
    assert!(world.put(&json!([1])).is_err_and(|why| why.contains("JSON object")));

    let mut shorter = document(2);
    shorter["settings"]["Permissions"].as_object_mut().expect("an object").remove("RetryAfter");
    let why = world.put(&shorter).expect_err("a key has vanished");
    assert!(why.contains("settings.Permissions.RetryAfter: missing") && why.contains(".json:"), "{why}");
    assert_eq!(world.status()["newest"]["version"], 1);
    assert!((0..2).all(|gateway| world.standing(gateway)["version"] == 1));
    assert!((0..2).all(|gateway| figure(world.doors[gateway].admin, "config_rejected") == 0));

    // This gateway's own file has a key that no version has: a new one of that shape is in force there first.
    world.kill(MACHINES + 1);
    let path = world.folder.join(format!("{}.json", MACHINES + 1));
    let mut own: Value = serde_json::from_str(&std::fs::read_to_string(&path).expect("there")).expect("JSON");
    own["settings"]["Safety"]["OnlyHere"] = json!(1);
    std::fs::write(&path, own.to_string()).expect("written");
    std::fs::remove_file(world.folder.join(format!("kept-{}", MACHINES + 1))).expect("it was there");
    world.start(MACHINES + 1);
    world.until("it refuses the version", |world| world.standing(1)["refused"]["version"] == 1);
    world.until("the tool names it", |world| {
        let status = world.status();
        let gateway = &status["gateways"][1];
        gateway["stands"] == "refused" && gateway["why"].as_str().is_some_and(|why| why.contains("OnlyHere"))
    });
    world.until_logged(MACHINES + 1, "config: version refused");
    let (table, own) = (world.table(), world.fleet_status(1));
    assert!(table.contains("refused: settings.Safety.OnlyHere: missing"), "{table}");
    assert!(own.contains("no version in force") && own.contains("refused: version 1 ("), "{own}");
    assert_eq!(figure(world.doors[1].admin, "config_rejected"), 1);
    assert_eq!(world.put(&document(3)), Ok(2));
    world.until_in_force([0], 2);
    let mut with = document(4);
    with["settings"]["Safety"]["OnlyHere"] = json!(1);
    assert_eq!(world.put(&with), Ok(3));
    world.until_in_force(0..2, 3);
    world.end();
}

/// Guards a zone against the loss of its control machine: its gateways go to another one and get the next version there, and
/// the machine comes back with its disk, learns what it has missed and gives it out.
#[test]
fn a_zone_without_its_control_machine_gets_the_next_version() {
    let mut world = World::of("rollout-killed", 3);
    assert_eq!(world.put_at_last(&document(1)), 1);
    world.until_in_force(0..3, 1);
    world.until_heard(0, "c-0");
    world.kill(0);
    world.until_heard(0, "c-1");
    // The tool passes over the one that is gone.
    assert_eq!(world.put(&document(2)), Ok(2));
    world.until_in_force(0..3, 2);
    world.start(0);
    world.until("it has the newest", |world| {
        let status = world.status();
        let own = &status["machines"][0];
        own["fresh"] == true && own["newest"]["version"] == 2 && own["has_document"] == true
    });
    world.until_heard(0, "c-0");
    assert_eq!(world.put(&document(3)), Ok(3));
    world.until_in_force(0..3, 3);
    world.end();
}

/// Guards against a control machine that wakes up late: it was stopped over two versions, and takes nobody back, neither its
/// own gateways nor the others.
#[test]
fn a_control_machine_that_wakes_up_late_takes_nobody_back() {
    let world = World::of("rollout-late", 4);
    assert_eq!(world.put_at_last(&document(1)), 1);
    world.until_in_force(0..4, 1);
    world.until_heard(0, "c-0");
    world.signal(0, Signal::STOP);
    world.until_heard(0, "c-1");
    assert_eq!(world.put_by(&document(2), "back.ini"), Ok(2));
    assert_eq!(world.put_by(&document(3), "back.ini"), Ok(3));
    world.until_in_force(0..4, 3);
    world.signal(0, Signal::CONT);
    world.until("it knows", |world| {
        let status = world.status();
        let late = &status["machines"][0];
        late["fresh"] == true && late["newest"]["version"] == 3 && late["has_document"] == true
    });
    world.until_heard(0, "c-0");
    world.until_heard(3, "c-0");
    for gateway in 0..4 {
        let standing = world.standing(gateway);
        assert_eq!((&standing["older"], &standing["version"]), (&json!(0), &json!(3)), "gateway {gateway}");
    }
    world.end();
}

/// Guards against a control machine that comes back with an old disk and finds no majority: it gives its version to nobody,
/// not even to a gateway that has none and finds nobody else.
#[test]
fn a_control_machine_with_an_old_disk_says_nothing_before_it_knows() {
    let mut world = World::of("rollout-old", 4);
    world.kill(MACHINES + 3);
    assert_eq!(world.put_at_last(&document(1)), 1);
    world.until_in_force(0..3, 1);
    world.until("it is on all disks", |world| {
        let status = world.status();
        (0..MACHINES).all(|machine| status["machines"][machine]["has_document"] == true)
    });
    world.kill(0);
    assert_eq!(world.put_at_last(&document(2)), 2);
    assert_eq!(world.put_at_last(&document(3)), 3);
    world.until_in_force(0..3, 3);
    world.signal(1, Signal::STOP);
    world.signal(2, Signal::STOP);
    world.start(MACHINES + 3);
    world.start(0);
    world.until("it has heard the new gateway", |world| {
        let status = world.status();
        let gateways = status["gateways"].as_array();
        gateways.is_some_and(|all| all.iter().any(|gateway| gateway["name"] == "gw-3"))
    });
    world.until("the new gateway has asked around", |world| {
        world.standing(3)["cut_off_ms"].as_u64() > Some(5_000)
    });
    assert_eq!(world.status()["newest"]["version"], 1, "it knows no better");
    assert_eq!(world.in_force(3), [0; 0], "and says nothing");
    world.signal(1, Signal::CONT);
    world.signal(2, Signal::CONT);
    world.until_in_force(0..4, 3);
    // The log is written by a thread of its own, behind the board.
    world.until("its log says so", |world| !world.in_force(3).is_empty());
    assert_eq!(world.in_force(3), [3], "nothing older in between");
    world.end();
}

/// Guards the jump: a gateway that was stopped, or dead, over several versions takes the newest alone.
#[test]
fn a_gateway_that_was_away_takes_the_newest_alone() {
    let mut world = World::of("rollout-away", 3);
    assert_eq!(world.put_at_last(&document(1)), 1);
    world.until_in_force(0..3, 1);
    world.signal(MACHINES, Signal::STOP);
    world.kill(MACHINES + 1);
    for mark in 2..6 {
        assert_eq!(world.put(&document(mark)), Ok(mark as u64));
        world.until_in_force([2], mark as u64);
    }
    world.until("the tool says who lags", |world| {
        let status = world.status();
        let stands: Vec<_> = (0..3).map(|gateway| status["gateways"][gateway]["stands"].clone()).collect();
        stands == ["silent", "silent", "in_force"]
    });
    assert!(world.table().matches("silent for").count() == 2);
    world.signal(MACHINES, Signal::CONT);
    world.start(MACHINES + 1);
    world.until_in_force(0..2, 5);
    assert_eq!((world.in_force(0), world.in_force(1)), (vec![1, 5], vec![1, 5]));
    world.end();
}

/// Guards the majority: without it nothing is accepted and nothing comes into force, which the operator is told; with it
/// again, a version is accepted without a hand.
#[test]
fn without_a_majority_nothing_is_accepted() {
    let world = World::of("rollout-few", 3);
    assert_eq!(world.put_at_last(&document(1)), 1);
    world.until_in_force(0..3, 1);
    world.signal(1, Signal::STOP);
    world.signal(2, Signal::STOP);
    world.until("it knows that it is alone", |world| world.status()["machines"][0]["fresh"] == false);
    let why = world.put(&document(2)).expect_err("nobody to agree with");
    assert!(why.contains("no majority") && !why.contains("uncertain"), "{why}");
    assert_eq!(world.status()["newest"]["version"], 1);
    assert!((0..3).all(|gateway| world.standing(gateway)["version"] == 1));
    world.until("the gateways know that they are cut off", |world| {
        (0..3).all(|gateway| world.standing(gateway)["cut_off_ms"].as_u64() > Some(0))
    });
    world.until_logged(MACHINES, "config: cut off from all control machines");
    world.signal(1, Signal::CONT);
    world.signal(2, Signal::CONT);
    let number = world.put_at_last(&document(3));
    world.until_in_force(0..3, number);
    world.until("it says so", |world| world.status()["in_force"] == 3);
    world.until_logged(MACHINES, "config: no longer cut off");
    world.end();
}

/// Guards operators against a gateway that was forgotten: a member of the fleet that no control machine has heard is named.
#[test]
fn a_member_that_no_control_machine_has_heard_is_named() {
    let mut world = World::of("rollout-unheard", 2);
    world.kill(MACHINES + 1);
    let (ini, json) = (format!("{}.ini", MACHINES + 1), format!("{}.json", MACHINES + 1));
    let change = |file: &str, change: &dyn Fn(String) -> String| {
        let path = world.folder.join(file);
        std::fs::write(&path, change(std::fs::read_to_string(&path).expect("there"))).expect("written");
    };
    change(&ini, &|text| text.split("[control]").next().expect("a part").to_string());
    change(&json, &|text| text.replace("\"gw-1\"", "\"forgotten\""));
    world.start(MACHINES + 1);
    world.until("it is named", |world| world.status()["unheard"] == json!(["forgotten"]));
    assert!(world.table().contains("forgotten: a member of the fleet that no control machine has heard"));
    assert_eq!(world.standing(1), Value::Null, "without [control] it says nothing of versions");
    assert_eq!(world.put_at_last(&document(1)), 1);
    world.until_in_force([0], 1);
    assert_eq!(figure(world.doors[1].admin, "config_applied"), 0);
    world.end();
}

/// Guards against two operators at once: each gets a number of its own, at different control machines, and all gateways end
/// with the later one.
#[test]
fn two_operators_at_once_get_two_numbers() {
    let world = World::of("rollout-two", 3);
    assert_eq!(world.put_at_last(&document(0)), 1);
    for turn in 0..5 {
        let (mut numbers, bytes) = std::thread::scope(|scope| {
            let world = &world;
            let put = |mark: usize, by: &'static str| scope.spawn(move || world.put_by(&document(mark), by));
            let both = [put(10 + turn, "0.ini"), put(20 + turn, "back.ini")];
            let numbers = both.map(|put| put.join().expect("no panic").expect("accepted"));
            (numbers, [10 + turn, 20 + turn])
        });
        let last = bytes[usize::from(numbers[1] > numbers[0])];
        numbers.sort_unstable();
        assert_eq!(numbers, [2 * turn as u64 + 2, 2 * turn as u64 + 3]);
        world.until_in_force(0..3, numbers[1]);
        let shown = world.config(&["show"], "0.ini");
        let shown: Value = serde_json::from_slice(&shown.stdout).expect("a document");
        assert_eq!(shown, document(last), "the number is the later operator's");
    }
    let digests: Vec<Value> = (0..3).map(|gateway| world.standing(gateway)["digest"].clone()).collect();
    assert!(digests.iter().all(|digest| digest.is_string() && *digest == digests[0]), "{digests:?}");
    world.end();
}

/// Guards order under a row of changes, each accepted after the one before: numbers rise by one and at each gateway, and the
/// last is in force everywhere.
#[test]
fn the_last_of_many_changes_is_in_force_everywhere() {
    let world = World::of("rollout-many", 4);
    let first = world.put_at_last(&document(0));
    for mark in 1..=20 {
        assert_eq!(world.put(&document(mark)), Ok(first + mark as u64));
    }
    world.until_in_force(0..4, first + 20);
    world.until("the tool says so", |world| world.status()["in_force"] == 4);
    let shown = world.config(&["show", "--number", &(first + 19).to_string()], "0.ini");
    assert_eq!(serde_json::from_slice::<Value>(&shown.stdout).expect("the one before"), document(19));
    assert!(!world.config(&["show", "--number", "1"], "0.ini").status.success(), "long gone");
    // Who has it in force says so after it has counted it; each had the one that the file before the first brought.
    for gateway in 0..4 {
        let versions = world.in_force(gateway);
        assert!(versions.is_sorted_by(|a, b| a < b), "{versions:?}");
        assert_eq!(figure(world.doors[gateway].admin, "config_applied"), versions.len() as u64);
    }
    world.end();
}

/// Guards the file that a gateway keeps: with it the gateway starts on its version while nobody can be asked; without it, or
/// with one that is spoilt, it starts on its own file and gets the newest again.
#[test]
fn a_gateway_keeps_its_version_and_survives_without_the_file() {
    let mut world = World::of("rollout-file", 1);
    assert_eq!(world.put_at_last(&document(1)), 1);
    world.until_in_force([0], 1);
    let kept = world.folder.join(format!("kept-{MACHINES}"));
    let whole = std::fs::read(&kept).expect("kept");
    for spoilt in [None, Some(&whole[..whole.len() - 1]), Some(b"{}"), Some(b"")] {
        world.kill(MACHINES);
        match spoilt {
            None => std::fs::remove_file(&kept).expect("it was there"),
            Some(bytes) => std::fs::write(&kept, bytes).expect("written"),
        }
        world.start(MACHINES);
        world.until("it is kept again", |_| std::fs::read(&kept).is_ok_and(|bytes| bytes == whole));
        world.until_in_force([0], 1);
    }
    world.until_logged(MACHINES, "config: the version kept cannot be used, starting without");

    // With its own file alone it would not say so.
    (0..MACHINES).for_each(|machine| world.kill(machine));
    world.kill(MACHINES);
    world.start(MACHINES);
    world.until_in_force([0], 1);
    assert_eq!(world.standing(0)["machine"], Value::Null);
    let table = world.table();
    assert!(
        table.contains("no control machine answers") && table.matches("not reached").count() == MACHINES,
        "{table}"
    );
    assert!(!world.config(&["status"], "0.ini").status.success());
    assert!(world.put(&document(2)).is_err_and(|why| why.contains("no control machine answers")));
    world.until_logged(MACHINES, "config: goes on with the version kept");
    assert!(world.end_process(MACHINES), "it ends in good order");
    world.end();
}

/// Guards an upgrade: the process that follows starts on the version in force, and takes what the one before has taken since,
/// also when no control machine is there to say it; the two do not write one file at once.
#[test]
fn an_upgrade_goes_on_with_the_version_in_force() {
    let mut world = World::of("rollout-upgrade", 1);
    assert_eq!(world.put_at_last(&document(1)), 1);
    world.until_in_force([0], 1);
    let next = world.start_successor(0);
    world.until_logged(MACHINES + next, "ready");
    world.until_logged(MACHINES + next, "config: the file is not to be had yet");
    assert_eq!(world.put(&document(2)), Ok(2));
    world.until_in_force([0], 2);
    (0..MACHINES).for_each(|machine| world.kill(machine));
    assert!(world.end_process(MACHINES), "it ends in good order");
    world.until_in_force([next], 2);
    assert_eq!(figure(world.doors[next].admin, "config_applied"), 1);
    (0..MACHINES).for_each(|machine| world.start(machine));
    assert_eq!(world.put_at_last(&document(3)), 3);
    world.until_in_force([next], 3);
    world.end();
}

/// Guards a version against a disk of a gateway that takes nothing for a while, at each of the calls that keep it: the
/// gateway says so, and has the version in force once it can keep it, without a newer one or a start.
#[test]
fn a_version_that_cannot_be_stored_for_a_while_is_taken_once_it_can_be() {
    let world = World::of("rollout-full", 1);
    let mut number = world.put_at_last(&document(0));
    world.until_in_force([0], number);
    let faults = world.faults(MACHINES);
    let calls =
        ["open 28 1 kept", "write 28 1 kept", "fsync 5 1 kept", "rename 5 1 kept", "fsync 5 2 rollout-full"];
    for (index, fault) in calls.into_iter().enumerate() {
        faults.set(fault);
        number = world.put_at_last(&document(index + 1));
        world.until(&format!("{fault}: it says so"), |world| world.standing(0)["unstored"].is_string());
        assert!(world.standing(0)["version"].as_u64() < Some(number), "{fault}: not said to be in force");
        faults.set("");
        world.until_in_force([0], number);
        world.until("it says so no more", |world| world.standing(0)["unstored"].is_null());
    }
    world.end();
}

/// Guards the file that a gateway keeps against a kill between any two steps of storing, half of a write included: it starts
/// on the version before or on this one, and goes on from there.
#[test]
fn a_gateway_that_is_killed_while_it_stores_starts_on_what_is_whole() {
    let mut world = World::of("rollout-killed", 1);
    let mut number = world.put_at_last(&document(0));
    world.until_in_force([0], number);
    let faults = world.faults(MACHINES);
    let moments = ["open kill 1 kept", "write half 1 kept", "fsync kill 1 kept", "rename kill 1 kept"];
    for (index, moment) in moments.into_iter().enumerate() {
        faults.set(moment);
        number = world.put_at_last(&document(index + 1));
        let began = std::time::Instant::now();
        while !world.has_ended(MACHINES) {
            assert!(began.elapsed().as_secs() < 60, "{moment}: it was to be killed");
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        faults.set("");
        world.kill(MACHINES);
        world.start(MACHINES);
        world.until_in_force([0], number);
    }
    world.end();
}

/// Guards a control machine against the same: what it cannot store it does not promise, and it stores again as soon as it
/// can; killed in the middle of it, it comes back with what is whole.
#[test]
fn a_control_machine_whose_disk_fails_promises_nothing_and_goes_on() {
    let mut world = World::of("rollout-shelf", 1);
    let mut number = world.put_at_last(&document(0));
    world.until_in_force([0], number);
    let calls = ["open 28 1 kept", "write 28 1 kept", "fsync 5 1 kept", "rename 5 1 kept"];
    for (index, fault) in calls.into_iter().enumerate() {
        // All of them: nobody can keep the document.
        (0..MACHINES).for_each(|machine| world.faults(machine).set(fault));
        let refused = world.put(&document(10 + index)).expect_err("nobody has kept it");
        assert!(refused.contains("cannot store it"), "{fault}: {refused}");
        (0..MACHINES).for_each(|machine| world.faults(machine).set(""));
        let next = world.put_at_last(&document(20 + index));
        assert!(next > number);
        number = next;
        world.until_in_force([0], number);
    }
    for (index, moment) in
        ["write half 1 kept", "fsync kill 1 kept", "rename kill 1 kept"].into_iter().enumerate()
    {
        world.faults(0).set(moment);
        let _ = world.put(&document(30 + index));
        world.until(&format!("{moment}: killed"), |world| world.put(&document(40 + index)).is_ok());
        world.faults(0).set("");
        world.kill(0);
        world.start(0);
        number = world.put_at_last(&document(50 + index));
        world.until_in_force([0], number);
    }
    world.end();
}
