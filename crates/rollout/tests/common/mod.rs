//! Fixtures shared by the tests of both state machines.

use std::time::Duration;

use dunemount_rollout::frame::FrameReader;
use dunemount_rollout::settings::ControlServerInfo;
use dunemount_rollout::version::{Digest, Document, Version};
use dunemount_rollout::wire::Message;

pub const MILLI: Duration = Duration::from_millis(1);
pub const SECOND: Duration = Duration::from_secs(1);

pub fn version(number: u64, document: &str) -> Version {
    Version { number, digest: Digest::of(document.as_bytes()) }
}

pub fn document(number: u64, bytes: &str) -> Document {
    Document::verify(version(number, bytes), bytes.as_bytes().into()).expect("the digest matches")
}

pub fn newest(number: u64, bytes: &str) -> Message {
    Message::Newest(version(number, bytes), bytes.as_bytes().into())
}

pub fn servers(count: usize) -> Vec<ControlServerInfo> {
    (0..count)
        .map(|index| ControlServerInfo { name: format!("ctl-{index}"), zone: format!("zone-{index}") })
        .collect()
}

pub fn messages(bytes: &[u8]) -> Vec<Message> {
    let mut frames = FrameReader::default();
    frames.push(bytes);
    std::iter::from_fn(|| frames.next_message().expect("valid frames")).collect()
}
