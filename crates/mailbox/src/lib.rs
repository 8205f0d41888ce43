//! Bounded queues between threads that each sleep in a poller of their own.
//!
//! A [`Mailbox`] belongs to one thread, which takes everything out of it at once, and to any number of others
//! that put messages in. Nothing here ever waits: a post that is full says so, and the sender refuses.
//!
//! Two kinds of messages go through one queue, so that they stay in the order in which they were sent:
//!
//! - those that ask for something, [`Mailbox::offer`]: no more than a fixed number of them lie in the post;
//! - those that are owed because the receiver asked before, [`Mailbox::deliver`]: always taken. Their number is
//!   bounded by what was asked for, and [`Mailbox::peak`] shows the most that ever lay there.
//!
//! A receiver that is about to sleep says so with [`Mailbox::may_sleep`]; the first message after that wakes it,
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
pub struct Mailbox<T, W> {
    messages: Mutex<Messages<T>>,
    most: usize,
    waker: W,
}

#[derive(Debug)]
struct Messages<T> {
    queue: VecDeque<T>,
    /// How many of them were offered since the owner last took them.
    offered: usize,
    /// The owner sleeps, or is about to.
    asleep: bool,
    peak: usize,
    refused: u64,
}

impl<T, W: Wake> Mailbox<T, W> {
    /// A post in which at most so many offered messages lie.
    pub fn new(most: usize, waker: W) -> Self {
        let messages = Messages { queue: VecDeque::new(), offered: 0, asleep: false, peak: 0, refused: 0 };
        Mailbox { messages: Mutex::new(messages), most, waker }
    }

    /// Puts a message in that asks for something; gives it back, counted, where too many lie there.
    pub fn offer(&self, text: T) -> Result<(), T> {
        let mut messages = self.open();
        if messages.offered >= self.most {
            messages.refused += 1;
            return Err(text);
        }
        messages.offered += 1;
        self.put(messages, text);
        Ok(())
    }

    /// Puts a message in that the owner is owed.
    pub fn deliver(&self, text: T) {
        self.put(self.open(), text);
    }

    fn put(&self, mut messages: MutexGuard<'_, Messages<T>>, text: T) {
        messages.queue.push_back(text);
        messages.peak = messages.peak.max(messages.queue.len());
        // Under the lock: the owner has either seen this message or will be woken for it.
        let wake = std::mem::take(&mut messages.asleep);
        drop(messages);
        if wake {
            self.waker.wake();
        }
    }

    /// Moves all messages to the end of `into`, in the order in which they were put in.
    pub fn take(&self, into: &mut VecDeque<T>) {
        let mut messages = self.open();
        messages.asleep = false;
        messages.offered = 0;
        into.append(&mut messages.queue);
    }

    /// Says that the owner is about to sleep. False if there is something to take first: then it must not.
    #[must_use]
    pub fn may_sleep(&self) -> bool {
        let mut messages = self.open();
        messages.asleep = messages.queue.is_empty();
        messages.asleep
    }

    /// The most messages that ever lay there, and how many were given back.
    pub fn peak(&self) -> (usize, u64) {
        let messages = self.open();
        (messages.peak, messages.refused)
    }

    /// A thread that panicked with the lock leaves the queue whole: each change to it is one call.
    fn open(&self) -> MutexGuard<'_, Messages<T>> {
        self.messages.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
