//! Requests that end the upstreams which run them are kept off.
//!
//! An upstream that ends takes all requests with it that it runs, so each of them is
//! suspected and none is blamed. From the first such end on a request is tried by one run at
//! a time among all nodes, as in a circuit breaker that is half open: [`lender`] says by
//! whom. One that was merely beside the cause is cleared by its next success. One whose
//! trials end upstreams too is taken for the cause: it is refused for a while, by every
//! node, and an upstream is risked for it again only after that.
//!
//! What is known of a fingerprint is a set of runs, each with its upstream and marked as
//! cleared or not. Sets of different nodes are joined: the order in which nodes hear of
//! things, or hear them twice, makes no difference.

mod lender;
mod status;
mod suspect;
mod trials;

use crate::fingerprint::{Fingerprint, Fingerprints};
use crate::report::UpstreamHash;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use lender::Lender;
pub use lender::{TrialOutcome, TrialReply, TrialReport, TrialRequest};
pub(crate) use status::RequestStatus;
use std::collections::HashMap;
use std::time::Duration;
pub use suspect::{AttemptHash, Suspicion, UPSTREAMS_BEFORE_QUARANTINE};
use suspect::{MergeOutcome, Suspect};
use trials::LocalTrials;
pub(crate) use trials::TrialStep;

/// Most fingerprints that are remembered, some 300 bytes each. The least suspected ones
/// give way: one that ends upstreams is told of again with each further end, and comes back
/// with all of them as soon as a node that remembers it tells.
const MAX_SUSPECTS: usize = 1_024;
/// Between two looks for what is too old. Each goes through all suspects, which a node is not
/// to do at every tick (30 ms) while there are many. What is remembered for a second more
/// than its time harms nobody.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Suspects that are kept in the store have ended with their upstreams so often. What one
/// end tells is lost with the processes that saw it, and most of what it tells is of
/// bystanders.
const MIN_RECORDED_ATTEMPTS: usize = 2;
/// Most suspects in the store's record.
const MAX_RECORDED: usize = 256;
/// How long it may take to learn whether an upstream ended when a connection to it broke
/// off: the time after which its registration lapses at the latest.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Suspicions as they outlive the processes that found them.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspicionRecord {
    /// Sorted.
    pub suspicions: Vec<Suspicion>,
}

/// What became known of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// An upstream ended under the request.
    Suspected {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream, by its short name.
        upstream: UpstreamHash,
        /// Its runs that ended with their upstreams so far.
        ended: usize,
        /// Whether this one was a trial.
        is_trial: bool,
    },
    /// The request is kept off.
    Quarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// Its runs that ended with their upstreams so far.
        ended: usize,
        /// For how long.
        lasts: Duration,
    },
    /// A trial of it ended at this node.
    TrialEnded {
        /// The request.
        fingerprint: Fingerprint,
        /// How.
        outcome: TrialOutcome,
    },
    /// The request was answered, so it is not the cause.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
}

/// One attempt, as far as it matters here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspectAttempt {
    pub upstream: UpstreamHash,
    pub id: AttemptHash,
    pub fingerprints: Fingerprints,
    /// The fingerprint of whose permit it was sent.
    pub permit: Option<Fingerprint>,
}

impl SuspectAttempt {
    /// Whether no other run of that fingerprint was under way. One that is alone with its
    /// content is alone with its caller, too.
    fn is_trial_of(&self, fingerprint: Fingerprint) -> bool {
        let permit = self.permit;
        permit == Some(fingerprint) || permit == Some(self.fingerprints.content)
    }
}

/// A connection broke off; whether its upstream ended is not known yet.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedTermination {
    attempt: SuspectAttempt,
    at: Time,
}

/// A suspicion told something new.
struct Merged {
    /// What a line is written of, if of anything.
    event: Option<QuarantineEvent>,
}

/// What one node knows of requests that end upstreams.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    /// The oldest first.
    unconfirmed: Vec<UnconfirmedTermination>,
    trials: LocalTrials,
    lender: Lender,
    local_suspicions: Vec<Suspicion>,
    /// All that was news here, whoever found it.
    new_suspicions: Vec<Suspicion>,
    events: Vec<QuarantineEvent>,
    expire_at: Time,
}

impl Quarantine {
    /// A quarantine that knows nothing. Questions of different processes of one node are
    /// told apart by numbers that go on from different ones.
    pub(crate) fn with_first_number(number: u32) -> Self {
        let mut quarantine = Self::default();
        quarantine.trials.set_last_number(number);
        quarantine
    }

    /// The connection of a request to an upstream broke off, or fell silent.
    pub(crate) fn connection_lost(&mut self, now: Time, attempt: SuspectAttempt) {
        if self.unconfirmed.len() >= MAX_SUSPECTS {
            self.unconfirmed.remove(0);
        }
        self.unconfirmed
            .push(UnconfirmedTermination { attempt, at: now });
    }

    /// An upstream has ended. Requests whose connections to it broke off are suspected.
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

    /// An upstream lives: connections to it broke off for another reason.
    pub fn upstream_alive(&mut self, upstream: UpstreamHash) {
        for attempt in self.take_unconfirmed(upstream) {
            self.end_trial(attempt.permit, TrialOutcome::Unknown);
        }
    }

    fn take_unconfirmed(&mut self, upstream: UpstreamHash) -> Vec<SuspectAttempt> {
        let is_meant =
            |unconfirmed: &mut UnconfirmedTermination| unconfirmed.attempt.upstream == upstream;
        let taken = self.unconfirmed.extract_if(.., is_meant);
        taken.map(|unconfirmed| unconfirmed.attempt).collect()
    }

    /// An upstream ran a request to a good end: it is no cause of ends.
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

    /// Joins what this node found itself, and has it told.
    fn record_local(&mut self, now: Time, suspicion: Suspicion) {
        let Some(merged) = self.merge_suspicion(now, suspicion) else {
            return;
        };
        self.events.extend(merged.event);
        self.local_suspicions.push(suspicion);
    }

    /// Joins what another node, or the store, tells. Whoever found it wrote the line about
    /// it: with one at each node that hears of it, the ends of one zone's upstreams filled
    /// the log of every node.
    pub fn merge(&mut self, now: Time, suspicion: Suspicion) {
        let Some(merged) = self.merge_suspicion(now, suspicion) else {
            return;
        };
        let is_quarantined =
            |event: &QuarantineEvent| matches!(event, QuarantineEvent::Quarantined { .. });
        self.events.extend(merged.event.filter(is_quarantined));
    }

    /// Joins a suspicion; none if it told nothing new.
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

    /// Forgets the least suspected one, of these the one known longest, when there are too
    /// many.
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

    /// For how much longer a request is kept off; none if it is not.
    pub fn remaining(&self, now: Time, fingerprints: Fingerprints) -> Option<Duration> {
        if self.suspects.is_empty() {
            return None;
        }
        let suspects = fingerprints.both().into_iter();
        let suspects = suspects.filter_map(|fingerprint| self.suspects.get(&fingerprint));
        suspects.filter_map(|suspect| suspect.remaining(now)).max()
    }

    /// All that is known of a fingerprint.
    pub fn suspicions_of(&self, fingerprint: Fingerprint) -> Vec<Suspicion> {
        let suspect = self.suspects.get(&fingerprint).into_iter();
        suspect
            .flat_map(|suspect| suspect.suspicions(fingerprint))
            .collect()
    }

    /// What this node found since the last call.
    pub fn take_local_suspicions(&mut self) -> Vec<Suspicion> {
        std::mem::take(&mut self.local_suspicions)
    }

    /// What was news here since the last call, whoever found it.
    pub fn take_new_suspicions(&mut self) -> Vec<Suspicion> {
        std::mem::take(&mut self.new_suspicions)
    }

    /// What became known since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&mut self, now: Time) {
        self.trials.expire(now);
        if now < self.expire_at {
            return;
        }
        self.expire_at = now + EXPIRY_INTERVAL;
        self.unconfirmed
            .retain(|unconfirmed| now.since(unconfirmed.at) < CONFIRMATION_TIMEOUT);
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        self.lender.expire(now);
    }

    /// Joins the store's record.
    pub fn merge_record(&mut self, now: Time, record: &SuspicionRecord) {
        for suspicion in &record.suspicions {
            self.merge(now, *suspicion);
        }
    }

    /// What is worth keeping in the store: the most suspected.
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

    /// Fingerprints that are suspected, and those that are kept off.
    pub fn counts(&self, now: Time) -> (usize, usize) {
        let suspects = self.suspects.values();
        let suspected = suspects.clone().filter(|suspect| suspect.attempts() > 0);
        let quarantined = suspects.filter(|suspect| suspect.remaining(now).is_some());
        (suspected.count(), quarantined.count())
    }
}
