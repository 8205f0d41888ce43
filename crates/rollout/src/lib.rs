//! The way of a configuration's version to all gateways, without input, output, clock or threads: bytes, the time and a
//! seeded generator are passed in, what is to be sent, stored or taken is handed out.
//!
//! - [`version`]: a document with its number and digest, and the ledger that a register holds of them;
//! - [`wire`]: what gateways, control machines and the operators' tool say to each other;
//! - [`follower`]: a gateway's part;
//! - [`control`]: a control machine's part.
//!
//! It knows no gateway and no fleet: whether a document can be used is asked of a [`control::Desk`], and the register is
//! whatever carries out [`control::Out::Look`] and [`control::Out::Change`].

pub mod control;
pub mod follower;
pub mod version;
pub mod wire;
