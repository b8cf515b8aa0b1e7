//! The rate limits that upstreams advertise, as far as this node knows.
//!
//! Responses may overtake each other, and so may updates from other nodes. An update that
//! differs from what is known is therefore applied only if it is certainly newer: the request
//! that it responds to was sent after the known limit was learned. Without this rule, an
//! upstream could start to advertise a limit while requests are in flight, and the response to
//! an earlier request, which carries no limit, could arrive last and make every node send at
//! full speed again.

use crate::report::UpstreamHash;
use beamtray_catalog::{AdvertisedRate, RequestRate};
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval at which a limit that responses keep advertising is sent to other nodes again, up
/// to [`NODES_PER_INTERVAL`] nodes: updates get lost, and nodes start. With more nodes the
/// interval grows in proportion, since more of them send updates.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);
const NODES_PER_INTERVAL: usize = 16;

/// An upstream's rate limit, as exchanged between nodes.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct RateLimitUpdate {
    /// The upstream.
    pub upstream: UpstreamHash,
    /// Requests per second accepted from all nodes together; `None` if the upstream has stopped
    /// advertising a limit.
    pub rate: Option<RequestRate>,
    /// Milliseconds since the limit was learned from a response.
    pub age_ms: u32,
}

/// A change of an upstream's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimitEvent {
    /// The upstream advertises a limit, or a different one than before.
    Limited {
        /// The upstream.
        upstream: UpstreamHash,
        /// The limit.
        rate: RequestRate,
        /// Whether this comes from a response to this node.
        is_local: bool,
    },
    /// The upstream no longer advertises a limit.
    Ended {
        /// The upstream.
        upstream: UpstreamHash,
        /// Whether this comes from a response to this node.
        is_local: bool,
    },
    /// The advertised value is not a valid rate.
    Unreadable {
        /// The upstream.
        upstream: UpstreamHash,
    },
}

impl RateLimitEvent {
    /// The upstream that the event is about.
    pub fn upstream(&self) -> UpstreamHash {
        match *self {
            RateLimitEvent::Limited { upstream, .. }
            | RateLimitEvent::Ended { upstream, .. }
            | RateLimitEvent::Unreadable { upstream } => upstream,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    /// `None` once the upstream has stopped advertising a limit: an older update must not bring
    /// it back.
    rate: Option<RequestRate>,
    /// When the limit was learned from a response, by this or another node.
    learned: Time,
    last_shared: Option<Time>,
}

/// The rate limits that upstreams advertise.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownLimits {
    known: BTreeMap<UpstreamHash, Known>,
    unsent: BTreeSet<UpstreamHash>,
    nodes: usize,
    events: Vec<RateLimitEvent>,
}

impl KnownLimits {
    /// Sets the number of nodes.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// The rate limit that an upstream advertises.
    pub fn rate(&self, upstream: UpstreamHash) -> Option<RequestRate> {
        self.known.get(&upstream)?.rate
    }

    /// When an upstream's rate limit was learned.
    pub fn learned(&self, upstream: UpstreamHash) -> Option<Time> {
        let known = self.known.get(&upstream)?;
        known.rate.map(|_| known.learned)
    }

    /// Number of upstreams that advertise a limit.
    pub fn count(&self) -> usize {
        let limited = self.known.values().filter(|known| known.rate.is_some());
        limited.count()
    }

    /// Whether no upstream has advertised a limit, which is the usual case.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Applies the limit advertised in the response to a request that was sent at `sent`.
    pub fn observe(&mut self, now: Time, upstream: UpstreamHash, sent: Time, word: AdvertisedRate) {
        let rate = match word {
            AdvertisedRate::Unlimited => None,
            AdvertisedRate::Limited(rate) => Some(rate),
            AdvertisedRate::Unreadable => {
                self.events.push(RateLimitEvent::Unreadable { upstream });
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
            let interval = SHARE_INTERVAL * self.nodes.div_ceil(NODES_PER_INTERVAL).max(1) as u32;
            let is_due = known
                .last_shared
                .is_none_or(|shared| now.since(shared) >= interval);
            if rate.is_some() && is_due {
                self.unsent.insert(upstream);
            }
        } else if sent > known.learned {
            self.set(now, upstream, rate, true);
        }
    }

    /// Applies another node's update. Returns whether it was new.
    pub fn apply_update(&mut self, now: Time, update: &RateLimitUpdate) -> bool {
        let learned = now - Duration::from_millis(update.age_ms.into());
        let is_new = match self.known.get_mut(&update.upstream) {
            Some(known) if known.rate == update.rate => {
                // Another node has sent it to all, so this node need not.
                known.last_shared = Some(now);
                false
            }
            Some(known) => learned > known.learned,
            None => update.rate.is_some(),
        };
        if is_new {
            self.set(learned, update.upstream, update.rate, false);
        }
        is_new
    }

    fn set(
        &mut self,
        learned: Time,
        upstream: UpstreamHash,
        rate: Option<RequestRate>,
        is_local: bool,
    ) {
        let known = Known {
            rate,
            learned,
            last_shared: None,
        };
        self.known.insert(upstream, known);
        if is_local {
            self.unsent.insert(upstream);
        }
        self.events.push(match rate {
            Some(rate) => RateLimitEvent::Limited {
                upstream,
                rate,
                is_local,
            },
            None => RateLimitEvent::Ended { upstream, is_local },
        });
    }

    /// What this node knows of an upstream, for another node.
    pub fn update(&self, now: Time, upstream: UpstreamHash) -> Option<RateLimitUpdate> {
        let known = self.known.get(&upstream)?;
        let age = now.since(known.learned).as_millis();
        Some(RateLimitUpdate {
            upstream,
            rate: known.rate,
            age_ms: age.try_into().unwrap_or(u32::MAX),
        })
    }

    /// All advertised limits, for another node.
    pub fn updates(&self, now: Time) -> Vec<RateLimitUpdate> {
        let limited = self.known.iter().filter(|(_, known)| known.rate.is_some());
        limited
            .filter_map(|(upstream, _)| self.update(now, *upstream))
            .collect()
    }

    /// Takes the updates that have not been sent to other nodes.
    pub fn take_unsent_updates(&mut self, now: Time) -> Vec<RateLimitUpdate> {
        let unsent = std::mem::take(&mut self.unsent);
        for upstream in &unsent {
            if let Some(known) = self.known.get_mut(upstream) {
                known.last_shared = Some(now);
            }
        }
        let unsent_upstreams = unsent.into_iter();
        unsent_upstreams
            .filter_map(|upstream| self.update(now, upstream))
            .collect()
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<RateLimitEvent> {
        std::mem::take(&mut self.events)
    }

    /// Drops upstreams that are deregistered: another incarnation starts without a limit.
    pub fn retain(&mut self, keep: impl Fn(UpstreamHash) -> bool) {
        self.known.retain(|upstream, _| keep(*upstream));
        self.unsent.retain(|upstream| keep(*upstream));
    }
}
