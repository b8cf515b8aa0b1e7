//! Quarantine of requests that terminate the upstreams that run them (poison requests).
//!
//! When an upstream terminates, all requests that it was running are suspected, and none is
//! blamed yet. From the first termination on, all nodes together run at most one attempt of a
//! suspected request at a time, as in a half-open circuit breaker; [`issuer`] decides which
//! node runs it. A request that merely ran beside the cause is cleared by its next success. One
//! whose trials terminate upstreams too is taken for the cause: every node refuses it for some
//! time, and only after that is another upstream risked for it.
//!
//! What is known of a fingerprint is a set of attempts, each with its upstream and a flag for
//! whether it was cleared. Sets of different nodes are merged by a union in which cleared
//! flags win, so neither the order nor the repetition of updates makes a difference.

mod issuer;
mod status;
mod suspect;
mod trials;

use crate::fingerprint::{Fingerprint, Fingerprints};
use crate::report::UpstreamHash;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use issuer::Issuer;
pub use issuer::{TrialOutcome, TrialReply, TrialReport, TrialRequest};
pub(crate) use status::RequestStatus;
use std::collections::BTreeMap;
use std::time::Duration;
pub use suspect::{AttemptHash, Suspicion, UPSTREAMS_BEFORE_QUARANTINE};
use suspect::{MergeOutcome, Suspect};
use trials::LocalTrials;
pub(crate) use trials::TrialStep;

/// Maximum number of fingerprints kept, some 300 bytes each. The least suspected ones are
/// evicted: a request that terminates upstreams is reported again with each further
/// termination, and comes back with all of them as soon as a node that still knows it reports
/// it.
const MAX_SUSPECTS: usize = 1_024;
/// Minimum time between two searches for expired entries. Each goes through all suspects, which
/// would be too expensive at every tick (30 ms). Entries that stay up to a second longer do no
/// harm.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of terminations from which a suspect is kept in the store. What is known of single
/// terminations is lost with the processes that saw them, and most of it concerns bystanders.
const MIN_RECORDED_ATTEMPTS: usize = 2;
/// Maximum number of suspects in the store's record.
const MAX_RECORDED: usize = 256;
/// How long it may take to learn whether an upstream terminated after a connection to it was
/// closed: at the latest its registration lapses within this time.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Suspicions, as kept in the store across processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspicionRecord {
    /// In ascending order.
    pub suspicions: Vec<Suspicion>,
}

/// A change of what is known of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// An upstream terminated while it ran the request.
    Suspected {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream that terminated.
        upstream: UpstreamHash,
        /// Number of the request's attempts that ended with the termination of their upstream.
        ended: usize,
        /// Whether this attempt was a trial.
        is_trial: bool,
    },
    /// The request is quarantined.
    Quarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// Number of the request's attempts that ended with the termination of their upstream.
        ended: usize,
        /// Duration of the quarantine.
        lasts: Duration,
    },
    /// A trial of the request ended at this node.
    TrialEnded {
        /// The request.
        fingerprint: Fingerprint,
        /// Outcome of the trial.
        outcome: TrialOutcome,
    },
    /// The request was answered, so it is not the cause.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
}

/// The facts about an attempt that the quarantine needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspectAttempt {
    pub upstream: UpstreamHash,
    pub id: AttemptHash,
    pub fingerprints: Fingerprints,
    /// The fingerprint whose permit was used.
    pub permit: Option<Fingerprint>,
}

impl SuspectAttempt {
    /// Whether no other attempt with that fingerprint was in flight. An attempt that is the
    /// only one with its content is also the only one of its caller.
    fn is_trial_of(&self, fingerprint: Fingerprint) -> bool {
        let permit = self.permit;
        permit == Some(fingerprint) || permit == Some(self.fingerprints.content)
    }
}

/// A connection was closed or timed out; whether its upstream terminated is not known yet.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedTermination {
    attempt: SuspectAttempt,
    at: Time,
}

/// Result of merging a suspicion that was new.
struct Merged {
    /// Event to log, if any.
    event: Option<QuarantineEvent>,
}

/// What one node knows of requests that terminate upstreams.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The oldest first.
    unconfirmed: Vec<UnconfirmedTermination>,
    trials: LocalTrials,
    issuer: Issuer,
    local_suspicions: Vec<Suspicion>,
    /// All suspicions that were new here, whichever node found them.
    new_suspicions: Vec<Suspicion>,
    events: Vec<QuarantineEvent>,
    expire_at: Time,
}

impl Quarantine {
    /// Creates an empty quarantine whose trial requests are numbered after `number`. Different
    /// processes of a node use different numbers, which tells their trial requests apart.
    pub(crate) fn with_first_number(number: u32) -> Self {
        let mut quarantine = Self::default();
        quarantine.trials.set_last_number(number);
        quarantine
    }

    /// Records that the connection of a request to an upstream was closed or timed out.
    pub(crate) fn connection_lost(&mut self, now: Time, attempt: SuspectAttempt) {
        if self.unconfirmed.len() >= MAX_SUSPECTS {
            self.unconfirmed.remove(0);
        }
        self.unconfirmed
            .push(UnconfirmedTermination { attempt, at: now });
    }

    /// Records that an upstream terminated. Requests whose connections to it were closed become
    /// suspected.
    pub fn upstream_terminated(&mut self, now: Time, upstream: UpstreamHash) {
        for attempt in self.take_unconfirmed(upstream) {
            for fingerprint in attempt.fingerprints.both() {
                let suspicion = Suspicion {
                    fingerprint,
                    upstream,
                    attempt: attempt.id,
                    is_trial: attempt.is_trial_of(fingerprint),
                    is_cleared: false,
                };
                self.record_local(now, suspicion);
            }
            self.end_trial(attempt.permit, TrialOutcome::UpstreamTerminated);
        }
    }

    /// Records that an upstream is alive: connections to it were closed for another reason.
    pub fn upstream_alive(&mut self, upstream: UpstreamHash) {
        for attempt in self.take_unconfirmed(upstream) {
            self.end_trial(attempt.permit, TrialOutcome::Unknown);
        }
    }

    fn take_unconfirmed(&mut self, upstream: UpstreamHash) -> Vec<SuspectAttempt> {
        let is_at_upstream =
            |unconfirmed: &mut UnconfirmedTermination| unconfirmed.attempt.upstream == upstream;
        let taken = self.unconfirmed.extract_if(.., is_at_upstream);
        taken.map(|unconfirmed| unconfirmed.attempt).collect()
    }

    /// Records that an upstream ran a request successfully: the request does not terminate
    /// upstreams.
    pub(crate) fn request_succeeded(&mut self, now: Time, fingerprints: Fingerprints) {
        for fingerprint in fingerprints.both() {
            self.clear(now, fingerprint);
        }
    }

    fn clear(&mut self, now: Time, fingerprint: Fingerprint) {
        for suspicion in self.suspicions_of(fingerprint) {
            let cleared = Suspicion {
                is_cleared: true,
                ..suspicion
            };
            self.record_local(now, cleared);
        }
    }

    /// Merges a suspicion found by this node and queues it for other nodes.
    fn record_local(&mut self, now: Time, suspicion: Suspicion) {
        let Some(merged) = self.merge_suspicion(now, suspicion) else {
            return;
        };
        self.events.extend(merged.event);
        self.local_suspicions.push(suspicion);
    }

    /// Merges a suspicion from another node or from the store. Only the node that found it logs
    /// it: when every node did, the loss of one zone's upstreams filled the logs of all nodes.
    pub fn merge(&mut self, now: Time, suspicion: Suspicion) {
        let Some(merged) = self.merge_suspicion(now, suspicion) else {
            return;
        };
        let is_quarantined =
            |event: &QuarantineEvent| matches!(event, QuarantineEvent::Quarantined { .. });
        self.events.extend(merged.event.filter(is_quarantined));
    }

    /// Merges a suspicion; `None` if it was already known.
    fn merge_suspicion(&mut self, now: Time, suspicion: Suspicion) -> Option<Merged> {
        let fingerprint = suspicion.fingerprint;
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_if_full();
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        let outcome = suspect.merge(now, &suspicion);
        let event = match outcome {
            MergeOutcome::Unchanged => return None,
            MergeOutcome::NewTermination => Some(suspect.event(&suspicion)),
            MergeOutcome::Cleared { is_complete } => {
                is_complete.then_some(QuarantineEvent::Cleared { fingerprint })
            }
        };
        self.new_suspicions.push(suspicion);
        Some(Merged { event })
    }

    /// Evicts the least suspected fingerprint if there are too many; among equals the one that
    /// has not changed for longest.
    fn evict_if_full(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let suspects = self.suspects.iter();
        let least = suspects.min_by_key(|(_, suspect)| (suspect.attempts(), suspect.since));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Remaining quarantine time of a request; `None` if it is not quarantined.
    pub fn remaining(&self, now: Time, fingerprints: Fingerprints) -> Option<Duration> {
        if self.suspects.is_empty() {
            return None;
        }
        let suspects = fingerprints.both().into_iter();
        let suspects = suspects.filter_map(|fingerprint| self.suspects.get(&fingerprint));
        suspects.filter_map(|suspect| suspect.remaining(now)).max()
    }

    /// All suspicions of a fingerprint.
    pub fn suspicions_of(&self, fingerprint: Fingerprint) -> Vec<Suspicion> {
        let suspect = self.suspects.get(&fingerprint).into_iter();
        suspect
            .flat_map(|suspect| suspect.suspicions(fingerprint))
            .collect()
    }

    /// Takes the suspicions that this node found since the last call.
    pub fn take_local_suspicions(&mut self) -> Vec<Suspicion> {
        std::mem::take(&mut self.local_suspicions)
    }

    /// Takes the suspicions that were new here since the last call, whichever node found them.
    pub fn take_new_suspicions(&mut self) -> Vec<Suspicion> {
        std::mem::take(&mut self.new_suspicions)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Drops expired entries.
    pub(crate) fn expire(&mut self, now: Time) {
        self.trials.expire(now);
        if now < self.expire_at {
            return;
        }
        self.expire_at = now + EXPIRY_INTERVAL;
        self.unconfirmed
            .retain(|unconfirmed| now.since(unconfirmed.at) < CONFIRMATION_TIMEOUT);
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        self.issuer.expire(now);
    }

    /// Merges the store's record.
    pub fn merge_record(&mut self, now: Time, record: &SuspicionRecord) {
        for suspicion in &record.suspicions {
            self.merge(now, *suspicion);
        }
    }

    /// Returns the most suspected fingerprints, for the store.
    pub fn record(&self) -> SuspicionRecord {
        let suspects = self.suspects.iter();
        let mut recorded: Vec<(usize, Fingerprint)> = suspects
            .map(|(fingerprint, suspect)| (suspect.attempts(), *fingerprint))
            .filter(|(attempts, _)| *attempts >= MIN_RECORDED_ATTEMPTS)
            .collect();
        recorded
            .sort_by_key(|(attempts, fingerprint)| (std::cmp::Reverse(*attempts), *fingerprint));
        recorded.truncate(MAX_RECORDED);
        let suspicions = recorded
            .into_iter()
            .flat_map(|(_, fingerprint)| self.suspicions_of(fingerprint));
        let mut suspicions: Vec<Suspicion> = suspicions.collect();
        suspicions.sort();
        SuspicionRecord { suspicions }
    }

    /// Number of suspected fingerprints, and of quarantined ones.
    pub fn counts(&self, now: Time) -> (usize, usize) {
        let suspects = self.suspects.values();
        let suspected = suspects.clone().filter(|suspect| suspect.attempts() > 0);
        let quarantined = suspects.filter(|suspect| suspect.remaining(now).is_some());
        (suspected.count(), quarantined.count())
    }
}
