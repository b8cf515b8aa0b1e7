//! Requests that end the upstreams which run them are kept off.
//!
//! An upstream that ends takes all requests with it that it runs, so each of them is
//! suspected and none is blamed. A request that was under way at upstreams each time that
//! three of them ended, and got no answer between, is taken for the cause: it is refused
//! for a while, by every node, and an upstream is risked for it again only after that. One
//! that was merely beside it is cleared by its next success.
//!
//! What is known of a fingerprint is a set of upstreams, each marked as cleared or not.
//! Sets of different nodes are joined: the order in which nodes hear of things, or hear
//! them twice, makes no difference.

use crate::fingerprint::{Fingerprint, Fingerprints};
use crate::report::UpstreamHash;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Upstreams that end under a request before it is kept off. Two of them end together by
/// chance where a zone or a rack is lost while a client repeats; a third one that got the
/// request later hardly does.
pub const UPSTREAMS_ENDED: usize = 3;
/// For how long a request is kept off at first. Each further upstream that it ends doubles
/// it: a request that stays as it is costs one upstream in 2, 4, 8 minutes and so on
/// instead of one each time that it comes.
const FIRST_HOLD_OFF: Duration = Duration::from_secs(120);
/// Longest time for which a request is kept off.
const LONGEST_HOLD_OFF: Duration = Duration::from_secs(30 * 60);
/// How long a suspicion is remembered beyond that.
const REMEMBERED: Duration = Duration::from_secs(30 * 60);
/// Most fingerprints that are remembered, some 200 bytes each. The least suspected ones
/// give way.
const MOST_SUSPECTS: usize = 4_096;
/// Upstreams that are remembered for one fingerprint: enough for the longest hold-off.
const MOST_UPSTREAMS: usize = 8;
/// Suspects that are kept in the store have ended so many upstreams. What one end tells is
/// lost with the processes that saw it, and most of what it tells is of bystanders.
const RECORDED_FROM: usize = 2;
/// Most suspects in the store's record.
const MOST_RECORDED: usize = 256;
/// How long it may take to learn whether an upstream ended when a connection to it broke
/// off: the time after which its registration lapses at the latest.
const PROOF_WAIT: Duration = Duration::from_secs(10);

/// One upstream ended while it ran a request, as nodes tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstream.
    pub upstream: UpstreamHash,
    /// Whether the request was answered since, so that it was not the cause.
    pub is_cleared: bool,
}

/// Suspicions as they outlive the processes that found them.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspicionRecord {
    /// Sorted.
    pub suspicions: Vec<Suspicion>,
}

/// What became known of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineNotice {
    /// An upstream ended under the request.
    Suspected {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream, by its short name.
        upstream: UpstreamHash,
        /// Upstreams that ended under it so far.
        ended: usize,
    },
    /// The request is kept off.
    KeptOff {
        /// The request.
        fingerprint: Fingerprint,
        /// Upstreams that ended under it so far.
        ended: usize,
        /// For how long.
        lasts: Duration,
    },
    /// The request was answered, so it is not the cause.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Whether it was cleared of each upstream's end.
    upstreams: BTreeMap<UpstreamHash, bool>,
    /// When the last one became known.
    since: Time,
}

impl Suspect {
    fn ended(&self) -> usize {
        let ends = self.upstreams.values();
        ends.filter(|is_cleared| !**is_cleared).count()
    }

    /// For how long it is kept off from when its last end became known; zero if it is not.
    fn hold_off(&self) -> Duration {
        let Some(beyond) = self.ended().checked_sub(UPSTREAMS_ENDED) else {
            return Duration::ZERO;
        };
        let doubled = FIRST_HOLD_OFF * 2u32.saturating_pow(beyond as u32);
        doubled.min(LONGEST_HOLD_OFF)
    }

    fn is_forgotten(&self, now: Time) -> bool {
        now.since(self.since) >= self.hold_off() + REMEMBERED
    }
}

/// A connection broke off; whether its upstream ended is not known yet.
#[derive(Clone, Copy, Debug)]
struct Unproved {
    upstream: UpstreamHash,
    fingerprints: Fingerprints,
    at: Time,
}

/// What one node knows of requests that end upstreams.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    /// The oldest first.
    unproved: Vec<Unproved>,
    untold: Vec<Suspicion>,
    notices: Vec<QuarantineNotice>,
}

impl Quarantine {
    /// The connection of a request to an upstream broke off, or fell silent.
    pub(crate) fn broke_off(
        &mut self,
        now: Time,
        upstream: UpstreamHash,
        fingerprints: Fingerprints,
    ) {
        if self.unproved.len() >= MOST_SUSPECTS {
            self.unproved.remove(0);
        }
        self.unproved.push(Unproved {
            upstream,
            fingerprints,
            at: now,
        });
    }

    /// An upstream has ended. Requests whose connections to it broke off are suspected.
    pub fn upstream_ended(&mut self, now: Time, upstream: UpstreamHash) {
        for unproved in self.take_unproved(upstream) {
            for fingerprint in unproved.fingerprints.both() {
                let suspicion = Suspicion {
                    fingerprint,
                    upstream,
                    is_cleared: false,
                };
                if self.learn(now, suspicion) {
                    self.untold.push(suspicion);
                }
            }
        }
    }

    /// An upstream lives: connections to it broke off for another reason.
    pub fn upstream_lives(&mut self, upstream: UpstreamHash) {
        self.take_unproved(upstream);
    }

    fn take_unproved(&mut self, upstream: UpstreamHash) -> Vec<Unproved> {
        let mut taken = Vec::new();
        self.unproved.retain(|unproved| {
            let is_meant = unproved.upstream == upstream;
            if is_meant {
                taken.push(*unproved);
            }
            !is_meant
        });
        taken
    }

    /// An upstream ran a request to a good end: it is no cause of ends.
    pub(crate) fn succeeded(&mut self, now: Time, fingerprints: Fingerprints) {
        for fingerprint in fingerprints.both() {
            let Some(suspect) = self.suspects.get(&fingerprint) else {
                continue;
            };
            let upstreams: Vec<UpstreamHash> = suspect.upstreams.keys().copied().collect();
            for upstream in upstreams {
                let suspicion = Suspicion {
                    fingerprint,
                    upstream,
                    is_cleared: true,
                };
                if self.learn(now, suspicion) {
                    self.untold.push(suspicion);
                }
            }
        }
    }

    /// Joins what another node, or the store, tells; whether it was news.
    pub fn learn(&mut self, now: Time, suspicion: Suspicion) -> bool {
        let Suspicion {
            fingerprint,
            upstream,
            is_cleared,
        } = suspicion;
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        let was_cleared = suspect.upstreams.get(&upstream).copied();
        let is_full = suspect.upstreams.len() >= MOST_UPSTREAMS;
        if was_cleared == Some(true) || was_cleared == Some(is_cleared) {
            return false;
        }
        if was_cleared.is_none() && is_full {
            return false;
        }
        suspect.upstreams.insert(upstream, is_cleared);
        let ended = suspect.ended();
        if is_cleared {
            if was_cleared.is_some() && ended == 0 {
                self.notices.push(QuarantineNotice::Cleared { fingerprint });
            }
            return true;
        }
        suspect.since = now;
        let lasts = suspect.hold_off();
        self.notices.push(if lasts.is_zero() {
            QuarantineNotice::Suspected {
                fingerprint,
                upstream,
                ended,
            }
        } else {
            QuarantineNotice::KeptOff {
                fingerprint,
                ended,
                lasts,
            }
        });
        true
    }

    /// Forgets the least suspected one, of these the one known longest, when there are too
    /// many.
    fn make_room(&mut self) {
        if self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        let suspects = self.suspects.iter();
        let least = suspects.min_by_key(|(_, suspect)| (suspect.ended(), suspect.since));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// For how much longer a request is kept off; none if it is not.
    pub fn remaining(&self, now: Time, fingerprints: Fingerprints) -> Option<Duration> {
        if self.suspects.is_empty() {
            return None;
        }
        let remaining = fingerprints.both().into_iter().filter_map(|fingerprint| {
            let suspect = self.suspects.get(&fingerprint)?;
            let left = suspect.hold_off().checked_sub(now.since(suspect.since))?;
            (!left.is_zero()).then_some(left)
        });
        remaining.max()
    }

    /// All that is known of a fingerprint.
    pub fn known_of(&self, fingerprint: Fingerprint) -> Vec<Suspicion> {
        let suspect = self.suspects.get(&fingerprint);
        let upstreams = suspect.into_iter().flat_map(|suspect| &suspect.upstreams);
        upstreams
            .map(|(upstream, is_cleared)| Suspicion {
                fingerprint,
                upstream: *upstream,
                is_cleared: *is_cleared,
            })
            .collect()
    }

    /// What this node found since the last call.
    pub fn take_untold(&mut self) -> Vec<Suspicion> {
        std::mem::take(&mut self.untold)
    }

    /// What became known since the last call.
    pub fn take_notices(&mut self) -> Vec<QuarantineNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&mut self, now: Time) {
        self.unproved
            .retain(|unproved| now.since(unproved.at) < PROOF_WAIT);
        self.suspects
            .retain(|_, suspect| !suspect.is_forgotten(now));
    }

    /// Joins the store's record.
    pub fn adopt(&mut self, now: Time, record: &SuspicionRecord) {
        for suspicion in &record.suspicions {
            self.learn(now, *suspicion);
        }
    }

    /// What is worth keeping in the store: the most suspected.
    pub fn record(&self) -> SuspicionRecord {
        let suspects = self.suspects.iter();
        let mut worth: Vec<(usize, Fingerprint)> = suspects
            .map(|(fingerprint, suspect)| (suspect.ended(), *fingerprint))
            .filter(|(ended, _)| *ended >= RECORDED_FROM)
            .collect();
        worth.sort_by_key(|(ended, fingerprint)| (std::cmp::Reverse(*ended), *fingerprint));
        worth.truncate(MOST_RECORDED);
        let suspicions = worth
            .into_iter()
            .flat_map(|(_, fingerprint)| self.known_of(fingerprint));
        let mut suspicions: Vec<Suspicion> = suspicions.collect();
        suspicions.sort();
        SuspicionRecord { suspicions }
    }

    /// Fingerprints that are suspected, and those that are kept off.
    pub fn counts(&self, now: Time) -> (usize, usize) {
        let suspects = self.suspects.values();
        let suspected = suspects.clone().filter(|suspect| suspect.ended() > 0);
        let kept_off = suspects.filter(|suspect| now.since(suspect.since) < suspect.hold_off());
        (suspected.count(), kept_off.count())
    }
}
