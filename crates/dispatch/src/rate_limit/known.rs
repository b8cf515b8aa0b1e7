//! Which upstreams name a rate, as far as this node knows.
//!
//! Answers overtake each other. So one that says something else than what is known counts only if it is younger for certain: the request that it answers
//! was sent after the known one was learned. Counter-case: an upstream names a limit while
//! requests are under way to it; one that it had answered before comes last, names none,
//! and would have every node send at full pace again.

use crate::report::UpstreamHash;
use beamtray_catalog::{RateWord, RequestRate};
use beamtray_types::Time;
use std::collections::HashMap;

/// What became known of an upstream's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitNotice {
    /// It names a rate, or another one than before.
    Limited {
        /// The upstream.
        upstream: UpstreamHash,
        /// The rate.
        rate: RequestRate,
    },
    /// It names none any more.
    Ended {
        /// The upstream.
        upstream: UpstreamHash,
    },
    /// It names something that is no rate.
    Unreadable {
        /// The upstream.
        upstream: UpstreamHash,
    },
}

#[derive(Clone, Copy, Debug)]
struct Known {
    /// None once the upstream has ceased to name one: an older word must not bring it back.
    rate: Option<RequestRate>,
    /// When that was learned.
    learned: Time,
}

/// The rates that upstreams name.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownLimits {
    known: HashMap<UpstreamHash, Known>,
    notices: Vec<LimitNotice>,
}

impl KnownLimits {
    /// How many upstreams name one.
    pub fn count(&self) -> usize {
        let limited = self.known.values().filter(|known| known.rate.is_some());
        limited.count()
    }

    /// Takes what the answer to a request says that was sent to an upstream then.
    pub fn answered(&mut self, now: Time, upstream: UpstreamHash, sent: Time, word: RateWord) {
        let rate = match word {
            RateWord::Unlimited => None,
            RateWord::Limited(rate) => Some(rate),
            RateWord::Unreadable => {
                self.notices.push(LimitNotice::Unreadable { upstream });
                return;
            }
        };
        let Some(known) = self.known.get(&upstream) else {
            if rate.is_some() {
                self.set(now, upstream, rate);
            }
            return;
        };
        if known.rate != rate && sent > known.learned {
            self.set(now, upstream, rate);
        }
    }

    fn set(&mut self, learned: Time, upstream: UpstreamHash, rate: Option<RequestRate>) {
        self.known.insert(upstream, Known { rate, learned });
        self.notices.push(match rate {
            Some(rate) => LimitNotice::Limited { upstream, rate },
            None => LimitNotice::Ended { upstream },
        });
    }

    /// What became known since the last call.
    pub fn take_notices(&mut self) -> Vec<LimitNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Forgets upstreams that are gone: another incarnation begins without a limit.
    pub fn retain(&mut self, keep: impl Fn(UpstreamHash) -> bool) {
        self.known.retain(|upstream, _| keep(*upstream));
    }
}
