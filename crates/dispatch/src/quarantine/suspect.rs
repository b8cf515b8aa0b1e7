//! What is known of one request: which of its attempts ended with the termination of their
//! upstreams.

use super::QuarantineEvent;
use crate::fingerprint::Fingerprint;
use crate::report::UpstreamHash;
use crate::request::Ticket;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Number of upstreams that terminate while running a request before it is quarantined. Two of
/// them may terminate together by chance when a zone or a rack is lost while a client retries;
/// it is unlikely that a third one, which got the request later, does so too.
pub const UPSTREAMS_BEFORE_QUARANTINE: usize = 3;
/// Number of attempts of a request that end with the termination of their upstreams before it
/// is quarantined, if at least one of them was a trial. A trial is the only attempt with its
/// content at any node and lasts as long as one request: it is far less likely that its
/// upstream terminates for another reason in that time than while any of many attempts is in
/// flight.
const ATTEMPTS_BEFORE_QUARANTINE: usize = 3;
/// Duration of the quarantine: at first, after one more termination, and from the next one on.
/// A request that keeps terminating upstreams costs at most three upstreams in the first day
/// after it is known.
const QUARANTINE_TIMES: [Duration; 3] = [
    Duration::from_secs(2 * 60),
    Duration::from_secs(30 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// How long a suspicion is kept after the quarantine.
const SUSPICION_RETENTION: Duration = Duration::from_secs(30 * 60);
/// How long a cleared suspicion is kept: longer than reports of its terminations are on the
/// way, including those through the store.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);
/// Number of attempts kept per upstream: more would change nothing.
const MAX_ATTEMPTS_PER_UPSTREAM: usize = ATTEMPTS_BEFORE_QUARANTINE;
/// Number of terminations kept per request; each takes 18 bytes in messages between nodes.
pub(super) const MAX_TERMINATIONS: usize = 24;

/// Short hash that identifies one attempt of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct AttemptHash(pub u32);

impl AttemptHash {
    /// Hashes an attempt of a request of a node's process.
    pub fn of(node: &str, process: u64, ticket: Ticket, attempt: u32) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(node.as_bytes());
        hasher.update(&process.to_be_bytes());
        hasher.update(&ticket.0.to_be_bytes());
        hasher.update(&attempt.to_be_bytes());
        Self(hasher.digest() as u32)
    }
}

/// An attempt of a request that ended with the termination of its upstream, as exchanged
/// between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstream that terminated.
    pub upstream: UpstreamHash,
    /// The attempt.
    pub attempt: AttemptHash,
    /// Whether it was a trial, the only attempt of that request at any node.
    pub is_trial: bool,
    /// Whether the request has been answered since, so that it was not the cause.
    pub is_cleared: bool,
}

/// One attempt that ended with the termination of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Termination {
    upstream: UpstreamHash,
    is_trial: bool,
    attempt: AttemptHash,
}

/// Result of merging a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// The suspicion was already known.
    Unchanged,
    /// A further attempt ended with the termination of its upstream.
    NewTermination,
    /// The request was not the cause of a termination.
    Cleared {
        /// Whether the request is no longer suspected of any termination.
        is_complete: bool,
    },
}

/// All that is known of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// Terminations, each with whether the request was cleared of it.
    terminations: BTreeMap<Termination, bool>,
    /// When something last became known.
    pub since: Time,
}

impl Suspect {
    /// Merges one suspicion.
    pub fn merge(&mut self, now: Time, suspicion: &Suspicion) -> MergeOutcome {
        let termination = Termination {
            upstream: suspicion.upstream,
            is_trial: suspicion.is_trial,
            attempt: suspicion.attempt,
        };
        let was_cleared = self.terminations.get(&termination).copied();
        if was_cleared == Some(true) || was_cleared == Some(suspicion.is_cleared) {
            return MergeOutcome::Unchanged;
        }
        self.terminations.insert(termination, suspicion.is_cleared);
        if self.evict_surplus(termination) {
            return MergeOutcome::Unchanged;
        }
        if !suspicion.is_cleared {
            self.since = now;
            return MergeOutcome::NewTermination;
        }
        let is_complete = was_cleared.is_some() && self.attempts() == 0;
        if is_complete {
            self.since = now;
        }
        MergeOutcome::Cleared { is_complete }
    }

    /// Keeps the set within its bounds. Returns whether the added termination was dropped. Of
    /// the attempts at one upstream those with the lowest hashes are kept, so that all nodes
    /// keep the same ones.
    fn evict_surplus(&mut self, added: Termination) -> bool {
        let others = self.terminations.keys();
        let alike = others
            .filter(|termination| termination.upstream == added.upstream && !termination.is_trial);
        let surplus = alike.copied().nth(MAX_ATTEMPTS_PER_UPSTREAM);
        let last = (self.terminations.len() > MAX_TERMINATIONS).then_some(added);
        let Some(dropped) = surplus.or(last) else {
            return false;
        };
        self.terminations.remove(&dropped);
        dropped == added
    }

    fn uncleared(&self) -> impl Iterator<Item = &Termination> {
        let terminations = self.terminations.iter();
        terminations
            .filter(|(_, is_cleared)| !**is_cleared)
            .map(|(termination, _)| termination)
    }

    /// Number of attempts that ended with the termination of their upstreams and were not
    /// cleared.
    pub fn attempts(&self) -> usize {
        self.uncleared().count()
    }

    /// Number of upstreams that terminated during these attempts.
    pub fn upstreams(&self) -> usize {
        let mut upstreams: Vec<_> = self
            .uncleared()
            .map(|termination| termination.upstream)
            .collect();
        upstreams.dedup();
        upstreams.len()
    }

    fn trials(&self) -> usize {
        self.uncleared()
            .filter(|termination| termination.is_trial)
            .count()
    }

    /// Duration of the quarantine from the time the last termination became known; zero if
    /// there is none.
    pub fn quarantine_time(&self) -> Duration {
        let (upstreams, trials) = (self.upstreams(), self.trials());
        let has_terminated_in_trial = self.attempts() >= ATTEMPTS_BEFORE_QUARANTINE && trials > 0;
        if !has_terminated_in_trial && upstreams < UPSTREAMS_BEFORE_QUARANTINE {
            return Duration::ZERO;
        }
        let further = upstreams.saturating_sub(UPSTREAMS_BEFORE_QUARANTINE);
        let further = further.max(trials.saturating_sub(1));
        QUARANTINE_TIMES[further.min(QUARANTINE_TIMES.len() - 1)]
    }

    /// Remaining quarantine time.
    pub fn remaining(&self, now: Time) -> Option<Duration> {
        let left = self.quarantine_time().checked_sub(now.since(self.since))?;
        (!left.is_zero()).then_some(left)
    }

    /// Event for a further termination.
    pub fn event(&self, suspicion: &Suspicion) -> QuarantineEvent {
        let (ended, lasts) = (self.attempts(), self.quarantine_time());
        let fingerprint = suspicion.fingerprint;
        if lasts.is_zero() {
            QuarantineEvent::Suspected {
                fingerprint,
                upstream: suspicion.upstream,
                ended,
                is_trial: suspicion.is_trial,
            }
        } else {
            QuarantineEvent::Quarantined {
                fingerprint,
                ended,
                lasts,
            }
        }
    }

    /// Whether nothing about the request is worth keeping any more.
    pub fn is_expired(&self, now: Time) -> bool {
        let remembered = if self.attempts() == 0 {
            CLEARED_RETENTION
        } else {
            self.quarantine_time() + SUSPICION_RETENTION
        };
        now.since(self.since) >= remembered
    }

    /// All that is known, as exchanged between nodes.
    pub fn suspicions(&self, fingerprint: Fingerprint) -> impl Iterator<Item = Suspicion> + '_ {
        self.terminations
            .iter()
            .map(move |(termination, is_cleared)| Suspicion {
                fingerprint,
                upstream: termination.upstream,
                attempt: termination.attempt,
                is_trial: termination.is_trial,
                is_cleared: *is_cleared,
            })
    }
}
