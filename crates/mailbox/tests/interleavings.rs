//! Runs the gateway's mailbox type under a scheduler that tries interleavings of its threads.
#![cfg(feature = "shuttle")]

use std::collections::VecDeque;

use dunemount_mailbox::{Mailbox, Wake};
use shuttle::sync::{Arc, Condvar, Mutex};
use shuttle::{check_random, thread};

/// Interleavings tried for each test.
const INTERLEAVINGS: usize = 3_000;

/// A stand-in for a thread's poller: a wake-up ends the current sleep, or else the next one.
#[derive(Clone, Default)]
struct Poller(Arc<(Mutex<bool>, Condvar)>);

impl Poller {
    fn sleep(&self) {
        let mut is_notified = self.0 .0.lock().unwrap();
        while !*is_notified {
            is_notified = self.0 .1.wait(is_notified).unwrap();
        }
        *is_notified = false;
    }
}

impl Wake for Poller {
    fn wake(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_one();
    }
}

/// Guards against messages that are lost, duplicated or out of order for one sender, and against lost wake-ups: the
/// owner drains only between sleeps, and a lost wake-up would leave it asleep for ever, which the scheduler detects.
#[test]
fn no_message_or_wake_up_is_lost_or_duplicated() {
    check_random(
        || {
            let poller = Poller::default();
            let mailbox = Arc::new(Mailbox::new(64, poller.clone()));
            for sender in 0..2 {
                let mailbox = mailbox.clone();
                thread::spawn(move || {
                    for number in 0..3 {
                        if number == 1 {
                            mailbox.send((sender, number));
                        } else {
                            assert!(mailbox.try_send((sender, number)).is_ok());
                        }
                    }
                });
            }
            let mut received = VecDeque::new();
            while received.len() < 6 {
                mailbox.drain_into(&mut received);
                if received.len() < 6 && mailbox.prepare_sleep() {
                    poller.sleep();
                }
            }
            for sender in 0..2 {
                let own: Vec<i32> = received.iter().filter(|(s, _)| *s == sender).map(|(_, n)| *n).collect();
                assert_eq!(own, [0, 1, 2]);
            }
        },
        INTERLEAVINGS,
    );
}

/// Guards the bound: in each interleaving no more bounded messages are queued than the capacity, each of them is either
/// received or rejected, and unbounded messages are always accepted.
#[test]
fn the_bound_holds_and_unbounded_messages_are_accepted() {
    check_random(
        || {
            let mailbox = Arc::new(Mailbox::new(2, Poller::default()));
            let senders: Vec<_> = (0..2)
                .map(|sender| {
                    let mailbox = mailbox.clone();
                    thread::spawn(move || {
                        mailbox.send(100 + sender);
                        (0..3).filter(|_| mailbox.try_send(sender).is_ok()).count()
                    })
                })
                .collect();
            let (mut received, mut batch) = (0, VecDeque::new());
            for _ in 0..2 {
                mailbox.drain_into(&mut batch);
                assert!(batch.iter().filter(|message| **message < 100).count() <= 2);
                received += batch.drain(..).count();
            }
            let accepted: usize = senders.into_iter().map(|sender| sender.join().unwrap()).sum();
            mailbox.drain_into(&mut batch);
            received += batch.len();
            assert_eq!(received, accepted + 2);
            let stats = mailbox.stats();
            assert!(stats.peak <= 4 && stats.rejected as usize == 6 - accepted);
        },
        INTERLEAVINGS,
    );
}

/// A mailbox with a race: it checks whether the owner sleeps before it queues the message, and not under the same lock.
struct RacyMailbox {
    queue: Mutex<VecDeque<u32>>,
    is_asleep: Mutex<bool>,
    poller: Poller,
}

impl RacyMailbox {
    fn send(&self, message: u32) {
        let must_wake = std::mem::take(&mut *self.is_asleep.lock().unwrap());
        self.queue.lock().unwrap().push_back(message);
        if must_wake {
            self.poller.wake();
        }
    }

    fn prepare_sleep(&self) -> bool {
        let is_empty = self.queue.lock().unwrap().is_empty();
        *self.is_asleep.lock().unwrap() = is_empty;
        is_empty
    }
}

/// Guards the tests above: the scheduler must detect the lost wake-up of a mailbox with a race.
#[test]
fn a_racy_mailbox_is_caught() {
    let caught = std::panic::catch_unwind(|| {
        check_random(
            || {
                let poller = Poller::default();
                let mailbox = Arc::new(RacyMailbox {
                    queue: Mutex::default(),
                    is_asleep: Mutex::default(),
                    poller: poller.clone(),
                });
                let sender = mailbox.clone();
                thread::spawn(move || sender.send(1));
                while mailbox.queue.lock().unwrap().pop_front().is_none() {
                    if mailbox.prepare_sleep() {
                        poller.sleep();
                    }
                }
            },
            INTERLEAVINGS,
        );
    });
    assert!(caught.is_err(), "the scheduler reports a sleep without a wake-up as a deadlock");
}
