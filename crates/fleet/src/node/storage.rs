//! Where a node's acceptor keeps its file.

/// The storage of an acceptor's file.
pub trait AcceptorStorage {
    /// Replaces the file durably; false if that is not certain.
    fn store(&mut self, file: &[u8]) -> bool;
}
