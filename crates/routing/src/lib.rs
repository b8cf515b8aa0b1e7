//! Where each request goes, when it waits, when it is repeated and what its
//! caller is told.
//!
//! [`Router`] joins two roles. As *ingress* a node takes callers' requests,
//! finds the owner and answers. As *gate* it alone sends to an upstream: it
//! counts the upstream's slots and keeps the queue, so that limits hold however
//! many nodes there are.
//!
//! Pure: time is an argument, and what must be done comes back as
//! [`RouterOutput`]. A refusal says `not run` only on proof; everything else
//! that is not a whole answer is `unknown`.

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
