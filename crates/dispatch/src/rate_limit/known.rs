//! Which upstreams name a rate, as far as this node knows.
//!
//! Answers overtake each other, and so do the words of other nodes. So a word that differs
//! from what is known counts only if it is younger for certain: the request that it answers
//! was sent after the known one was learned. Counter-case: an upstream names a limit while
//! requests are under way to it; one that it had answered before comes last, names none,
//! and would have every node send at full pace again.

use crate::report::UpstreamHash;
use beamtray_catalog::{AdvertisedRate, RequestRate};
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Before a rate that answers go on naming is told to other nodes again, where there are no
/// more than [`FEW_NODES`]: words get lost, and nodes start. Where there are more it takes
/// longer, by as much as more of them tell.
const TOLD_AGAIN: Duration = Duration::from_secs(1);
const FEW_NODES: usize = 16;

/// What one node tells another of an upstream's rate.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct LimitWord {
    /// The upstream.
    pub upstream: UpstreamHash,
    /// Requests a second that it takes from all nodes; none if it has ceased to name one.
    pub rate: Option<RequestRate>,
    /// Milliseconds since that was learned from an answer.
    pub age_ms: u32,
}

/// What became known of an upstream's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitNotice {
    /// It names a rate, or another one than before.
    Limited {
        /// The upstream.
        upstream: UpstreamHash,
        /// The rate.
        rate: RequestRate,
        /// Whether that comes from an answer to this node.
        is_own: bool,
    },
    /// It names none any more.
    Ended {
        /// The upstream.
        upstream: UpstreamHash,
        /// Whether that comes from an answer to this node.
        is_own: bool,
    },
    /// It names something that is no rate.
    Unreadable {
        /// The upstream.
        upstream: UpstreamHash,
    },
}

impl LimitNotice {
    /// Whose rate it is.
    pub fn upstream(&self) -> UpstreamHash {
        match *self {
            LimitNotice::Limited { upstream, .. }
            | LimitNotice::Ended { upstream, .. }
            | LimitNotice::Unreadable { upstream } => upstream,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    /// None once the upstream has ceased to name one: an older word must not bring it back.
    rate: Option<RequestRate>,
    /// When that was learned from an answer, by this or another node.
    learned: Time,
    told: Option<Time>,
}

/// The rates that upstreams name.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownLimits {
    known: HashMap<UpstreamHash, Known>,
    untold: HashSet<UpstreamHash>,
    nodes: usize,
    notices: Vec<LimitNotice>,
}

impl KnownLimits {
    /// States how many nodes there are.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// The rate that an upstream names.
    pub fn rate(&self, upstream: UpstreamHash) -> Option<RequestRate> {
        self.known.get(&upstream)?.rate
    }

    /// When the rate that an upstream names was learned.
    pub fn learned(&self, upstream: UpstreamHash) -> Option<Time> {
        let known = self.known.get(&upstream)?;
        known.rate.map(|_| known.learned)
    }

    /// How many upstreams name one.
    pub fn count(&self) -> usize {
        let limited = self.known.values().filter(|known| known.rate.is_some());
        limited.count()
    }

    /// Whether no upstream has named one, which is mostly so.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Takes what the answer to a request says that was sent to an upstream then.
    pub fn answered(
        &mut self,
        now: Time,
        upstream: UpstreamHash,
        sent: Time,
        word: AdvertisedRate,
    ) {
        let rate = match word {
            AdvertisedRate::Unlimited => None,
            AdvertisedRate::Limited(rate) => Some(rate),
            AdvertisedRate::Unreadable => {
                self.notices.push(LimitNotice::Unreadable { upstream });
                return;
            }
        };
        let Some(known) = self.known.get(&upstream) else {
            if rate.is_some() {
                self.set(now, upstream, rate, true);
            }
            return;
        };
        if known.rate == rate {
            let pause = TOLD_AGAIN * self.nodes.div_ceil(FEW_NODES).max(1) as u32;
            let is_due = known.told.is_none_or(|told| now.since(told) >= pause);
            if rate.is_some() && is_due {
                self.untold.insert(upstream);
            }
        } else if sent > known.learned {
            self.set(now, upstream, rate, true);
        }
    }

    /// Takes another node's word; whether it was news.
    pub fn told(&mut self, now: Time, word: &LimitWord) -> bool {
        let learned = now - Duration::from_millis(word.age_ms.into());
        let is_news = match self.known.get_mut(&word.upstream) {
            Some(known) if known.rate == word.rate => {
                // Others tell it, so this node need not.
                known.told = Some(now);
                false
            }
            Some(known) => learned > known.learned,
            None => word.rate.is_some(),
        };
        if is_news {
            self.set(learned, word.upstream, word.rate, false);
        }
        is_news
    }

    fn set(
        &mut self,
        learned: Time,
        upstream: UpstreamHash,
        rate: Option<RequestRate>,
        is_own: bool,
    ) {
        let known = Known {
            rate,
            learned,
            told: None,
        };
        self.known.insert(upstream, known);
        if is_own {
            self.untold.insert(upstream);
        }
        self.notices.push(match rate {
            Some(rate) => LimitNotice::Limited {
                upstream,
                rate,
                is_own,
            },
            None => LimitNotice::Ended { upstream, is_own },
        });
    }

    /// What this node knows of an upstream, for another node.
    pub fn word(&self, now: Time, upstream: UpstreamHash) -> Option<LimitWord> {
        let known = self.known.get(&upstream)?;
        let age = now.since(known.learned).as_millis();
        Some(LimitWord {
            upstream,
            rate: known.rate,
            age_ms: age.try_into().unwrap_or(u32::MAX),
        })
    }

    /// All rates that are named, for another node.
    pub fn words(&self, now: Time) -> Vec<LimitWord> {
        let limited = self.known.iter().filter(|(_, known)| known.rate.is_some());
        limited
            .filter_map(|(upstream, _)| self.word(now, *upstream))
            .collect()
    }

    /// What other nodes were not told of.
    pub fn take_untold(&mut self, now: Time) -> Vec<LimitWord> {
        let untold: Vec<UpstreamHash> = self.untold.drain().collect();
        for upstream in &untold {
            if let Some(known) = self.known.get_mut(upstream) {
                known.told = Some(now);
            }
        }
        let words = untold.into_iter();
        words
            .filter_map(|upstream| self.word(now, upstream))
            .collect()
    }

    /// What became known since the last call.
    pub fn take_notices(&mut self) -> Vec<LimitNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Forgets upstreams that are gone: another incarnation begins without a limit.
    pub fn retain(&mut self, keep: impl Fn(UpstreamHash) -> bool) {
        self.known.retain(|upstream, _| keep(*upstream));
        self.untold.retain(|upstream| keep(*upstream));
    }
}
