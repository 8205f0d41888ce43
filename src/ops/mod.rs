//! What operators see and say: their calls and the figures, both without sockets.

pub mod call;
pub mod figures;
