//! What it costs to hand a message to another thread's poller and to get the answer back, against the same
//! work done under a lock by the thread itself. Prints one line for each way and load.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dunemount_mailbox::{Mailbox, Wake};
use polling::Poller;

#[derive(Clone)]
struct Bell(Arc<Poller>);

impl Wake for Bell {
    fn wake(&self) {
        let _ = self.0.notify();
    }
}

type Own = Arc<Mailbox<u64, Bell>>;

fn own() -> (Own, Bell) {
    let bell = Bell(Arc::new(Poller::new().expect("a poller")));
    (Arc::new(Mailbox::new(1024, bell.clone())), bell)
}

fn wait(bell: &Bell, post: &Own, into: &mut VecDeque<u64>) {
    if post.may_sleep() {
        let mut events = Vec::new();
        let _ = bell.0.wait(&mut events, Some(Duration::from_millis(100)));
    }
    post.take(into);
}

/// Keeps `out` messages out at a neighbour and counts how many come back in a second.
fn hops(out: u64) -> (f64, f64) {
    let ((here, bell), (there, far)) = (own(), own());
    let stop = Arc::new(AtomicBool::new(false));
    let neighbour = {
        let (here, there, stop) = (here.clone(), there.clone(), stop.clone());
        std::thread::spawn(move || {
            let mut batch = VecDeque::new();
            while !stop.load(Ordering::Relaxed) {
                wait(&far, &there, &mut batch);
                for number in batch.drain(..) {
                    here.deliver(number);
                }
            }
        })
    };
    let (mut batch, mut back) = (VecDeque::new(), 0u64);
    let from = Instant::now();
    for number in 0..out {
        let _ = there.offer(number);
    }
    while from.elapsed() < Duration::from_secs(1) {
        wait(&bell, &here, &mut batch);
        for number in batch.drain(..) {
            back += 1;
            let _ = there.offer(number);
        }
    }
    let took = from.elapsed();
    stop.store(true, Ordering::Relaxed);
    neighbour.join().expect("it ends");
    (back as f64 / took.as_secs_f64(), took.as_secs_f64() * 1e6 * out as f64 / back as f64)
}

/// Steps of this length under one lock, by so many threads that do as much work again without it.
fn locked(threads: usize, step: Duration) -> f64 {
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
                while from.elapsed() < Duration::from_secs(1) {
                    for _ in 0..9 {
                        work();
                    }
                    let mut count = lock.lock().expect("nobody panics");
                    work();
                    *count += 1;
                }
            })
        })
        .collect();
    all.into_iter().for_each(|thread| thread.join().expect("it ends"));
    let steps = *lock.lock().expect("nobody panics");
    steps as f64 / from.elapsed().as_secs_f64()
}

fn main() {
    for out in [1, 4, 16, 64, 256] {
        let (rate, trip) = hops(out);
        println!("hop: {out} out: {rate:.0} there and back a second, {trip:.1} us each way and back");
    }
    for threads in [1, 2, 4] {
        let rate = locked(threads, Duration::from_micros(3));
        println!("lock: {threads} threads, 3 us under the lock in 30: {rate:.0} a second");
    }
}
