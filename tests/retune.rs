//! Tests of new settings at SIGHUP: a file takes effect completely or not at all, and classes may change while
//! requests of them are in flight.

mod harness;

use std::sync::atomic::Ordering;

use dunemount::classes::Classes;
use dunemount::{Class, ClassId, Consistency, Idempotency, Micros};
use harness::{figure, read, write, Harness};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

/// Guards against a file that takes effect in part: if a key is missing or unusable, the file is ignored and counted as
/// rejected, and the classes in force stay.
#[test]
fn a_broken_file_changes_nothing() {
    let mut harness = Harness::start(200);
    let full_text = harness.text.clone();
    let removed: [Option<Value>; 1] = [None];
    let broken: Vec<String> = [
        String::new(),
        full_text[..full_text.len() / 2].to_string(),
        "[]".to_string(),
        harness.with("/settings", None),
        harness.with("/listen", None),
        harness.with("/known", None),
        harness.with("/limits/memory_mb", None),
        harness.with("/settings/Permissions/MaxRetryAfterMs", None),
        harness.with("/settings/Specifics/NeedsByClass", Some(json!(["loose"]))),
        harness.with("/settings/Classes", Some(json!([]))),
        harness.with("/discovery", Some(json!("nowhere"))),
    ]
    .into_iter()
    .chain(
        removed
            .into_iter()
            .chain([-4, 0].map(|n| Some(json!(n))))
            .chain([Some(json!("x")), Some(json!(null))])
            .flat_map(|bad| {
                [
                    "/settings/Permissions/SendCap",
                    "/settings/Classes/0/DeadlineMs",
                    "/settings/Classes/1/AimMs",
                ]
                .map(|at| harness.with(at, bad.clone()))
            }),
    )
    .collect();
    let count = broken.len() as u64;
    for text in broken {
        // A class that only the broken file has shows whether a part of it took effect.
        harness.retune(&text.replace("\"look\"", "\"glance\""));
    }
    while figure(harness.admin, "config_rejected") < count {}
    assert_eq!(figure(harness.admin, "config_applied"), 0);
    let mut client = harness.client();
    client.ask(&read("k"));
    assert_eq!(client.answer().len(), 4);
    client.ask(&read("k").replace("c=look", "c=glance"));
    assert_eq!(client.code(), "08P01");
    harness.end();
}

/// Guards a new class: requests of it are served by its settings and counted separately at once, while a request of
/// the class that it replaces is still in flight and is answered.
#[test]
fn new_classes_apply_at_once_and_requests_in_flight_keep_theirs() {
    let mut harness = Harness::start(200);
    let mut busy = harness.client();
    busy.ask(&read("held"));
    while !harness.heard.recv().expect("heard").contains("'held'") {}
    let mut config: Value = serde_json::from_str(&harness.text).expect("json");
    let classes = &mut config["settings"]["Classes"];
    // The first class is renamed, its old name now stands for a write that is not idempotent, and the second class is
    // removed.
    classes[0]["Name"] = json!("glance");
    classes[1] = json!({"Name": "look", "AimMs": 30000.0, "DeadlineMs": 30000.0, "Value": 1.0,
        "Effect": "non_idempotent"});
    harness.retune(&config.to_string());
    while figure(harness.admin, "config_applied") < 1 {}
    let mut client = harness.client();
    for (text, frames) in [
        (read("k").replace("c=look", "c=glance"), 4),
        (write("k").replace("c=store", "c=look"), 4),
        // May have run and must not be retried: one attempt, then an error.
        (write("first-breaks").replace("c=store", "c=look"), 2),
        (read("k"), 2),
    ] {
        client.ask(&text);
        assert_eq!(client.answer().len(), frames, "{text}");
    }
    harness.mood.released.store(true, Ordering::SeqCst);
    assert_eq!(busy.answer().len(), 4, "by the settings of the class at its arrival");
    for (name, value) in [("glance.ok", 1), ("look.ok", 2), ("look.tries", 3), ("store.ok", 0)] {
        assert_eq!(figure(harness.admin, &format!("responses.{name}")), value, "{name}");
    }
    harness.end();
}

fn class(rule: u8) -> Class {
    let (time, consistency) = (Micros::millis(u64::from(rule) + 1), Consistency::Eventual);
    Class {
        latency_objective: time,
        deadline: time,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        consistency,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards the ids of classes: while a request in flight has an id, its class stays the same; every class in the
    /// last file has that file's settings; and ids that nothing uses are assigned again.
    #[test]
    fn ids_keep_their_classes_while_requests_use_them(
        files in prop::collection::vec((prop::collection::btree_map(0..5u8, 0..4u8, 1..5), 0..5u8, any::<bool>()), 1..40),
    ) {
        let (mut classes, mut now, mut open) = (Classes::default(), Micros(0), Vec::<(ClassId, Class)>::new());
        for (file, ask, ends) in files {
            now = now + Micros::millis(700);
            let new: Vec<_> = file.iter().map(|(name, rule)| (name.to_string(), class(*rule))).collect();
            let table = classes.update(now, new, |id| open.iter().any(|(used, _)| *used == id));
            for (id, rules) in &open {
                prop_assert_eq!(&table[id.0], rules);
            }
            for (name, rule) in &file {
                let id = classes.id(now, &name.to_string()).expect("named");
                prop_assert_eq!(&table[id.0], &class(*rule));
            }
            prop_assert!(table.len() <= 10 + open.len() + 15, "ids are not used again");
            if ends && !open.is_empty() {
                open.remove(0);
            }
            let asked = classes.id(now, &ask.to_string());
            open.extend(asked.map(|id| (id, table[id.0].clone())));
        }
        let later = now + Micros::millis(2_000);
        let last = classes.update(later, vec![("0".into(), class(0))], |_| false);
        prop_assert!(!last.is_empty() && classes.id(later + Micros::millis(2_000), "4").is_none());
    }
}
