//! What is known of one request: which of its runs ended with their upstreams.

use super::QuarantineEvent;
use crate::fingerprint::Fingerprint;
use crate::report::UpstreamHash;
use crate::request::Ticket;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Upstreams that end under a request before it is kept off. Two of them end together by
/// chance where a zone or a rack is lost while a client repeats; a third one that got the
/// request later hardly does.
pub const UPSTREAMS_BEFORE_QUARANTINE: usize = 3;
/// Runs of a request that end with their upstreams before it is kept off, where the last of
/// them was a trial. A trial is the only run of its content anywhere and lasts as long as
/// one request: that its upstream ends meanwhile for another reason is far less likely than
/// that it does so while any of many runs is under way.
const ATTEMPTS_BEFORE_QUARANTINE: usize = 3;
/// For how long a request is kept off: at first, after one more end, and from the next one
/// on. One that stays as it is then costs no more than three upstreams in its first day
/// after it is known.
const QUARANTINE_TIMES: [Duration; 3] = [
    Duration::from_secs(2 * 60),
    Duration::from_secs(30 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// How long a suspicion is remembered beyond that.
const RETENTION: Duration = Duration::from_secs(30 * 60);
/// How long it is remembered of what a request was cleared: longer than word of its ends is
/// on its way, through the store too.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);
/// Runs that are remembered of one upstream: more would change nothing.
const MAX_ATTEMPTS_PER_UPSTREAM: usize = ATTEMPTS_BEFORE_QUARANTINE;
/// Ends that are remembered of one request, 18 bytes each where nodes tell each other.
pub(super) const MAX_TERMINATIONS: usize = 24;

/// Short name of one run of a request at an upstream.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct AttemptHash(pub u32);

impl AttemptHash {
    /// The short name of an attempt of a request of a node's process.
    pub fn of(node: &str, process: u64, ticket: Ticket, attempt: u32) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(node.as_bytes());
        hasher.update(&process.to_be_bytes());
        hasher.update(&ticket.0.to_be_bytes());
        hasher.update(&attempt.to_be_bytes());
        Self(hasher.digest() as u32)
    }
}

/// A run of a request ended with its upstream, as nodes tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstream.
    pub upstream: UpstreamHash,
    /// The run.
    pub attempt: AttemptHash,
    /// Whether it was the only run of that request anywhere, by a permit.
    pub is_trial: bool,
    /// Whether the request was answered since, so that it was not the cause.
    pub is_cleared: bool,
}

/// One run that ended with its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Termination {
    upstream: UpstreamHash,
    is_trial: bool,
    attempt: AttemptHash,
}

/// Whether a suspicion told something new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// It did not.
    Unchanged,
    /// A further run ended with its upstream.
    NewTermination,
    /// The request was not the cause of an end; whether it is under no suspicion now.
    Cleared {
        /// No end is left.
        is_complete: bool,
    },
}

/// All that is known of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// Whether it was cleared of each end.
    terminations: BTreeMap<Termination, bool>,
    /// When something last became known.
    pub since: Time,
}

impl Suspect {
    /// Joins one suspicion.
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

    /// Keeps the set within its bounds; whether that end was dropped. Of one upstream's
    /// runs those with the least names stay, so that all nodes keep the same ones.
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

    /// Runs that ended with their upstreams, of which it was not cleared.
    pub fn attempts(&self) -> usize {
        self.uncleared().count()
    }

    /// Upstreams that these ended with.
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

    /// For how long it is kept off from when its last end became known; zero if it is not.
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

    /// For how much longer it is kept off.
    pub fn remaining(&self, now: Time) -> Option<Duration> {
        let left = self.quarantine_time().checked_sub(now.since(self.since))?;
        (!left.is_zero()).then_some(left)
    }

    /// What is told of a further end.
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

    /// Whether nothing is worth remembering of it any more.
    pub fn is_expired(&self, now: Time) -> bool {
        let remembered = if self.attempts() == 0 {
            CLEARED_RETENTION
        } else {
            self.quarantine_time() + RETENTION
        };
        now.since(self.since) >= remembered
    }

    /// All that is known, as nodes tell each other.
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
