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

pub use budget::{BudgetConfig, RetryBudget};
pub use dispatcher::{
    ColdStartBound, DispatchConfig, Dispatcher, DoubtedUpstream, SlotCounts, SlotReply, SlotRequest,
};
pub use fingerprint::{Fingerprint, Fingerprints, RequestContent};
pub use occupancy::{Occupancy, SumSource};
pub use quarantine::{
    Quarantine, QuarantineNotice, RunHash, Suspicion, SuspicionRecord, TrialOutcome, TrialReply,
    TrialReport, TrialRequest, UPSTREAMS_ENDED,
};
pub use rate_limit::{LimitNotice, LimitWord, PermitCounts, PermitReply, PermitRequest};
pub use report::{
    Answers, Contained, InFlight, KeyLoad, KeyReport, LoadReport, LoadSum, NodeHash, UpstreamHash,
};
pub use request::{
    Admission, AssignmentNumber, AttemptOutcome, Conclusion, Decision, Ending, Forward, LimitFacts,
    RefusalReason, RequestHead, Ticket, UnknownCause, Untouched,
};
pub use speed::{MeanWork, SpeedRecord, SpeedTable, UpstreamSpeed};
