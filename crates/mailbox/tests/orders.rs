//! The post under a scheduler that tries the orders of its threads: on the type that the gateway uses.
#![cfg(feature = "shuttle")]

use std::collections::VecDeque;

use dunemount_mailbox::{Mailbox, Wake};
use shuttle::sync::{Arc, Condvar, Mutex};
use shuttle::{check_random, thread};

/// Orders tried for each test.
const TRIES: usize = 3_000;

/// What a poller is to a thread: a wake-up ends the sleep that goes on, or the next one.
#[derive(Clone, Default)]
struct Bell(Arc<(Mutex<bool>, Condvar)>);

impl Bell {
    fn sleep(&self) {
        let mut rung = self.0 .0.lock().unwrap();
        while !*rung {
            rung = self.0 .1.wait(rung).unwrap();
        }
        *rung = false;
    }
}

impl Wake for Bell {
    fn wake(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_one();
    }
}

/// Guards against messages that are lost or doubled, out of order for one sender, or slept through: the owner
/// takes only between sleeps, and a lost wake-up would leave it asleep for ever, which the scheduler finds.
#[test]
fn nothing_is_lost_doubled_or_slept_through() {
    check_random(
        || {
            let bell = Bell::default();
            let post = Arc::new(Mailbox::new(64, bell.clone()));
            for sender in 0..2 {
                let post = post.clone();
                thread::spawn(move || {
                    for number in 0..3 {
                        if number == 1 {
                            post.deliver((sender, number));
                        } else {
                            assert!(post.offer((sender, number)).is_ok());
                        }
                    }
                });
            }
            let mut got = VecDeque::new();
            while got.len() < 6 {
                post.take(&mut got);
                if got.len() < 6 && post.may_sleep() {
                    bell.sleep();
                }
            }
            for sender in 0..2 {
                let own: Vec<i32> = got.iter().filter(|(s, _)| *s == sender).map(|(_, n)| *n).collect();
                assert_eq!(own, [0, 1, 2]);
            }
        },
        TRIES,
    );
}

/// Guards the bound: however the threads meet, no more offers lie in a post than it was made for, each offer is
/// either taken or given back, and what is owed always goes in.
#[test]
fn the_bound_holds_and_what_is_owed_goes_in() {
    check_random(
        || {
            let post = Arc::new(Mailbox::new(2, Bell::default()));
            let senders: Vec<_> = (0..2)
                .map(|sender| {
                    let post = post.clone();
                    thread::spawn(move || {
                        post.deliver(100 + sender);
                        (0..3).filter(|_| post.offer(sender).is_ok()).count()
                    })
                })
                .collect();
            let (mut got, mut batch) = (0, VecDeque::new());
            for _ in 0..2 {
                post.take(&mut batch);
                assert!(batch.iter().filter(|message| **message < 100).count() <= 2);
                got += batch.drain(..).count();
            }
            let offered: usize = senders.into_iter().map(|sender| sender.join().unwrap()).sum();
            post.take(&mut batch);
            got += batch.len();
            assert_eq!(got, offered + 2);
            let (peak, refused) = post.peak();
            assert!(peak <= 4 && refused as usize == 6 - offered);
        },
        TRIES,
    );
}

/// The same post with one step in the wrong place: whether the owner sleeps is looked at before the message is
/// put in, not under the same lock.
struct Hasty {
    queue: Mutex<VecDeque<u32>>,
    asleep: Mutex<bool>,
    bell: Bell,
}

impl Hasty {
    fn put(&self, text: u32) {
        let wake = std::mem::take(&mut *self.asleep.lock().unwrap());
        self.queue.lock().unwrap().push_back(text);
        if wake {
            self.bell.wake();
        }
    }

    fn may_sleep(&self) -> bool {
        let empty = self.queue.lock().unwrap().is_empty();
        *self.asleep.lock().unwrap() = empty;
        empty
    }
}

/// The broken variant of the first rule: the check above must be able to find a wake-up that is lost.
#[test]
fn a_hasty_post_is_caught() {
    let caught = std::panic::catch_unwind(|| {
        check_random(
            || {
                let bell = Bell::default();
                let post =
                    Arc::new(Hasty { queue: Mutex::default(), asleep: Mutex::default(), bell: bell.clone() });
                let sender = post.clone();
                thread::spawn(move || sender.put(1));
                while post.queue.lock().unwrap().pop_front().is_none() {
                    if post.may_sleep() {
                        bell.sleep();
                    }
                }
            },
            TRIES,
        );
    });
    assert!(caught.is_err(), "a sleep that nobody ends is a deadlock to the scheduler");
}
