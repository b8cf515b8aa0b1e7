//! Decides which upstream gets a request, when, and what becomes of a request
//! that failed there.
//!
//! [`Dispatcher`] is pure: requests, answers and views go in with the time,
//! decisions come out. What other nodes send to the same upstreams is known
//! from [`LoadReport`]s; without them a node acts on its own counts alone.

mod budget;
mod dispatcher;
mod fingerprint;
mod occupancy;
mod quarantine;
mod rate_limit;
mod rendezvous;
mod report;
mod request;
mod rests;
mod speed;

pub use budget::{RetryBudget, RetryBudgetConfig};
pub use dispatcher::{
    ColdStartBound, DispatchConfig, Dispatcher, ProbeTarget, SlotCounts, SlotReply, SlotRequest,
};
pub use fingerprint::{Fingerprint, Fingerprints, RequestContent};
pub use occupancy::{Occupancy, SumSource};
pub use quarantine::{
    AttemptHash, Quarantine, QuarantineEvent, Suspicion, SuspicionRecord, TrialOutcome, TrialReply,
    TrialReport, TrialRequest, UPSTREAMS_BEFORE_QUARANTINE,
};
pub use rate_limit::{PermitCounts, PermitReply, PermitRequest, RateLimitEvent, RateLimitUpdate};
pub use report::{
    AnswerStats, InFlight, IncludedReport, KeyLoad, KeyReport, LoadReport, LoadSum, NodeHash,
    UpstreamHash,
};
pub use request::{
    AdmissionError, AssignmentNumber, AttemptOutcome, ConcludedRequest, Conclusion, Decision,
    Forward, NotExecuted, RateLimitState, RefusalReason, RequestHead, Ticket, UnknownCause,
};
pub use speed::{MeanResponseTime, SpeedRecord, SpeedTable, UpstreamSpeed};
