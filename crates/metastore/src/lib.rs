//! The metadata store as the product sees it: calls and outcomes, a mirror of
//! a prefix, and the lease that makes one node the granter.
//!
//! Who carries a call, and in which format, is another crate's concern. A call
//! without an answer is [`StoreOutcome::Unknown`] and may have taken effect,
//! or may take effect later.

mod call;
mod election;
mod lease;
mod mirror;

pub use call::{
    Condition, Item, LeaseId, Revision, StoreCall, StoreEra, StoreEvent, StoreOutcome, Transaction,
    Write,
};
pub use election::{Authority, Election, ElectionConfig, ElectionStep, Epoch, GranterRecord};
pub use lease::{LeaseKeeper, LeaseTiming};
pub use mirror::{Mirror, MirrorChange, MirrorDelta, Removal};
