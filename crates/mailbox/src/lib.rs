//! Bounded queues between threads that each sleep in a poller of their own.
//!
//! A [`Mailbox`] belongs to one thread, its owner, which drains all messages in one call. Any number of other threads
//! send messages to it. Senders never wait for space: a mailbox that is full rejects the message.
//!
//! Two kinds of messages share one queue, so that they stay in the order in which they were sent:
//!
//! - requests, by [`Mailbox::try_send`]: no more than a fixed number of them are queued;
//! - messages that the owner has requested before, by [`Mailbox::send`]: never rejected. Their number is bounded by that
//!   of the owner's requests, and [`Mailbox::stats`] shows the most messages that were ever queued.
//!
//! An owner that is about to sleep calls [`Mailbox::prepare_sleep`]; the first message after that wakes it, later ones
//! do not, since a wake-up is a system call.

use std::collections::VecDeque;

#[cfg(feature = "shuttle")]
use shuttle::sync::{Mutex, MutexGuard};
#[cfg(not(feature = "shuttle"))]
use std::sync::{Mutex, MutexGuard};

/// Wakes the thread that owns a mailbox.
pub trait Wake {
    /// Called at most once for each sleep, without holding the mailbox's lock. A wake-up before the sleep must end that
    /// sleep at once.
    fn wake(&self);
}

/// Counts of messages since the mailbox was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// The most messages that were ever queued.
    pub peak: usize,
    /// Messages that were rejected.
    pub rejected: u64,
}

/// One thread's mailbox.
#[derive(Debug)]
pub struct Mailbox<T, W> {
    state: Mutex<State<T>>,
    capacity: usize,
    waker: W,
}

#[derive(Debug)]
struct State<T> {
    queue: VecDeque<T>,
    /// How many messages of the queue count against the capacity.
    bounded: usize,
    /// Whether the owner sleeps, or is about to.
    is_asleep: bool,
    stats: Stats,
}

impl<T, W: Wake> Mailbox<T, W> {
    /// Creates a mailbox in which at most `capacity` messages of [`Mailbox::try_send`] are queued.
    pub fn new(capacity: usize, waker: W) -> Self {
        let state = State { queue: VecDeque::new(), bounded: 0, is_asleep: false, stats: Stats::default() };
        Mailbox { state: Mutex::new(state), capacity, waker }
    }

    /// Sends a message that counts against the capacity.
    ///
    /// # Errors
    /// The mailbox is full; the error returns the message.
    pub fn try_send(&self, message: T) -> Result<(), T> {
        let mut state = self.lock();
        if state.bounded >= self.capacity {
            state.stats.rejected += 1;
            return Err(message);
        }
        state.bounded += 1;
        self.push(state, message);
        Ok(())
    }

    /// Sends a message that is never rejected.
    pub fn send(&self, message: T) {
        self.push(self.lock(), message);
    }

    fn push(&self, mut state: MutexGuard<'_, State<T>>, message: T) {
        state.queue.push_back(message);
        state.stats.peak = state.stats.peak.max(state.queue.len());
        // Under the lock: the owner has either seen this message or will be woken for it.
        let must_wake = std::mem::take(&mut state.is_asleep);
        drop(state);
        if must_wake {
            self.waker.wake();
        }
    }

    /// Moves all messages to the end of a queue, in the order in which they were sent.
    pub fn drain_into(&self, messages: &mut VecDeque<T>) {
        let mut state = self.lock();
        state.is_asleep = false;
        state.bounded = 0;
        messages.append(&mut state.queue);
    }

    /// Records that the owner is about to sleep. False if there are messages to drain first: then it must not sleep.
    #[must_use]
    pub fn prepare_sleep(&self) -> bool {
        let mut state = self.lock();
        state.is_asleep = state.queue.is_empty();
        state.is_asleep
    }

    /// The counts so far.
    pub fn stats(&self) -> Stats {
        self.lock().stats
    }

    /// A thread that panicked with the lock leaves the queue consistent: each change to it is one call.
    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
