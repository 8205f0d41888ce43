//! Compares the cost of a message to another thread's poller and of its answer with that of the same work done by the
//! thread itself under a lock. Prints one line for each method and load.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dunemount_mailbox::{Mailbox, Wake};
use polling::Poller;

/// How long each measurement takes.
const DURATION: Duration = Duration::from_secs(1);
/// Most messages that wait in a mailbox.
const CAPACITY: usize = 1024;

#[derive(Clone)]
struct Waker(Arc<Poller>);

impl Wake for Waker {
    fn wake(&self) {
        let _ = self.0.notify();
    }
}

/// A thread's mailbox and the poller that it sleeps in.
#[derive(Clone)]
struct Endpoint {
    mailbox: Arc<Mailbox<u64, Waker>>,
    poller: Arc<Poller>,
}

impl Endpoint {
    fn new() -> Endpoint {
        let poller = Arc::new(Poller::new().expect("a poller"));
        Endpoint { mailbox: Arc::new(Mailbox::new(CAPACITY, Waker(poller.clone()))), poller }
    }

    /// Sleeps until there are messages, for a limited time, and drains them.
    fn receive(&self, messages: &mut VecDeque<u64>) {
        if self.mailbox.prepare_sleep() {
            let mut events = Vec::new();
            let _ = self.poller.wait(&mut events, Some(Duration::from_millis(100)));
        }
        self.mailbox.drain_into(messages);
    }
}

/// Keeps this number of messages in flight to another thread that returns them. Returns the number of round trips in a
/// second, and the time of each in microseconds.
fn round_trips(in_flight: u64) -> (f64, f64) {
    let (local, remote) = (Endpoint::new(), Endpoint::new());
    let stop = Arc::new(AtomicBool::new(false));
    let remote_thread = {
        let (local, remote, stop) = (local.clone(), remote.clone(), stop.clone());
        std::thread::spawn(move || {
            let mut batch = VecDeque::new();
            while !stop.load(Ordering::Relaxed) {
                remote.receive(&mut batch);
                for number in batch.drain(..) {
                    local.mailbox.send(number);
                }
            }
        })
    };
    let (mut batch, mut returned) = (VecDeque::new(), 0u64);
    let start = Instant::now();
    for number in 0..in_flight {
        let _ = remote.mailbox.try_send(number);
    }
    while start.elapsed() < DURATION {
        local.receive(&mut batch);
        for number in batch.drain(..) {
            returned += 1;
            let _ = remote.mailbox.try_send(number);
        }
    }
    let elapsed = start.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    remote_thread.join().expect("no panic");
    (returned as f64 / elapsed, elapsed * 1e6 * in_flight as f64 / returned as f64)
}

/// The number of steps of this length that threads do under one lock in a second, if each does nine times as much work
/// without the lock.
fn steps_under_lock(threads: usize, step: Duration) -> f64 {
    let lock = Arc::new(Mutex::new(0u64));
    let work = move || {
        let from = Instant::now();
        while from.elapsed() < step {
            std::hint::spin_loop();
        }
    };
    let from = Instant::now();
    let all: Vec<_> = (0..threads)
        .map(|_| {
            let lock = lock.clone();
            std::thread::spawn(move || {
                let from = Instant::now();
                while from.elapsed() < DURATION {
                    for _ in 0..9 {
                        work();
                    }
                    let mut count = lock.lock().expect("no panic");
                    work();
                    *count += 1;
                }
            })
        })
        .collect();
    all.into_iter().for_each(|thread| thread.join().expect("no panic"));
    let steps = *lock.lock().expect("no panic");
    steps as f64 / from.elapsed().as_secs_f64()
}

fn main() {
    for in_flight in [1, 4, 16, 64, 256] {
        let (rate, trip) = round_trips(in_flight);
        println!("mailbox: {in_flight} in flight: {rate:.0} round trips a second, {trip:.1} us each");
    }
    for threads in [1, 2, 4] {
        let rate = steps_under_lock(threads, Duration::from_micros(3));
        println!("lock: {threads} threads, each 3 us of 30 under the lock: {rate:.0} steps a second");
    }
}
