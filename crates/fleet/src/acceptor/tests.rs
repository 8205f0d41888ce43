//! Tests of the acceptor.

use super::*;
use crate::register::MAX_ACCEPTORS;

/// Guards the admission of an acceptor: pages of two reconfigurations are not combined into one state, and an acceptor
/// set with a slot above the maximum is rejected.
#[test]
fn parts_of_two_reconfigurations_do_not_add_up() {
    let mut acceptor = Acceptor::uninitialized(AcceptorSlot(0), 5);
    let acceptors = AcceptorSet::default().with(AcceptorSlot(0), acceptor.generation());
    let mut install = |nonce, keys: &[&str]| {
        let registers = keys.iter().map(|key| (key.to_string(), RegisterState::default())).collect();
        let operation = Operation::InstallState { registers, total: 3 };
        match acceptor.handle_request(AcceptorRequest { acceptors: acceptors.clone(), nonce, operation }) {
            RequestOutcome::Reply(reply) => reply.answer,
            RequestOutcome::Store(pending) => pending.stored().answer,
        }
    };
    assert_eq!(install(1, &["a", "b"]), Answer::Rejected(Rejection::InstallIncomplete(2)));
    assert_eq!(install(2, &["d"]), Answer::Rejected(Rejection::InstallIncomplete(1)));
    assert_eq!(install(2, &["a", "c"]), Answer::StateInstalled);
    let operation = Operation::Reconfigure { after: Key::new() };
    let too_many = acceptors.with(AcceptorSlot(MAX_ACCEPTORS), 9);
    let outcome = acceptor.handle_request(AcceptorRequest { acceptors: too_many, nonce: 3, operation });
    let rejected = Answer::Rejected(Rejection::LimitExceeded);
    assert!(matches!(outcome, RequestOutcome::Reply(reply) if reply.answer == rejected));
}
