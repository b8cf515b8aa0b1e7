//! Requests to upstreams that are cold.
//!
//! An upstream that has just started takes few requests a second, and falls over when it
//! gets many more: with its requests, and with those that come back for them. Each node by
//! itself can't know what the others send, and some may be cut off. So each cold upstream
//! has [`MAX_SENDERS`] nodes that may send to it at all, picked by a hash of both, and each
//! of them keeps a pause between two requests.
//!
//! Invariant: all nodes together, in touch or not, send a cold upstream no more requests in
//! any second than [`ColdStartBound`] allows, as long as there are no more than
//! [`MAX_CONCURRENT_VIEWS`] different views of which nodes there are. A node sends no more than its
//! share of that in a second ([`Share`]), and a view has no more senders than were counted
//! on: who becomes one waits for [`SETTLE_TIME`], so whoever sends within a second was among the
//! senders at its begin. The counter-case is a third view at the same time.

use crate::rendezvous::is_top_ranked;
use crate::report::{NodeHash, UpstreamHash};
use beamtray_catalog::ColdStart;
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Nodes that send to one cold upstream: one that is lost leaves two, and each has requests
/// often enough to use its share.
const MAX_SENDERS: u32 = 3;
/// Different views of which nodes there are, at the same time: of those that reach each
/// other or the store, and of those that are cut off.
const MAX_CONCURRENT_VIEWS: u32 = 2;
/// How long a node has been among the senders before it sends: the time over which requests
/// are counted.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// What a cold upstream may be sent in a second, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartBound {
    /// As a multiple of what it says that it takes.
    pub overage: f64,
    /// Requests beyond that.
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
    /// Least time between two requests.
    pause: Duration,
}

impl Share {
    /// The share of each sender; none if the bound leaves nothing to divide.
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

/// How this node stands with one cold upstream.
#[derive(Clone, Copy, Debug)]
struct SenderState {
    /// How many senders the upstream has.
    senders: usize,
    /// Since when it is among the senders.
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
    /// Knows no node yet, so that nothing is sent.
    pub fn new(own: NodeHash, bound: ColdStartBound) -> Self {
        Self {
            own,
            bound,
            nodes: Vec::new(),
            nodes_changed: Time::ZERO,
            sender_states: HashMap::new(),
        }
    }

    /// Puts another bound in force.
    pub fn set_bound(&mut self, bound: ColdStartBound) {
        self.bound = bound;
    }

    /// Takes which nodes there are, this one included if it is registered.
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

    /// Notes that a request is sent to an upstream.
    pub fn record_send(&mut self, now: Time, upstream: UpstreamHash) {
        if let Some(sender) = self.sender_states.get_mut(&upstream) {
            sender.sent_at = Some(now);
        }
    }

    /// Forgets upstreams that are warm.
    pub fn expire(&mut self, now: Time) {
        self.sender_states.retain(|_, sender| now < sender.until);
    }
}
