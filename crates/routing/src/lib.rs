//! Request routing: choice of upstream, queueing, retries and final answers.
//!
//! [`Router`] combines two roles. As *ingress*, a node accepts callers'
//! requests, looks up the owner of the key and returns the answer. As *gate*,
//! it is the only node that sends to an upstream: it counts the upstream's
//! slots and keeps its queue, so the limits hold for any number of nodes.
//!
//! The crate does no I/O: time is an argument, and effects are returned as
//! [`RouterOutput`]. A failure is reported as `not-run` only when the request
//! provably did not run; any other failure without a complete answer is
//! `unknown`.

mod budget;
mod gate;
mod gates;
mod ingress;
mod load;
mod message;
mod outcome;
mod pending;
mod pool;
mod router;

pub use budget::RetryBudget;
pub use gates::GateMap;
pub use load::{LoadCounter, SliceCount};
pub use message::{
    Answer, AttemptId, CallId, CallerRequest, Forward, NotRunReason, RequestId, RunState,
    UpstreamAnswer, UpstreamOutcome,
};
pub use router::{Router, RouterConfig, RouterOutput, RoutingView};
