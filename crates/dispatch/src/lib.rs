//! Request dispatching: selects the upstream for each request and decides whether and when a
//! failed attempt is retried.
//!
//! [`Dispatcher`] performs no I/O and reads no clock: requests, responses and cluster state are
//! passed in together with the current time, and it returns decisions. The load that other
//! nodes put on the same upstreams is learned from [`LoadReport`]s; without them a node uses
//! only its own counts.

mod budget;
mod dispatcher;
mod fingerprint;
mod gateways;
mod occupancy;
mod permit;
mod proof;
mod quarantine;
mod quota;
mod rate_limit;
mod reachability;
mod rendezvous;
mod report;
mod request;
mod requested_backoffs;
mod speed;
mod suspicion;

pub use budget::{RetryBudget, RetryBudgetConfig};
pub use dispatcher::{
    ColdStartBound, DecisionWork, DispatchConfig, Dispatcher, ProbeTarget, SlotCounts, SlotReply,
    SlotRequest,
};
pub use fingerprint::{Fingerprint, Fingerprints, RequestContent};
pub use gateways::GatewayFailure;
pub use occupancy::{Occupancy, SumSource};
pub use permit::PermitCounts;
pub use proof::{NamedRequest, Rejection, Sending};
pub use quarantine::{
    AttemptHash, Quarantine, QuarantineEvent, Suspicion, SuspicionRecord, TrialOutcome, TrialReply,
    TrialReport, TrialRequest, UPSTREAMS_BEFORE_QUARANTINE,
};
pub use quota::{LocatedNode, QuotaBound, QuotaReply, QuotaRequest, TenantHash};
pub use rate_limit::{PermitReply, PermitRequest, RateLimitEvent, RateLimitUpdate};
pub use reachability::{PathCounts, PathNotice, Reachability};
pub use report::{
    AnswerStats, InFlight, IncludedReport, KeyLoad, KeyReport, LoadReport, LoadSum, NodeHash,
    UpstreamHash,
};
pub use request::{
    AdmissionError, AssignmentNumber, AttemptOutcome, ConcludedRequest, Conclusion, Decision,
    Forward, NotExecuted, RateLimitState, RefusalReason, RequestHead, Ticket, UnknownCause,
};
pub use speed::{MeanResponseTime, SpeedRecord, SpeedTable, UpstreamSpeed};
