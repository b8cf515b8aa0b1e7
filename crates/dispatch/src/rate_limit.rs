//! Enforces the rate limits that upstreams advertise, over all nodes together.
//!
//! An overloaded upstream advertises the number of requests per second that it accepts from all
//! nodes. No node knows what the others are about to send, so each request to the upstream
//! needs a permit from one of its [`MAX_ISSUERS`] issuers. These are nodes selected by a hash
//! of node and upstream, each with an equal share of the rate. A node without a permit asks one
//! issuer after the other. An issuer that is lost costs its share of the rate until its
//! registration lapses or another issuer is asked; it never lets more requests through.

mod known;
mod recent;
mod share;

use crate::permit::{
    Buckets, PermitCounts, PermitPolicy, PermitStep, Permits, Share, Tenure, millis,
};
use crate::rendezvous;
use crate::report::{NodeHash, UpstreamHash};
use beamtray_catalog::{AdvertisedRate, RequestRate};
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use known::KnownLimits;
pub use known::{RateLimitEvent, RateLimitUpdate};
use recent::RecentSends;
use share::{PERMIT_LIFETIME, RATE_LIMIT_WINDOW, share_of, tenure_of};
use std::collections::HashMap;
use std::time::Duration;

/// Number of issuers per upstream: if one is lost two remain, and there are few enough that the
/// first permits of all buckets, which may be used at the same moment, do no harm.
const MAX_ISSUERS: usize = 3;
/// Delay before a node that was asked but is not an issuer is asked again: nodes may briefly
/// disagree about the issuers.
const NO_ISSUER_BACKOFF: Duration = Duration::from_millis(500);
const PERMIT_POLICY: PermitPolicy = PermitPolicy {
    lifetime: PERMIT_LIFETIME,
    advance: Duration::ZERO,
    max_per_request: 16,
    min_issuer_backoff: Duration::from_millis(1),
};

/// Asks an issuer for permits.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PermitRequest {
    /// The upstream's rate limit, as known to the asking node.
    pub limit: RateLimitUpdate,
    /// The issuer that is asked.
    pub issuer: NodeHash,
    /// Number of this permit request, unique within the node.
    pub number: u32,
    /// Number of permits that the node can use now.
    pub wanted: u32,
    /// Number of requests that the node sent in the window before it learned of the limit; zero
    /// if this issuer has been told before.
    pub sent_before: u32,
}

/// The issuer's reply.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PermitReply {
    /// The upstream's rate limit, as known to the issuer.
    pub limit: RateLimitUpdate,
    /// Number of the permit request.
    pub number: u32,
    /// Number of permits issued. Each is for one request, to be sent right away.
    pub permits: u32,
    /// Milliseconds until the issuer has a permit again.
    pub next_in_ms: u32,
    /// Milliseconds until it would have had a permit for each one that it recently denied.
    pub room_in_ms: u32,
}

/// The issuers of an upstream's permits.
#[derive(Clone, Debug)]
struct Issuers {
    nodes: Vec<NodeHash>,
    /// Since when this node is one of them.
    since: Option<Time>,
    /// Number of requests of this node in the window before it learned of the limit, and when
    /// it learned.
    sent_before: u32,
    learned: Time,
    /// Issuers that have been told of these requests.
    informed: Vec<NodeHash>,
}

/// The rate limits that a node knows, and the permits that it issues and holds.
#[derive(Clone, Debug)]
pub(crate) struct RateLimits {
    own: NodeHash,
    nodes: Vec<NodeHash>,
    nodes_changed: Time,
    issuers: HashMap<UpstreamHash, Issuers>,
    known: KnownLimits,
    buckets: Buckets<UpstreamHash>,
    permits: Permits<UpstreamHash>,
    recent: RecentSends,
    counts: PermitCounts,
}

impl RateLimits {
    /// Creates the state without any limit or node. Permit requests are numbered after
    /// `number`, which tells those of different processes apart.
    pub fn new(own: NodeHash, number: u32) -> Self {
        Self {
            own,
            nodes: Vec::new(),
            nodes_changed: Time::ZERO,
            issuers: HashMap::new(),
            known: KnownLimits::default(),
            buckets: Buckets::default(),
            permits: Permits::new(PERMIT_POLICY, number),
            recent: RecentSends::default(),
            counts: PermitCounts::default(),
        }
    }

    /// Sets the registered nodes, including this one once it is registered.
    pub fn set_nodes(&mut self, now: Time, nodes: &[NodeHash]) {
        if self.nodes == nodes {
            return;
        }
        self.nodes = nodes.to_vec();
        self.nodes_changed = now;
        self.known.set_nodes(nodes.len());
        for (upstream, issuers) in &mut self.issuers {
            issuers.nodes = rendezvous::top_ranked(nodes, *upstream, MAX_ISSUERS);
            let is_issuer = issuers.nodes.contains(&self.own);
            issuers.since = is_issuer.then(|| issuers.since.unwrap_or(now));
        }
        let issuers = &self.issuers;
        self.buckets.retain(|upstream| {
            let issuers = issuers.get(&upstream);
            issuers.is_some_and(|issuers| issuers.since.is_some())
        });
    }

    /// The known rate limits.
    pub fn known(&mut self) -> &mut KnownLimits {
        &mut self.known
    }

    /// Number of upstreams that advertise a rate limit.
    pub fn count(&self) -> usize {
        self.known.count()
    }

    /// Counts of permits.
    pub fn counts(&self) -> PermitCounts {
        self.counts
    }

    /// The rate limit that an upstream advertises.
    pub fn rate(&self, upstream: UpstreamHash) -> Option<RequestRate> {
        if self.known.is_empty() {
            return None;
        }
        self.known.rate(upstream)
    }

    /// Whether a request may be sent to an upstream now without asking an issuer.
    pub fn has_permit(&self, now: Time, upstream: UpstreamHash) -> bool {
        let Some(rate) = self.rate(upstream) else {
            return true;
        };
        if self.permits.has_one(now, upstream) {
            return true;
        }
        let local_share = self.local_share(upstream, rate);
        local_share
            .is_some_and(|(share, tenure)| self.buckets.has_one(now, upstream, share, tenure))
    }

    /// Returns the next step of a request for an upstream.
    pub fn step(&mut self, now: Time, upstream: UpstreamHash) -> PermitStep {
        if self.has_permit(now, upstream) {
            return PermitStep::Send;
        }
        let others = self.other_issuers(upstream);
        let step = self.permits.step(now, upstream, &others);
        match step {
            PermitStep::Send | PermitStep::Asked => {}
            PermitStep::Ask { .. } => self.counts.asked += 1,
            PermitStep::Empty { until } => {
                let own = self.local_permit_at(now, upstream);
                let until = own.map_or(until, |own| own.min(until));
                return PermitStep::Empty { until };
            }
        }
        step
    }

    /// The other issuers of an upstream. Nodes start with different ones.
    fn other_issuers(&self, upstream: UpstreamHash) -> Vec<NodeHash> {
        let issuers = self.issuers.get(&upstream);
        let all = issuers.map_or(&[][..], |issuers| &issuers.nodes);
        let mut others: Vec<NodeHash> = all
            .iter()
            .copied()
            .filter(|issuer| *issuer != self.own)
            .collect();
        let first = self.own.0 as usize % others.len().max(1);
        others.rotate_left(first);
        others
    }

    /// When this node's own bucket has a permit again, if this node is an issuer.
    fn local_permit_at(&self, now: Time, upstream: UpstreamHash) -> Option<Time> {
        let rate = self.rate(upstream)?;
        let (share, tenure) = self.local_share(upstream, rate)?;
        Some(now + self.buckets.next_in(now, upstream, share, tenure))
    }

    /// Builds the permit request for an issuer; `None` if the upstream no longer advertises a
    /// limit.
    pub fn request(
        &mut self,
        now: Time,
        upstream: UpstreamHash,
        issuer: NodeHash,
        number: u32,
        wanted: u32,
    ) -> Option<PermitRequest> {
        let limit = self.known.update(now, upstream)?;
        Some(PermitRequest {
            limit,
            issuer,
            number,
            wanted,
            sent_before: self.report_sent_before(now, upstream, issuer),
        })
    }

    /// Number of requests before the limit was known that an issuer has yet to be told of.
    fn report_sent_before(&mut self, now: Time, upstream: UpstreamHash, issuer: NodeHash) -> u32 {
        let Some(issuers) = self.issuers.get_mut(&upstream) else {
            return 0;
        };
        let is_old = now.since(issuers.learned) >= RATE_LIMIT_WINDOW;
        if is_old || issuers.informed.contains(&issuer) {
            return 0;
        }
        issuers.informed.push(issuer);
        issuers.sent_before
    }

    /// As an issuer: handles a permit request.
    pub fn issue(&mut self, now: Time, request: &PermitRequest) -> PermitReply {
        self.apply_update(now, &request.limit);
        let upstream = request.limit.upstream;
        let limit = self.known.update(now, upstream).unwrap_or(request.limit);
        let reply = |permits, next_in: Duration, room_in: Duration| PermitReply {
            limit,
            number: request.number,
            permits,
            next_in_ms: millis(next_in),
            room_in_ms: millis(room_in),
        };
        let rate = self.known.rate(upstream);
        let Some((share, tenure)) = rate.and_then(|rate| self.local_share(upstream, rate)) else {
            return reply(0, NO_ISSUER_BACKOFF, NO_ISSUER_BACKOFF);
        };
        let wanted = request.wanted;
        self.buckets
            .charge(now, upstream, share, tenure, request.sent_before);
        let issued = self.buckets.issue(now, upstream, share, tenure, wanted);
        self.counts.issued += u64::from(issued.permits);
        self.counts.denied += u64::from(wanted - issued.permits);
        reply(issued.permits, issued.next_in, issued.room_in)
    }

    /// Handles an issuer's reply.
    pub fn handle_reply(&mut self, now: Time, reply: &PermitReply) {
        self.apply_update(now, &reply.limit);
        self.permits.handle_reply(
            now,
            reply.limit.upstream,
            reply.number,
            reply.permits,
            Duration::from_millis(reply.next_in_ms.into()),
            Duration::from_millis(reply.room_in_ms.into()),
        );
    }

    /// Records that a request is sent to an upstream. Returns whether there was a permit for
    /// it.
    pub fn record_send(&mut self, now: Time, upstream: UpstreamHash) -> bool {
        self.recent.record(now, upstream);
        let Some(rate) = self.rate(upstream) else {
            return true;
        };
        let is_permitted = self.permits.consume(now, upstream).is_some()
            || self.take_local_permit(now, upstream, rate);
        self.counts.used += u64::from(is_permitted);
        is_permitted
    }

    /// Takes a permit from this node's own bucket, if it is an issuer and has one.
    fn take_local_permit(&mut self, now: Time, upstream: UpstreamHash, rate: RequestRate) -> bool {
        let Some((share, tenure)) = self.local_share(upstream, rate) else {
            return false;
        };
        let issued = self.buckets.issue(now, upstream, share, tenure, 1);
        self.counts.issued += u64::from(issued.permits);
        issued.permits > 0
    }

    /// When those who were denied a permit before will have had one.
    pub fn room_at(&self, upstream: UpstreamHash) -> Option<Time> {
        self.permits.room_at(upstream)
    }

    /// This node's share of an upstream's rate, if it is an issuer.
    fn local_share(&self, upstream: UpstreamHash, rate: RequestRate) -> Option<(Share, Tenure)> {
        let issuers = self.issuers.get(&upstream)?;
        let (since, count) = (issuers.since?, issuers.nodes.len());
        let tenure = tenure_of(rate, issuers.learned, since);
        Some((share_of(rate, count), tenure))
    }

    /// Applies the rate limit advertised in a response to a request sent at `sent`.
    pub fn observe(&mut self, now: Time, upstream: UpstreamHash, sent: Time, word: AdvertisedRate) {
        if self.known.is_empty() && word == AdvertisedRate::Unlimited {
            return;
        }
        self.known.observe(now, upstream, sent, word);
        self.update_issuers(now, upstream);
    }

    /// Applies another node's update. Returns whether it was new.
    pub fn apply_update(&mut self, now: Time, update: &RateLimitUpdate) -> bool {
        let is_new = self.known.apply_update(now, update);
        self.update_issuers(now, update.upstream);
        is_new
    }

    /// Determines the issuers of an upstream that has started to advertise a limit, and drops
    /// all state of one that has stopped.
    fn update_issuers(&mut self, now: Time, upstream: UpstreamHash) {
        let Some(rate) = self.known.rate(upstream) else {
            if self.issuers.remove(&upstream).is_some() {
                self.buckets.retain(|other| other != upstream);
                self.permits.retain(|other| other != upstream);
            }
            return;
        };
        if self.issuers.contains_key(&upstream) {
            return;
        }
        let nodes = rendezvous::top_ranked(&self.nodes, upstream, MAX_ISSUERS);
        let is_issuer = nodes.contains(&self.own);
        let issuers = Issuers {
            nodes,
            since: is_issuer.then_some(self.nodes_changed),
            sent_before: self.recent.count(now, upstream),
            learned: self.known.learned(upstream).unwrap_or(now),
            informed: Vec::new(),
        };
        self.issuers.insert(upstream, issuers);
        if let Some((share, tenure)) = self.local_share(upstream, rate) {
            let sent_before = self.report_sent_before(now, upstream, self.own);
            self.buckets
                .charge(now, upstream, share, tenure, sent_before);
        }
    }

    /// Drops upstreams that are deregistered.
    pub fn retain(&mut self, keep: impl Fn(UpstreamHash) -> bool) {
        self.known.retain(&keep);
        self.buckets.retain(&keep);
        self.permits.retain(&keep);
        self.recent.retain(&keep);
        self.issuers.retain(|upstream, _| keep(*upstream));
    }
}
