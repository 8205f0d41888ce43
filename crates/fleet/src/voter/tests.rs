//! A voter of the fleet.

use super::*;

/// Guards a voter that is let in: parts of two admissions do not add up to one, and a view of places that no fleet
/// has is not stored.
#[test]
fn parts_of_two_admissions_do_not_add_up() {
    let mut voter = Voter::blank(Slot(0), 5);
    let view = View::default().with(Slot(0), voter.generation());
    let mut install = |nonce, keys: &[&str]| {
        let registers = keys.iter().map(|key| (key.to_string(), Cell::default())).collect();
        let call = Call { view: view.clone(), nonce, request: Request::Install { registers, total: 3 } };
        match voter.ask(call) {
            Step::Reply(reply) => reply.answer,
            Step::Store(pending) => pending.stored().answer,
        }
    };
    assert_eq!(install(1, &["a", "b"]), Answer::Refused(Refusal::Arrived(2)));
    assert_eq!(install(2, &["d"]), Answer::Refused(Refusal::Arrived(1)));
    assert_eq!(install(2, &["a", "c"]), Answer::Installed);
    let request = Request::Admit { after: Key::new() };
    let call = Call { view: view.with(Slot(MAX_ACCEPTORS), 9), nonce: 3, request };
    assert!(
        matches!(voter.ask(call), Step::Reply(reply) if reply.answer == Answer::Refused(Refusal::Bounds))
    );
}
