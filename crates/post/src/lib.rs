//! Bounded queues between threads that each sleep in a poller of their own.
//!
//! A [`Post`] belongs to one thread, which takes everything out of it at once, and to any number of others
//! that put messages in. Nothing here ever waits: a post that is full says so, and the sender refuses.
//!
//! Two kinds of messages go through one queue, so that they stay in the order in which they were sent:
//!
//! - those that ask for something, [`Post::offer`]: no more than a fixed number of them lie in the post;
//! - those that are owed because the receiver asked before, [`Post::deliver`]: always taken. Their number is
//!   bounded by what was asked for, and [`Post::peak`] shows the most that ever lay there.
//!
//! A receiver that is about to sleep says so with [`Post::may_sleep`]; the first message after that wakes it,
//! later ones do not, since a wake-up is a system call.

use std::collections::VecDeque;

#[cfg(feature = "shuttle")]
use shuttle::sync::{Mutex, MutexGuard};
#[cfg(not(feature = "shuttle"))]
use std::sync::{Mutex, MutexGuard};

/// Ends the sleep of the thread that owns a post.
pub trait Wake {
    /// Called at most once for each sleep, without the post's lock. A wake-up that comes before the sleep
    /// must end that sleep at once.
    fn wake(&self);
}

/// One thread's post.
#[derive(Debug)]
pub struct Post<T, W> {
    letters: Mutex<Letters<T>>,
    most: usize,
    waker: W,
}

#[derive(Debug)]
struct Letters<T> {
    queue: VecDeque<T>,
    /// How many of them were offered since the owner last took them.
    offered: usize,
    /// The owner sleeps, or is about to.
    asleep: bool,
    peak: usize,
    refused: u64,
}

impl<T, W: Wake> Post<T, W> {
    /// A post in which at most so many offered messages lie.
    pub fn new(most: usize, waker: W) -> Self {
        let letters = Letters { queue: VecDeque::new(), offered: 0, asleep: false, peak: 0, refused: 0 };
        Post { letters: Mutex::new(letters), most, waker }
    }

    /// Puts a message in that asks for something; gives it back, counted, where too many lie there.
    pub fn offer(&self, text: T) -> Result<(), T> {
        let mut letters = self.open();
        if letters.offered >= self.most {
            letters.refused += 1;
            return Err(text);
        }
        letters.offered += 1;
        self.put(letters, text);
        Ok(())
    }

    /// Puts a message in that the owner is owed.
    pub fn deliver(&self, text: T) {
        self.put(self.open(), text);
    }

    fn put(&self, mut letters: MutexGuard<'_, Letters<T>>, text: T) {
        letters.queue.push_back(text);
        letters.peak = letters.peak.max(letters.queue.len());
        // Under the lock: the owner has either seen this message or will be woken for it.
        let wake = std::mem::take(&mut letters.asleep);
        drop(letters);
        if wake {
            self.waker.wake();
        }
    }

    /// Moves all messages to the end of `into`, in the order in which they were put in.
    pub fn take(&self, into: &mut VecDeque<T>) {
        let mut letters = self.open();
        letters.asleep = false;
        letters.offered = 0;
        into.append(&mut letters.queue);
    }

    /// Says that the owner is about to sleep. False if there is something to take first: then it must not.
    #[must_use]
    pub fn may_sleep(&self) -> bool {
        let mut letters = self.open();
        letters.asleep = letters.queue.is_empty();
        letters.asleep
    }

    /// The most messages that ever lay there, and how many were given back.
    pub fn peak(&self) -> (usize, u64) {
        let letters = self.open();
        (letters.peak, letters.refused)
    }

    /// A thread that panicked with the lock leaves the queue whole: each change to it is one call.
    fn open(&self) -> MutexGuard<'_, Letters<T>> {
        self.letters.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
