//! A configuration's version to all gateways, played in virtual time: each rule with a variant that breaks it and that the
//! same audit finds.

mod world;

use std::time::Duration;

use dunemount_rollout::wire::Message;
use world::{Process, State, Variant, Weather, World, ACCEPT, FRESH, MACHINES, STEP};
use Process::{Gateway as G, Machine as M};

const SECOND: Duration = Duration::from_secs(1);

/// So many gateways, spread over the zones.
fn spread(count: usize) -> Vec<usize> {
    (0..count).map(|index| index % MACHINES).collect()
}

/// Gateways and control machines that have met, and a first version in force everywhere.
fn settled(seed: u64, zones: &[usize], weather: Weather, variant: Variant) -> World {
    let mut world = World::new(seed, zones, Weather::FAIR, variant);
    world.run(SECOND * 3);
    put(&mut world, 0, "good first");
    assert_eq!(world.behind(), [], "seed {seed}");
    world.weather = weather;
    world
}

/// Puts a document, and waits until it is answered and three seconds more.
fn put(world: &mut World, machine: usize, document: &str) -> Message {
    let tool = world.put_document(machine, document);
    let end = world.now + ACCEPT * 2;
    while world.tools[tool].answer.is_none() && world.now < end {
        world.run(STEP);
    }
    let answer = world.tools[tool].answer.clone().expect("an answer");
    world.run(SECOND * 3);
    answer
}

fn number(answer: &Message) -> Option<u64> {
    match answer {
        Message::Accepted(version) => Some(version.number),
        _ => None,
    }
}

/// A run with all kinds of faults, and a quiet end.
fn play(seed: u64, variant: Variant) -> World {
    let mut world = settled(seed, &spread(24), Weather::FOUL, variant);
    let until = world.now + SECOND * 40;
    let mut documents = 0;
    while world.now < until && world.faults.is_empty() {
        let (machine, gateway) = (world.pick(MACHINES), world.pick(24));
        match world.pick(16) {
            0 if (0..MACHINES).filter(|index| world.machines[*index].state == State::Up).count() > 3 => {
                world.kill(M(machine));
            }
            1 => world.stop(M(machine)),
            2 | 3 => {
                world.wake(M(machine));
                world.start(M(machine));
            }
            4 => world.kill(G(gateway)),
            5 => world.stop(G(gateway)),
            6 | 7 => {
                world.wake(G(gateway));
                world.start(G(gateway));
            }
            8 => {
                let (a, b) = (world.pick(MACHINES), world.pick(MACHINES));
                world.cuts.insert((a.min(b), a.max(b)));
            }
            9 => world.cuts.clear(),
            10 => drop(world.cut_off.insert(machine)),
            11 => world.cut_off.clear(),
            12 if world.part() < 0.3 => world.part_regions(),
            13 => {
                let broken = world.part() < 0.5;
                world.break_disk(machine, broken);
            }
            _ => {
                documents += 1;
                let kind = ["good", "good", "good", "half", "bad"][world.pick(5)];
                world.put_document(machine, &format!("{kind} {documents}"));
                if world.part() < 0.3 {
                    let other = world.pick(MACHINES);
                    world.put_document(other, &format!("good {documents} too"));
                }
            }
        }
        let lasts = Duration::from_millis(50).mul_f64(1.0 + 10.0 * world.part());
        world.run(lasts);
    }
    world.calm();
    world.run(SECOND * 20);
    world
}

/// Guards all rules at once under faults of all kinds; and once they stop, everybody has the newest.
#[test]
fn all_rules_hold_whatever_fails_and_all_have_the_newest_in_the_end() {
    let (mut versions, mut answers, mut uncertain) = (0, 0, 0);
    for seed in 0..24 {
        let world = play(seed, Variant::Nothing);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.denied(), None, "seed {seed}");
        assert_eq!(world.behind(), [], "seed {seed}");
        versions += world.chosen.len();
        answers += world.tools.iter().filter(|tool| tool.answer.is_some()).count();
        let open =
            |answer: &Option<Message>| matches!(answer, Some(Message::NotAccepted { uncertain: true, .. }));
        uncertain += world.tools.iter().filter(|tool| open(&tool.answer)).count();
    }
    println!("{versions} versions, {answers} answers, {uncertain} of them uncertain");
    assert!(versions > 150 && uncertain > 0, "{versions} versions, {uncertain} uncertain");
}

/// What breaks a rule in the first of the runs above that shows it, with that run's number.
fn first_fault(variant: Variant) -> Option<(u64, String)> {
    (0..24).find_map(|seed| {
        let world = play(seed, variant);
        Some((seed, world.faults.first().cloned().or_else(|| world.denied())?))
    })
}

/// Guards the bytes of what is named, and what operators are told: the runs above find a disk that lies, an answer that says
/// more than is known, and one that rests on what a promise told.
#[test]
fn variants_of_disks_and_answers_are_found() {
    for (variant, word) in [
        (Variant::DiskLies, "on 0 disks"),
        (Variant::Certain, "told for certain"),
        (Variant::TrustsPromise, "never chosen"),
    ] {
        let found = first_fault(variant);
        println!("{variant:?}: {found:?}");
        assert!(found.is_some_and(|(_, fault)| fault.contains(word)), "{variant:?}");
    }
}

/// The rule of all or nothing: a bad document, and one that a third of the gateways cannot use.
fn good_and_bad(variant: Variant) -> World {
    let mut world = settled(1, &spread(12), Weather::FAIR, variant);
    put(&mut world, 1, "bad second");
    put(&mut world, 2, "half third");
    world.run(SECOND * 5);
    world
}

/// R1: a bad version gets no number, with line and cause; one that cannot be used somewhere changes nothing there, is told
/// with the reason, and is not offered again and again.
#[test]
fn a_version_is_in_force_whole_or_not_at_all() {
    let mut world = good_and_bad(Variant::Nothing);
    assert_eq!(world.faults, Vec::<String>::new());
    let not = Message::NotAccepted { why: "line 1: bad".to_string(), uncertain: false };
    assert_eq!(world.tools[1].answer, Some(not));
    assert_eq!(number(world.tools[2].answer.as_ref().expect("one")), Some(2), "the bad one has none");
    for (index, gateway) in world.gateways.iter().enumerate() {
        let standing = gateway.follower.as_ref().expect("up").standing(world.now);
        let in_force = standing.in_force.map(|version| version.number);
        if index % 3 == 0 {
            assert_eq!((in_force, gateway.refusals), (Some(1), 1), "once");
            assert_eq!(
                standing.refused.map(|refused| refused.why),
                Some("it cannot be used here".to_string())
            );
        } else {
            assert_eq!((in_force, gateway.refusals), (Some(2), 0));
        }
    }
    let status = world.machines[0].control.as_ref().expect("up").status(world.now);
    let refused = status.gateways.iter().filter(|seen| seen.refused.is_some()).count();
    assert_eq!(refused, 2, "told by gateways 0 and 6");
    put(&mut world, 0, "good fourth");
    assert_eq!(world.behind(), [], "the next one goes everywhere");
    let refused = |world: &World| {
        let standing =
            |follower: &dunemount_rollout::follower::Follower| follower.standing(world.now).refused;
        world.gateways.iter().filter(|g| g.follower.as_ref().and_then(standing).is_some()).count()
    };
    assert_eq!(refused(&world), 0);
}

#[test]
fn variants_of_all_or_nothing_are_found() {
    for variant in [Variant::ToolAlone, Variant::HalfTaken] {
        let world = good_and_bad(variant);
        println!("{variant:?}: {:?}", world.faults.first());
        assert!(!world.faults.is_empty(), "{variant:?}");
    }
}

/// Guards the worst of losses: no control machine has the newest version's bytes. Gateways go on with what they have, the
/// same document put again mends it, and so does another one.
#[test]
fn bytes_that_all_have_lost_are_put_again() {
    for (again, expected) in [("good second", 2), ("good third", 3)] {
        let mut world = settled(3, &spread(12), Weather::FAIR, Variant::Nothing);
        world.kill(G(5));
        put(&mut world, 1, "good second");
        (0..MACHINES).for_each(|index| world.lose_disk(index));
        world.start(G(5));
        world.run(SECOND * 5);
        assert_eq!(world.behind(), [5]);
        let status = world.machines[2].control.as_ref().expect("up").status(world.now);
        assert!(status.fresh && !status.has_document);
        assert_eq!(number(&put(&mut world, 4, again)), Some(expected));
        assert_eq!((world.behind(), world.faults), (vec![], vec![]));
    }
}

/// The rule that nothing goes back: a control machine sleeps over several versions in a zone that is cut off as it wakes
/// up, and a gateway of that zone has lost what it kept.
fn late_machine(seed: u64, variant: Variant) -> World {
    let mut world = settled(seed, &spread(12), Weather::FAIR, variant);
    world.stop(M(4));
    for version in 2..6 {
        put(&mut world, 0, &format!("good {version}"));
    }
    world.run(SECOND * 5);
    assert_eq!(world.behind(), [], "those of its zone have them from another one");
    for other in 0..MACHINES {
        world.cuts.insert((other.min(4), other.max(4)));
    }
    world.cuts.remove(&(4, 4));
    world.cut_off.insert(4);
    world.kill(G(4));
    world.gateways[4].disk = None;
    world.start(G(4));
    world.wake(M(4));
    world.run(SECOND * 10);
    world
}

/// R2: whoever wakes up late gives nothing out before the register has told; then all is well by itself.
#[test]
fn nothing_goes_back_whoever_wakes_up_late() {
    for seed in 0..8 {
        let mut world = late_machine(seed, Variant::Nothing);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        assert_eq!(
            world.gateways[4].takes.last(),
            Some(&5),
            "seed {seed}: what it took before it was started anew"
        );
        assert!(
            world.gateways[4].running.is_none(),
            "seed {seed}: nothing is in force rather than what is old"
        );
        let standing = world.gateways[4].follower.as_ref().expect("up").standing(world.now);
        assert!(standing.cut_off > SECOND * 9, "seed {seed}: and it says since when: {standing:?}");
        world.calm();
        world.run(SECOND * 10);
        assert_eq!(world.behind(), [], "seed {seed}");
    }
}

#[test]
fn a_machine_that_speaks_before_it_has_looked_is_found() {
    let found: Vec<String> =
        (0..8).filter_map(|seed| late_machine(seed, Variant::LateSpeaker).faults.first().cloned()).collect();
    println!("found in {} of 8: {:?}", found.len(), found.first());
    assert_eq!(found.len(), 8);
    assert!(found.iter().all(|fault| fault.contains("is the newest since") || fault.contains("gone back")));
}

/// The rule of the newest alone: gateways are away over ten versions, killed, stopped or cut off.
fn away(seed: u64, variant: Variant) -> World {
    let mut world = settled(seed, &spread(12), Weather::FAIR, variant);
    world.kill(G(1));
    world.stop(G(2));
    for other in 0..MACHINES {
        if other != 3 {
            world.cuts.insert((other.min(3), other.max(3)));
        }
    }
    world.kill(M(3));
    for version in 2..12 {
        put(&mut world, 0, &format!("good {version}"));
    }
    world.run(SECOND * 5);
    for gateway in &mut world.gateways {
        gateway.takes.clear();
    }
    world.calm();
    world.run(SECOND * 15);
    world
}

/// R3: whoever was away takes the newest without those between, however it was away.
#[test]
fn who_was_away_takes_the_newest_alone() {
    for seed in 0..8 {
        let world = away(seed, Variant::Nothing);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.behind(), [], "seed {seed}");
        for index in [1, 2, 3, 9] {
            assert_eq!(world.gateways[index].takes, [11], "seed {seed}: gateway {index}");
        }
    }
}

#[test]
fn versions_in_order_are_found() {
    for seed in 0..8 {
        let world = away(seed, Variant::InOrder);
        let fault = world.faults.first().expect("found");
        assert!(fault.contains("is the newest since"), "seed {seed}: {fault}");
    }
}

/// The rule of the majority: regions are parted, and an operator on either side puts a document.
fn parted(seed: u64, variant: Variant) -> (World, Message, Message) {
    let mut world = settled(seed, &spread(12), Weather::FAIR, variant);
    world.part_regions();
    world.run(SECOND * 5);
    let without = put(&mut world, 4, "good without a majority");
    let with = put(&mut world, 1, "good with a majority");
    (world, without, with)
}

/// R4: without a majority nothing is accepted and that is said; gateways go on with their last; the other side goes on, and
/// all is joined again by itself.
#[test]
fn without_a_majority_nothing_changes_and_that_is_said() {
    for seed in 0..8 {
        let (mut world, without, with) = parted(seed, Variant::Nothing);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        let Message::NotAccepted { why, uncertain: false } = &without else {
            panic!("seed {seed}: {without:?}")
        };
        assert!(why.contains("no majority of the voters"), "{why}");
        assert_eq!(number(&with), Some(2), "seed {seed}");
        let apart = world.behind();
        assert_eq!(apart, [3, 4, 5, 9, 10, 11], "seed {seed}: those of the other region");
        for index in apart {
            let standing = world.gateways[index].follower.as_ref().expect("up").standing(world.now);
            assert_eq!(standing.in_force.map(|version| version.number), Some(1), "its last");
            assert!(standing.cut_off > FRESH, "{standing:?}");
        }
        let status = world.machines[4].control.as_ref().expect("up").status(world.now);
        assert!(!status.fresh && status.looked_ms > Some(5_000));
        world.calm();
        world.run(SECOND * 10);
        assert_eq!(world.behind(), [], "seed {seed}");
        assert_eq!(number(&put(&mut world, 4, "good again")), Some(3), "seed {seed}");
        assert_eq!(world.denied(), None, "seed {seed}");
    }
}

#[test]
fn a_machine_that_numbers_by_itself_is_found() {
    for seed in 0..8 {
        let (world, ..) = parted(seed, Variant::ByItself);
        let fault = world.faults.first().expect("found");
        assert!(fault.contains("never chosen") || fault.contains("two digests"), "seed {seed}: {fault}");
    }
}

/// The rule of one digest: operators at each of two control machines at the same time.
fn two_operators(seed: u64, variant: Variant) -> World {
    let mut world = settled(seed, &spread(12), Weather::FAIR, variant);
    for turn in 0..5 {
        world.put_document(1, &format!("good one {turn}"));
        world.put_document(4, &format!("good other {turn}"));
        world.run(SECOND * 3);
    }
    world
}

/// R5: two operators at once get two numbers, one after the other, and each is told its own.
#[test]
fn two_operators_at_once_get_two_numbers() {
    for seed in 0..16 {
        let world = two_operators(seed, Variant::Nothing);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        let mut numbers: Vec<u64> = world
            .tools
            .iter()
            .map(|tool| number(tool.answer.as_ref().expect("one")).expect("accepted"))
            .collect();
        numbers.sort();
        assert_eq!(numbers, (1..=11).collect::<Vec<u64>>(), "seed {seed}");
        assert_eq!(world.behind(), [], "seed {seed}");
    }
}

#[test]
fn two_operators_without_a_register_are_found() {
    for seed in 0..8 {
        let world = two_operators(seed, Variant::OwnRegister);
        assert!(!world.faults.is_empty(), "seed {seed}");
    }
}

/// Each gateway's longest time without a fresh machine during a while.
fn longest_cut_off(world: &mut World, lasts: Duration) -> Duration {
    let (until, mut longest) = (world.now + lasts, Duration::ZERO);
    while world.now < until {
        world.run(STEP);
        for gateway in world.gateways.iter().filter(|gateway| gateway.state == State::Up) {
            let standing = gateway.follower.as_ref().expect("up").standing(world.now);
            longest = longest.max(standing.cut_off);
        }
    }
    longest
}

/// The most connections that gateways asked a machine for within a second, since a time.
fn most_knocks(world: &World, machine: usize, since: Duration) -> usize {
    let since = since.as_secs();
    let here = world.knocks.iter().filter(|((at, second), _)| *at == machine && *second >= since);
    here.map(|(_, count)| *count).max().unwrap_or_default()
}

/// A zone of 118 gateways loses its machine for two minutes and gets it back: the longest time without one, and the most
/// connections in a second at the machine that is back.
fn lost(seed: u64, stopped: bool, variant: Variant) -> (World, Duration, usize) {
    let mut zones = vec![0; 118];
    zones.extend([1, 2, 3, 4, 5]);
    let mut world = settled(seed, &zones, Weather::FAIR, variant);
    let longest = if stopped {
        world.stop(M(0));
        longest_cut_off(&mut world, SECOND * 8)
    } else {
        world.kill(M(0));
        longest_cut_off(&mut world, SECOND * 8)
    };
    world.wake(M(0));
    world.start(M(0));
    let back = world.now;
    let again = longest_cut_off(&mut world, SECOND * 32);
    let most = most_knocks(&world, 0, back);
    (world, longest.max(again), most)
}

/// R6: a lost control machine, killed or stopped, costs its zone under a second; all come home again, and not at once.
#[test]
fn a_lost_machine_costs_under_a_second_and_its_return_is_no_storm() {
    for (seed, stopped) in [(1, false), (2, true)] {
        let (world, longest, most) = lost(seed, stopped, Variant::Nothing);
        println!(
            "stopped {stopped}: {longest:?} without one, {most} connections a second at the one that is back"
        );
        assert!(longest < SECOND, "{longest:?}");
        assert!(most <= 20, "{most}");
        assert_eq!(world.faults, Vec::<String>::new());
        let home =
            world.gateways.iter().take(118).filter(|gateway| {
                gateway.follower.as_ref().expect("up").standing(world.now).machine == Some(0)
            });
        assert_eq!(home.count(), 118, "all are home");
    }
}

#[test]
fn coming_home_at_once_is_found() {
    let (_, _, most) = lost(1, false, Variant::AllAtOnce);
    println!("{most} connections a second at the one that is back");
    assert!(most > 20);
}

/// Guards the ordinary day at its fastest: a version each second for a minute, in turn by all control machines; each is
/// accepted, and in force everywhere long before its four seconds are over.
#[test]
fn a_version_each_second_for_a_minute() {
    let mut world = settled(7, &spread(60), Weather::FAIR, Variant::Nothing);
    let (mut tools, mut slowest) = (Vec::new(), Duration::ZERO);
    let mut open: Vec<(u64, Duration)> = Vec::new();
    for turn in 0..66 {
        if turn < 60 {
            tools.push(world.put_document(turn % MACHINES, &format!("good {turn}")));
        }
        for _ in 0..100 {
            let chosen = world.chosen.len();
            world.run(STEP);
            let new = world.chosen[chosen..].iter().map(|(at, version)| (version.number, *at));
            open.extend(new);
            let all = |number: u64| {
                let has = |gateway: &world::GatewayRun| {
                    gateway.running.as_ref().is_some_and(|running| running.version().number >= number)
                };
                world.gateways.iter().all(has)
            };
            let now = world.now;
            open.retain(|(number, at)| {
                let done = all(*number);
                slowest = if done { slowest.max(now - *at) } else { slowest };
                !done
            });
        }
    }
    assert_eq!(world.faults, Vec::<String>::new());
    let numbers: Vec<Option<u64>> =
        tools.iter().map(|tool| number(world.tools[*tool].answer.as_ref().expect("one"))).collect();
    assert_eq!(numbers, (2..62).map(Some).collect::<Vec<_>>());
    let waited = tools.iter().map(|tool| world.tools[*tool].answered - world.tools[*tool].sent).max();
    println!(
        "in force everywhere {slowest:?} after its choice at most; an operator waits {waited:?} at most"
    );
    assert!(open.is_empty() && slowest < SECOND * 4, "{slowest:?}");
}

/// Guards each decision, with its time and its bytes, over runs with all kinds of faults: a change that is to change no
/// behaviour leaves these as they are.
#[test]
fn decisions_stay_as_they_are() {
    let expected = include_str!("fixtures/decisions-v1.txt");
    let decisions: String =
        (0..12).map(|seed| format!("{seed} {}\n", play(seed, Variant::Nothing).decisions)).collect();
    assert_eq!(decisions, expected);
}
