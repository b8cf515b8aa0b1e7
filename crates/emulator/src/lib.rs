//! The metadata store and upstreams that hold keys, emulated on a clock that
//! the caller keeps.
//!
//! Both follow the promises that the router builds on, and misbehave where
//! those promises leave room: writes that are done but not answered, writes
//! done late, history dropped, leases that lapse in an outage, orders that are
//! taken late.

mod store;
mod upstream;

pub use store::{StoreEmulator, StoreReply, WatchWait};
pub use upstream::{
    AcceptedGrant, Arrival, Delivery, FullPolicy, Run, RunId, UpstreamConfig, UpstreamEmulator,
    WorkRequest,
};
