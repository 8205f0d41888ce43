//! New settings at SIGHUP: files taken whole or not at all, and classes that change under open requests.

mod harness;

use std::sync::atomic::Ordering;

use dunemount::classes::Classes;
use dunemount::{Class, ClassId, Consistency, Idempotency, Micros};
use harness::{figure, read, write, Harness};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

/// Guards against half a file: whatever is missing or cannot be, nothing of it counts, the figures say
/// so, and the classes in force go on.
#[test]
fn a_broken_file_changes_nothing() {
    let mut harness = Harness::start(200);
    let whole = harness.text.clone();
    let none: [Option<Value>; 1] = [None];
    let broken: Vec<String> = [
        String::new(),
        whole[..whole.len() / 2].to_string(),
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
        none.into_iter()
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
        // A class that only the broken file names tells whether anything of it was taken.
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

/// Guards a new class: it is served under its own rules at once, with counts of its own, while a request
/// of the class that it replaces is still open and gets its answer.
#[test]
fn new_classes_count_at_once_and_open_requests_keep_theirs() {
    let mut harness = Harness::start(200);
    let mut busy = harness.client();
    busy.ask(&read("held"));
    while !harness.heard.recv().expect("heard").contains("'held'") {}
    let mut config: Value = serde_json::from_str(&harness.text).expect("json");
    let classes = &mut config["settings"]["Classes"];
    // The first name now stands for an unsafe write, and the second is dropped for another.
    classes[0]["Name"] = json!("glance");
    classes[1] = json!({"Name": "look", "AimMs": 30000.0, "DeadlineMs": 30000.0, "Value": 1.0,
        "Effect": "non_idempotent"});
    harness.retune(&config.to_string());
    while figure(harness.admin, "config_applied") < 1 {}
    let mut client = harness.client();
    for (text, frames) in [
        (read("k").replace("c=look", "c=glance"), 4),
        (write("k").replace("c=store", "c=look"), 4),
        // May have run, and may not be repeated: one attempt, then failed.
        (write("first-breaks").replace("c=store", "c=look"), 2),
        (read("k"), 2),
    ] {
        client.ask(&text);
        assert_eq!(client.answer().len(), frames, "{text}");
    }
    harness.mood.released.store(true, Ordering::SeqCst);
    assert_eq!(busy.answer().len(), 4, "under the rules it came with");
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

    /// Guards the numbers of classes: while a request bears one it keeps its rules, every named class has
    /// the rules that the last file gave it, and numbers nobody bears are used again.
    #[test]
    fn numbers_keep_their_meaning_while_they_are_borne(
        files in prop::collection::vec((prop::collection::btree_map(0..5u8, 0..4u8, 1..5), 0..5u8, any::<bool>()), 1..40),
    ) {
        let (mut classes, mut now, mut open) = (Classes::default(), Micros(0), Vec::<(ClassId, Class)>::new());
        for (file, ask, ends) in files {
            now = now + Micros::millis(700);
            let new: Vec<_> = file.iter().map(|(name, rule)| (name.to_string(), class(*rule))).collect();
            let table = classes.update(now, new, |id| open.iter().any(|(borne, _)| *borne == id));
            for (id, rules) in &open {
                prop_assert_eq!(&table[id.0], rules);
            }
            for (name, rule) in &file {
                let id = classes.id(now, &name.to_string()).expect("named");
                prop_assert_eq!(&table[id.0], &class(*rule));
            }
            prop_assert!(table.len() <= 10 + open.len() + 15, "numbers are never given back");
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
