//! Identifiers, fencing tokens and key ranges that the other crates share.
//!
//! A type belongs in this crate when two crates must agree on its meaning. The
//! crate contains no decision logic.

mod error;
mod fence;
mod identity;
mod key;
mod time;

pub use error::StepError;
pub use fence::{Fence, Generation, LogIndex, Term};
pub use identity::{
    GroupId, Incarnation, Member, NodeId, OperationId, Revision, ServerName, ServiceName, Zone,
};
pub use key::{KeyHash, SliceRange};
pub use time::Time;
