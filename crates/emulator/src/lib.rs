//! Emulators of the metadata store and of upstreams that own keys. The caller
//! supplies the time.
//!
//! Both keep the guarantees that the router relies on and exercise the failures
//! that those guarantees allow: writes that are applied but not acknowledged, writes
//! applied late, compacted history, leases that expire during an outage, orders that
//! are executed late.

mod store;
mod upstream;

pub use store::{StoreEmulator, StoreReply, WatchWait};
pub use upstream::{
    AcceptedGrant, Arrival, Delivery, FullPolicy, Run, RunId, UpstreamConfig, UpstreamEmulator,
    WorkRequest,
};
