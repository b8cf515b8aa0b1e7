//! Limits requests to cold upstreams.
//!
//! An upstream that has just started handles few requests per second, and fails under many
//! more: under the requests themselves and under the retries that follow. A single node can't
//! know what the others send, and some of them may be partitioned. Each cold upstream therefore
//! has [`MAX_SENDERS`] nodes that may send to it at all, selected by a hash of node and
//! upstream, and each of them leaves a minimum interval between two requests.
//!
//! Invariant: in any second, all nodes together, partitioned or not, send a cold upstream no
//! more requests than [`ColdStartBound`] allows, as long as there are at most
//! [`MAX_CONCURRENT_VIEWS`] different views of the set of nodes. A node sends no more than its
//! share per second ([`Share`]), and no view has more senders than were planned for: a node
//! that becomes a sender waits for [`SETTLE_TIME`], so every node that sends within a given
//! second was already a sender at its start. The invariant does not hold with a third
//! concurrent view.

use crate::rendezvous::is_top_ranked;
use crate::report::{NodeHash, UpstreamHash};
use beamtray_catalog::ColdStart;
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Number of nodes that send to one cold upstream: if one is lost two remain, and each gets
/// requests often enough to use its share.
const MAX_SENDERS: u32 = 3;
/// Number of concurrent views of the set of nodes: that of the nodes that can reach each other
/// or the store, and that of the nodes that are partitioned.
const MAX_CONCURRENT_VIEWS: u32 = 2;
/// How long a node has been a sender before it sends: the time over which requests are counted.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Limit on the requests per second that all nodes together send to a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartBound {
    /// Factor applied to the rate that the upstream states.
    pub overage: f64,
    /// Requests per second beyond that.
    pub slack: f64,
}

impl ColdStartBound {
    fn requests_per_second(&self, cold_start: &ColdStart) -> f64 {
        cold_start.rate * self.overage + self.slack
    }
}

/// What one node may send to one cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share {
    senders: usize,
    /// Minimum time between two requests.
    pause: Duration,
}

impl Share {
    /// Returns the share of each sender; `None` if the limit is too low to be divided.
    fn of(bound: &ColdStartBound, cold_start: &ColdStart) -> Option<Self> {
        let per_view = bound.requests_per_second(cold_start) / f64::from(MAX_CONCURRENT_VIEWS);
        let senders = MAX_SENDERS.min(per_view as u32);
        if senders == 0 || cold_start.rate <= 0.0 {
            return None;
        }
        let max_rate = (per_view / f64::from(senders)).floor();
        let service_rate = cold_start.rate / f64::from(senders);
        Some(Self {
            senders: senders as usize,
            pause: Duration::from_secs_f64(1.0 / max_rate.min(service_rate)),
        })
    }
}

/// This node's state as a sender to one cold upstream.
#[derive(Clone, Copy, Debug)]
struct SenderState {
    /// Number of senders of the upstream.
    senders: usize,
    /// Since when this node is a sender.
    sender_since: Option<Time>,
    sent_at: Option<Time>,
    /// Until when the upstream is cold, as far as known.
    until: Time,
}

/// This node's requests to cold upstreams.
#[derive(Clone, Debug)]
pub(super) struct ColdStarts {
    own: NodeHash,
    bound: ColdStartBound,
    nodes: Vec<NodeHash>,
    nodes_changed: Time,
    sender_states: HashMap<UpstreamHash, SenderState>,
}

impl ColdStarts {
    /// Creates the state without any node, so that nothing is sent.
    pub fn new(own: NodeHash, bound: ColdStartBound) -> Self {
        Self {
            own,
            bound,
            nodes: Vec::new(),
            nodes_changed: Time::ZERO,
            sender_states: HashMap::new(),
        }
    }

    /// Changes the limit.
    pub fn set_bound(&mut self, bound: ColdStartBound) {
        self.bound = bound;
    }

    /// Sets the registered nodes, including this one once it is registered.
    pub fn set_nodes(&mut self, now: Time, nodes: Vec<NodeHash>) {
        if nodes == self.nodes {
            return;
        }
        self.nodes = nodes;
        self.nodes_changed = now;
        let (own, nodes) = (self.own, &self.nodes);
        for (upstream, sender) in &mut self.sender_states {
            let is_sender = is_top_ranked(own, nodes, *upstream, sender.senders);
            sender.sender_since = is_sender.then(|| sender.sender_since.unwrap_or(now));
        }
    }

    /// Whether this node may send a request to a cold upstream now.
    pub fn may_send(
        &mut self,
        now: Time,
        upstream: UpstreamHash,
        cold_start: &ColdStart,
        until: Time,
    ) -> bool {
        let Some(share) = Share::of(&self.bound, cold_start) else {
            return false;
        };
        let (own, nodes, since) = (self.own, &self.nodes, self.nodes_changed);
        let sender = self
            .sender_states
            .entry(upstream)
            .or_insert_with(|| SenderState {
                senders: share.senders,
                sender_since: is_top_ranked(own, nodes, upstream, share.senders).then_some(since),
                sent_at: None,
                until,
            });
        sender.until = sender.until.max(until);
        let settled = sender.sender_since.map(|since| since + SETTLE_TIME);
        let next = sender.sent_at.map(|sent| sent + share.pause);
        settled.is_some_and(|settled| now >= settled) && next.is_none_or(|next| now >= next)
    }

    /// Records that a request is sent to an upstream.
    pub fn record_send(&mut self, now: Time, upstream: UpstreamHash) {
        if let Some(sender) = self.sender_states.get_mut(&upstream) {
            sender.sent_at = Some(now);
        }
    }

    /// Drops upstreams that are warm.
    pub fn expire(&mut self, now: Time) {
        self.sender_states.retain(|_, sender| now < sender.until);
    }
}
