//! The node that issues the permits for trials of a request.
//!
//! At most one attempt of a suspected request is in flight at a time: a node that wants to send
//! it asks one node, the same for all, which issues one permit and then no other until it has
//! learned the outcome of that trial. Request and reply carry what either node knows of the
//! suspected request, so a node with a permit knows of all earlier terminations.
//!
//! A trial whose outcome is not reported in time may have terminated its upstream. It does not
//! count as a success, and the next trial is delayed.

use super::suspect::Suspicion;
use crate::fingerprint::Fingerprint;
use crate::report::NodeHash;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::HashMap;
use std::time::Duration;

/// How long after the time limit of a trial its outcome may still arrive: the confirmation
/// whether an upstream terminated, and the transmission.
const OUTCOME_GRACE: Duration = Duration::from_secs(1);
/// Delay after a trial with unknown outcome; each further one in a row is [`BACKOFF_FACTOR`]
/// times as long. Four such trials take place within a hundred seconds.
const UNKNOWN_BACKOFF: Duration = Duration::from_secs(1);
/// Growth of the delay with each further trial of unknown outcome.
const BACKOFF_FACTOR: u32 = 8;
/// Upper bound on the delay.
const MAX_BACKOFF: Duration = Duration::from_secs(10 * 60);
/// Number of consecutive trials that were answered, even with failures, and that their
/// upstreams survived: enough to clear a request that never succeeds, such as one for something
/// that does not exist.
const ANSWERED_TRIALS: u32 = 3;
/// How long after the last activity the issuer drops a request.
const TRIALS_RETENTION: Duration = Duration::from_secs(20 * 60);

/// Asks for a permit.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TrialRequest {
    /// The suspected request.
    pub fingerprint: Fingerprint,
    /// The asking node. It holds no permit for this request.
    pub node: NodeHash,
    /// Number of this permit request, unique within the node.
    pub number: u32,
    /// Milliseconds from now within which the trial ends.
    pub timeout_ms: u32,
    /// What the asking node knows of the suspected request.
    pub known: Vec<Suspicion>,
}

/// The issuer's reply.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TrialReply {
    /// The suspected request.
    pub fingerprint: Fingerprint,
    /// Number of the permit request.
    pub number: u32,
    /// Whether the node may send the request once.
    pub is_issued: bool,
    /// What the issuer knows of the suspected request.
    pub known: Vec<Suspicion>,
}

/// Outcome of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TrialOutcome {
    /// The upstream responded.
    Answered,
    /// The request was certainly not executed.
    Unused,
    /// The upstream terminated during the trial.
    UpstreamTerminated,
    /// The outcome is unknown.
    Unknown,
}

/// Reports the outcome of a trial to the issuer.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TrialReport {
    /// The suspected request.
    pub fingerprint: Fingerprint,
    /// The node that had the permit.
    pub node: NodeHash,
    /// Number of the permit request.
    pub number: u32,
    /// Outcome of the trial.
    pub outcome: TrialOutcome,
    /// What the node knows of the suspected request.
    pub known: Vec<Suspicion>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Permit {
    node: NodeHash,
    number: u32,
    /// If no outcome has arrived by then, it counts as unknown.
    until: Time,
}

/// Trials of one request.
#[derive(Clone, Debug, Default)]
struct Trials {
    permit: Option<Permit>,
    backoff_until: Time,
    /// Number of consecutive trials with unknown outcome.
    unknown: u32,
    /// Number of consecutive trials that were answered.
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

/// The permits that one node issues.
#[derive(Clone, Debug, Default)]
pub(super) struct Issuer {
    trials: HashMap<Fingerprint, Trials>,
}

impl Issuer {
    /// Decides whether a node gets the permit that it asks for. A node asks only while it has
    /// none, so if the holder of the permit asks again, the reply was lost or the report of its
    /// trial is on the way.
    pub fn issue(&mut self, now: Time, request: &TrialRequest) -> bool {
        let trials = self.trials.entry(request.fingerprint).or_default();
        trials.last_activity = now;
        trials.expire_permit(now);
        let is_others = |permit: Permit| permit.node != request.node;
        if trials.permit.is_some_and(is_others) || now < trials.backoff_until {
            return false;
        }
        let timeout = Duration::from_millis(u64::from(request.timeout_ms));
        trials.permit = Some(Permit {
            node: request.node,
            number: request.number,
            until: now + timeout + OUTCOME_GRACE,
        });
        true
    }

    /// Handles the outcome of a trial. Returns whether the request has been answered often
    /// enough to be cleared.
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

    /// Drops requests without recent activity.
    pub fn expire(&mut self, now: Time) {
        self.trials
            .retain(|_, trials| now.since(trials.last_activity) < TRIALS_RETENTION);
    }
}
