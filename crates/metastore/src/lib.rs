//! Client-side model of the metadata store: calls and outcomes, a mirror of a key prefix, and
//! the election of the granter by means of a lease.
//!
//! Transport and encoding of calls are left to other crates. A call without a response ends
//! as [`StoreOutcome::Unknown`]: it may have taken effect, or may take effect later.

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
