//! The node that lends the permits for trials of a request.
//!
//! Of a request that is under suspicion one run is under way at a time: the node that wants
//! to send it asks one node, the same for all, which lends one permit and then none until
//! it has heard how that trial ended. What both know of the request goes with the question
//! and with the answer, so a node that has a permit knows of all ends before it.
//!
//! A trial of which nothing is heard within its time may have ended its upstream. It counts
//! as no success, and the next one waits.

use super::suspect::Suspicion;
use crate::fingerprint::Fingerprint;
use crate::report::NodeHash;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::HashMap;
use std::time::Duration;

/// How long after the end of a trial's time its outcome may still come: the proof whether
/// an upstream ended, and the way here.
const OUTCOME_GRACE: Duration = Duration::from_secs(1);
/// Pause after a trial whose outcome stayed unknown; the next ones in a row are
/// [`BACKOFF_FACTOR`] times as long each. In a hundred seconds four such trials are made.
const UNKNOWN_BACKOFF: Duration = Duration::from_secs(1);
/// How much longer each further such pause is.
const BACKOFF_FACTOR: u32 = 8;
/// Longest such pause.
const MAX_BACKOFF: Duration = Duration::from_secs(10 * 60);
/// Trials in a row that were answered, if only with failures, and that their upstreams
/// outlived: enough to clear a request that never gets a success, such as of something that
/// is not there.
const ANSWERED_TRIALS: u32 = 3;
/// How long nothing has to be heard of a request for the lender to forget it.
const RETENTION: Duration = Duration::from_secs(20 * 60);

/// Asks for a permit.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TrialRequest {
    /// The request that is under suspicion.
    pub fingerprint: Fingerprint,
    /// The node that asks. It holds no permit for this request.
    pub node: NodeHash,
    /// Tells its questions apart.
    pub number: u32,
    /// Milliseconds from now within which the trial has its end.
    pub timeout_ms: u32,
    /// What the node knows of the request.
    pub known: Vec<Suspicion>,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TrialReply {
    /// The request that is under suspicion.
    pub fingerprint: Fingerprint,
    /// The question.
    pub number: u32,
    /// Whether the node may send it once.
    pub is_lent: bool,
    /// What the lender knows of the request.
    pub known: Vec<Suspicion>,
}

/// How a trial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TrialOutcome {
    /// The upstream answered.
    Answered,
    /// It certainly did not run.
    Unused,
    /// The upstream ended under it.
    UpstreamTerminated,
    /// None of these is known.
    Unknown,
}

/// Tells the lender how a trial ended.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TrialReport {
    /// The request that is under suspicion.
    pub fingerprint: Fingerprint,
    /// The node that had the permit.
    pub node: NodeHash,
    /// The question that it got the permit for.
    pub number: u32,
    /// How the trial ended.
    pub outcome: TrialOutcome,
    /// What the node knows of the request.
    pub known: Vec<Suspicion>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Permit {
    node: NodeHash,
    number: u32,
    /// Without its outcome by then, that is unknown.
    until: Time,
}

/// Trials of one request.
#[derive(Clone, Debug, Default)]
struct Trials {
    permit: Option<Permit>,
    backoff_until: Time,
    /// Trials in a row whose outcome stayed unknown.
    unknown: u32,
    /// Trials in a row that were answered.
    answered: u32,
    last_activity: Time,
}

impl Trials {
    fn record_unknown(&mut self, now: Time) {
        let backoff = UNKNOWN_BACKOFF * BACKOFF_FACTOR.saturating_pow(self.unknown.min(4));
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.unknown += 1;
    }

    fn expire_permit(&mut self, now: Time) {
        if self.permit.is_some_and(|permit| now >= permit.until) {
            self.permit = None;
            self.record_unknown(now);
        }
    }
}

/// The permits that one node lends.
#[derive(Clone, Debug, Default)]
pub(super) struct Lender {
    trials: HashMap<Fingerprint, Trials>,
}

impl Lender {
    /// Whether a node gets the permit that it asks for. A node asks only while it has none,
    /// so one that asks again did not get the answer, or its report is on its way.
    pub fn lend(&mut self, now: Time, request: &TrialRequest) -> bool {
        let trials = self.trials.entry(request.fingerprint).or_default();
        trials.last_activity = now;
        trials.expire_permit(now);
        let is_others = |permit: Permit| permit.node != request.node;
        if trials.permit.is_some_and(is_others) || now < trials.backoff_until {
            return false;
        }
        let lasts = Duration::from_millis(u64::from(request.timeout_ms));
        trials.permit = Some(Permit {
            node: request.node,
            number: request.number,
            until: now + lasts + OUTCOME_GRACE,
        });
        true
    }

    /// Takes the outcome of a trial; whether the request has been answered often enough to
    /// be cleared.
    pub fn handle_report(&mut self, now: Time, report: &TrialReport) -> bool {
        let Some(trials) = self.trials.get_mut(&report.fingerprint) else {
            return false;
        };
        let is_current =
            |permit: Permit| permit.node == report.node && permit.number == report.number;
        if !trials.permit.is_some_and(is_current) {
            return false;
        }
        trials.last_activity = now;
        trials.permit = None;
        match report.outcome {
            TrialOutcome::Unused => {}
            TrialOutcome::Unknown => trials.record_unknown(now),
            TrialOutcome::UpstreamTerminated => {
                trials.unknown = 0;
                trials.answered = 0;
            }
            TrialOutcome::Answered => {
                trials.unknown = 0;
                trials.answered += 1;
            }
        }
        trials.answered >= ANSWERED_TRIALS
    }

    /// Forgets requests that nobody asked for lately.
    pub fn expire(&mut self, now: Time) {
        self.trials
            .retain(|_, trials| now.since(trials.last_activity) < RETENTION);
    }
}
