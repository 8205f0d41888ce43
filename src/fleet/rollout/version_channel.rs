//! The channel that takes a version from the thread that has received it to the event loop that applies it, and the
//! result back.

use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

use dunemount_rollout::follower::ApplyError;
use dunemount_rollout::version::Document;
use polling::Poller;

/// Bytes of the wake-up pipe that are read at once.
const WAKE_UP_BYTES: usize = 16;

/// Success if a version is in force now, else the reason why it is not.
pub type ApplyResult = Result<(), ApplyError>;

/// The event loop's end of the channel.
#[derive(Debug)]
pub struct VersionReceiver {
    /// Becomes readable when a version waits.
    pub pipe: UnixStream,
    offers: Receiver<VersionOffer>,
}

/// The other end of the channel, of the thread that receives versions from the control servers.
#[derive(Debug)]
pub struct VersionSender {
    pipe: UnixStream,
    offers: Sender<VersionOffer>,
    results: (Sender<ApplyResult>, Receiver<ApplyResult>),
    poller: Arc<Poller>,
}

/// A version that the event loop is to apply, completely or not at all.
#[derive(Debug)]
pub struct VersionOffer {
    /// The version.
    pub document: Document,
    results: Sender<ApplyResult>,
    poller: Arc<Poller>,
    is_answered: bool,
}

/// Opens a channel. A result wakes the poller, which is that of the sender's thread.
///
/// # Errors
/// The system cannot create a pipe.
pub fn open(poller: Arc<Poller>) -> io::Result<(VersionSender, VersionReceiver)> {
    let (sender_pipe, receiver_pipe) = UnixStream::pair()?;
    sender_pipe.set_nonblocking(true)?;
    receiver_pipe.set_nonblocking(true)?;
    let (sender, receiver) = channel();
    let sender = VersionSender { pipe: sender_pipe, offers: sender, results: channel(), poller };
    Ok((sender, VersionReceiver { pipe: receiver_pipe, offers: receiver }))
}

impl VersionSender {
    /// Sends a version, and wakes the event loop. [`VersionSender::try_result`] gives the result.
    pub fn send(&mut self, document: Document) {
        let (results, poller) = (self.results.0.clone(), self.poller.clone());
        // If the event loop has ended, the offer is dropped, which sends a result.
        let _ = self.offers.send(VersionOffer { document, results, poller, is_answered: false });
        // If the pipe is full, its earlier bytes wake the event loop.
        let _ = self.pipe.write(&[1]);
    }

    /// The result of the version that was sent, once it is known.
    pub fn try_result(&mut self) -> Option<ApplyResult> {
        self.results.1.try_recv().ok()
    }
}

impl VersionReceiver {
    /// The next version that waits.
    pub fn try_receive(&mut self) -> Option<VersionOffer> {
        let _ = self.pipe.read(&mut [0; WAKE_UP_BYTES]);
        self.offers.try_recv().ok()
    }
}

impl VersionOffer {
    /// Sends the result back.
    pub fn answer(mut self, result: ApplyResult) {
        self.send_result(result);
    }

    fn send_result(&mut self, result: ApplyResult) {
        if !std::mem::replace(&mut self.is_answered, true) {
            let _ = self.results.send(result);
            let _ = self.poller.notify();
        }
    }
}

impl Drop for VersionOffer {
    /// Sends a failure if there was no answer, so that the sender gets a result even if the event loop panics.
    fn drop(&mut self) {
        self.send_result(Err(ApplyError("the gateway did not apply it".into())));
    }
}
