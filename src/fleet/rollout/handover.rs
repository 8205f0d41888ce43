//! The way of a version from the thread that got it to the loop that takes it, and of the loop's word back.

use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

use dunemount_rollout::version::Document;
use polling::Poller;

/// Where the loop finds a version that it is to take, one at a time.
#[derive(Debug)]
pub struct Inbox {
    /// Becomes readable when a version waits.
    pub pipe: UnixStream,
    offers: Receiver<Offer>,
}

/// Where versions are put for the loop.
#[derive(Debug)]
pub struct Outbox {
    pipe: UnixStream,
    offers: Sender<Offer>,
    answers: (Sender<Answer>, Receiver<Answer>),
    poller: Arc<Poller>,
}

/// What became of a version.
pub type Answer = Result<(), String>;

/// A version that the loop is to take, all of it or nothing.
#[derive(Debug)]
pub struct Offer {
    /// The version.
    pub document: Document,
    answers: Sender<Answer>,
    poller: Arc<Poller>,
    answered: bool,
}

/// Both ends. The poller is that of the thread which puts versions there: it is woken by an answer.
///
/// # Errors
/// No pipe.
pub fn pair(poller: Arc<Poller>) -> io::Result<(Outbox, Inbox)> {
    let (told, pipe) = UnixStream::pair()?;
    told.set_nonblocking(true)?;
    pipe.set_nonblocking(true)?;
    let (offers, taken) = channel();
    let outbox = Outbox { pipe: told, offers, answers: channel(), poller };
    Ok((outbox, Inbox { pipe, offers: taken }))
}

impl Outbox {
    /// Offers a version, and wakes the loop. What became of it is told by [`Outbox::answer`].
    pub fn offer(&mut self, document: Document) {
        let (answers, poller) = (self.answers.0.clone(), self.poller.clone());
        // Where the loop has ended, the offer comes back and says so itself.
        let _ = self.offers.send(Offer { document, answers, poller, answered: false });
        // A pipe that is full wakes the loop as well.
        let _ = self.pipe.write(&[1]);
    }

    /// What became of the version that was offered, once that is known.
    pub fn answer(&mut self) -> Option<Answer> {
        self.answers.1.try_recv().ok()
    }
}

impl Inbox {
    /// The next version that waits.
    pub fn take(&mut self) -> Option<Offer> {
        let _ = self.pipe.read(&mut [0; 16]);
        self.offers.try_recv().ok()
    }
}

impl Offer {
    /// Says what became of it.
    pub fn answer(mut self, answer: Answer) {
        self.say(answer);
    }

    fn say(&mut self, answer: Answer) {
        if !std::mem::replace(&mut self.answered, true) {
            let _ = self.answers.send(answer);
            let _ = self.poller.notify();
        }
    }
}

impl Drop for Offer {
    /// Whoever waits is told, also when the loop panics over it.
    fn drop(&mut self) {
        self.say(Err("the gateway did not take it".into()));
    }
}
