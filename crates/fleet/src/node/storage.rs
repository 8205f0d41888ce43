//! The storage interface for an acceptor's file.

/// The storage of an acceptor's file.
pub trait AcceptorStorage {
    /// Replaces the file durably. False if it is not certain that the new contents are durable.
    fn store(&mut self, file: &[u8]) -> bool;
}
