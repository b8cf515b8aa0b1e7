//! Rates that upstreams name, kept over all nodes together.
//!
//! An upstream in need names the requests a second that it takes from all nodes. No node
//! knows what the others are about to send, so each request to it needs a permit, which one
//! of the upstream's [`MOST_LENDERS`] lenders lends: nodes picked by a hash of both, each of
//! which has an equal share of the rate to lend. A node that has no permit asks one lender
//! after the other; one that is lost costs its share until its entry is gone, or another
//! lender is asked, and never lets more through.

mod known;
mod lender;
mod permits;
mod recent;

use crate::rendezvous;
use crate::report::{NodeHash, UpstreamHash};
use beamtray_catalog::{AdvertisedRate, RequestRate};
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use known::KnownLimits;
pub use known::{LimitNotice, LimitWord};
use lender::{Buckets, Share, Tenure, WINDOW};
use permits::Permits;
pub(crate) use permits::{ANSWER_WAIT, PermitStep};
use recent::RecentSends;
use std::collections::HashMap;
use std::time::Duration;

/// Nodes that lend an upstream's permits: one that is lost leaves two, and few enough that
/// the first permit of each bucket, which may all come at once, harms nobody.
const MOST_LENDERS: usize = 3;
/// When a node that is asked and lends nothing is asked again: the nodes may see different
/// ones for a moment.
const NO_LENDER_PAUSE: Duration = Duration::from_millis(500);

/// Asks a lender for permits.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PermitRequest {
    /// The upstream's rate, as the asking node knows it.
    pub limit: LimitWord,
    /// Who is asked.
    pub lender: NodeHash,
    /// Tells the node's questions apart.
    pub number: u32,
    /// How many permits it has use for now.
    pub wanted: u32,
    /// Requests that the node sent in the window before it knew of the rate; nothing if it
    /// told this lender before.
    pub sent_before: u32,
}

/// The lender's answer.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PermitReply {
    /// The upstream's rate, as the lender knows it.
    pub limit: LimitWord,
    /// The question.
    pub number: u32,
    /// Permits that are lent. Each is for one request, right away.
    pub permits: u32,
    /// Milliseconds until the lender has one again.
    pub next_in_ms: u32,
    /// Milliseconds until it would have had one for each that it denied of late.
    pub room_in_ms: u32,
}

/// Permits, since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitCounts {
    /// Questions to lenders, this node among them.
    pub asked: u64,
    /// Permits that were used.
    pub used: u64,
    /// As a lender: permits that were lent.
    pub lent: u64,
    /// As a lender: permits that were asked for and denied.
    pub denied: u64,
}

/// Who lends an upstream's permits.
#[derive(Clone, Debug)]
struct Lenders {
    nodes: Vec<NodeHash>,
    /// Since when this node is one of them.
    since: Option<Time>,
    /// Requests of this node in the window before it knew of the rate, and when that was.
    sent_before: u32,
    learned: Time,
    /// Lenders that were told of them.
    told: Vec<NodeHash>,
}

/// What one node knows, lends and has.
#[derive(Clone, Debug)]
pub(crate) struct RateLimits {
    own: NodeHash,
    nodes: Vec<NodeHash>,
    nodes_changed: Time,
    lenders: HashMap<UpstreamHash, Lenders>,
    known: KnownLimits,
    buckets: Buckets,
    permits: Permits,
    recent: RecentSends,
    counts: PermitCounts,
}

impl RateLimits {
    /// Knows no limit and no node. Questions of different processes are told apart by
    /// `number`, from which on they are counted.
    pub fn new(own: NodeHash, number: u32) -> Self {
        let mut permits = Permits::default();
        permits.begin_after(number);
        Self {
            own,
            nodes: Vec::new(),
            nodes_changed: Time::ZERO,
            lenders: HashMap::new(),
            known: KnownLimits::default(),
            buckets: Buckets::default(),
            permits,
            recent: RecentSends::default(),
            counts: PermitCounts::default(),
        }
    }

    /// Takes which nodes there are, this one included if it is registered.
    pub fn set_nodes(&mut self, now: Time, nodes: &[NodeHash]) {
        if self.nodes == nodes {
            return;
        }
        self.nodes = nodes.to_vec();
        self.nodes_changed = now;
        self.known.set_nodes(nodes.len());
        for (upstream, lenders) in &mut self.lenders {
            lenders.nodes = rendezvous::first(nodes, *upstream, MOST_LENDERS);
            let is_lender = lenders.nodes.contains(&self.own);
            lenders.since = is_lender.then(|| lenders.since.unwrap_or(now));
        }
        let lenders = &self.lenders;
        self.buckets.retain(|upstream| {
            let lenders = lenders.get(&upstream);
            lenders.is_some_and(|lenders| lenders.since.is_some())
        });
    }

    /// What is known of rates.
    pub fn known(&mut self) -> &mut KnownLimits {
        &mut self.known
    }

    /// How many upstreams name a rate.
    pub fn count(&self) -> usize {
        self.known.count()
    }

    /// What became of permits.
    pub fn counts(&self) -> PermitCounts {
        self.counts
    }

    /// The rate that an upstream names.
    pub fn rate(&self, upstream: UpstreamHash) -> Option<RequestRate> {
        if self.known.is_empty() {
            return None;
        }
        self.known.rate(upstream)
    }

    /// Whether a request may be sent to an upstream now, without a question.
    pub fn has_permit(&self, now: Time, upstream: UpstreamHash) -> bool {
        let Some(rate) = self.rate(upstream) else {
            return true;
        };
        if self.permits.has_one(now, upstream) {
            return true;
        }
        let lending = self.lending(upstream, rate);
        lending.is_some_and(|(share, tenure)| self.buckets.has_one(now, upstream, share, tenure))
    }

    /// What a request that is to be sent to an upstream has to do now.
    pub fn step(&mut self, now: Time, upstream: UpstreamHash) -> PermitStep {
        if self.has_permit(now, upstream) {
            return PermitStep::Send;
        }
        let others = self.other_lenders(upstream);
        let step = self.permits.step(now, upstream, &others);
        match step {
            PermitStep::Send | PermitStep::Asked => {}
            PermitStep::Ask { .. } => self.counts.asked += 1,
            PermitStep::Empty { until } => {
                let own = self.own_permit_at(now, upstream);
                let until = own.map_or(until, |own| own.min(until));
                return PermitStep::Empty { until };
            }
        }
        step
    }

    /// The other lenders of an upstream. Nodes begin with different ones.
    fn other_lenders(&self, upstream: UpstreamHash) -> Vec<NodeHash> {
        let lenders = self.lenders.get(&upstream);
        let all = lenders.map_or(&[][..], |lenders| &lenders.nodes);
        let mut others: Vec<NodeHash> = all
            .iter()
            .copied()
            .filter(|lender| *lender != self.own)
            .collect();
        let first = self.own.0 as usize % others.len().max(1);
        others.rotate_left(first);
        others
    }

    /// When this node has a permit again out of its own bucket, if it is a lender.
    fn own_permit_at(&self, now: Time, upstream: UpstreamHash) -> Option<Time> {
        let rate = self.rate(upstream)?;
        let (share, tenure) = self.lending(upstream, rate)?;
        Some(now + self.buckets.next_in(now, upstream, share, tenure))
    }

    /// The question to a lender; none if the upstream names no rate any more.
    pub fn request(
        &mut self,
        now: Time,
        upstream: UpstreamHash,
        lender: NodeHash,
        number: u32,
        wanted: u32,
    ) -> Option<PermitRequest> {
        let limit = self.known.word(now, upstream)?;
        Some(PermitRequest {
            limit,
            lender,
            number,
            wanted,
            sent_before: self.tell_sent_before(now, upstream, lender),
        })
    }

    /// What a lender is to be told of the requests before the rate was known.
    fn tell_sent_before(&mut self, now: Time, upstream: UpstreamHash, lender: NodeHash) -> u32 {
        let Some(lenders) = self.lenders.get_mut(&upstream) else {
            return 0;
        };
        let is_old = now.since(lenders.learned) >= WINDOW;
        if is_old || lenders.told.contains(&lender) {
            return 0;
        }
        lenders.told.push(lender);
        lenders.sent_before
    }

    /// As the lender: answers a question.
    pub fn lend(&mut self, now: Time, request: &PermitRequest) -> PermitReply {
        self.told(now, &request.limit);
        let upstream = request.limit.upstream;
        let limit = self.known.word(now, upstream).unwrap_or(request.limit);
        let reply = |permits, next_in: Duration, room_in: Duration| PermitReply {
            limit,
            number: request.number,
            permits,
            next_in_ms: millis(next_in),
            room_in_ms: millis(room_in),
        };
        let rate = self.known.rate(upstream);
        let Some((share, tenure)) = rate.and_then(|rate| self.lending(upstream, rate)) else {
            return reply(0, NO_LENDER_PAUSE, NO_LENDER_PAUSE);
        };
        let wanted = request.wanted;
        self.buckets
            .charge(now, upstream, share, tenure, request.sent_before);
        let lent = self.buckets.lend(now, upstream, share, tenure, wanted);
        self.counts.lent += u64::from(lent.permits);
        self.counts.denied += u64::from(wanted - lent.permits);
        reply(lent.permits, lent.next_in, lent.room_in)
    }

    /// Takes a lender's answer.
    pub fn answered(&mut self, now: Time, reply: &PermitReply) {
        self.told(now, &reply.limit);
        self.permits.answered(
            now,
            reply.limit.upstream,
            reply.number,
            reply.permits,
            Duration::from_millis(reply.next_in_ms.into()),
            Duration::from_millis(reply.room_in_ms.into()),
        );
    }

    /// A request is sent to an upstream; whether there was a permit for it.
    pub fn sent(&mut self, now: Time, upstream: UpstreamHash) -> bool {
        self.recent.note(now, upstream);
        let Some(rate) = self.rate(upstream) else {
            return true;
        };
        let is_permitted = self.permits.spend(now, upstream) || self.draw_own(now, upstream, rate);
        self.counts.used += u64::from(is_permitted);
        is_permitted
    }

    /// Takes a permit out of this node's own bucket, if it is a lender and there is one.
    fn draw_own(&mut self, now: Time, upstream: UpstreamHash, rate: RequestRate) -> bool {
        let Some((share, tenure)) = self.lending(upstream, rate) else {
            return false;
        };
        let lent = self.buckets.lend(now, upstream, share, tenure, 1);
        self.counts.lent += u64::from(lent.permits);
        lent.permits > 0
    }

    /// When those who were denied a permit before will have had one.
    pub fn room_at(&self, upstream: UpstreamHash) -> Option<Time> {
        self.permits.room_at(upstream)
    }

    /// What this node lends of a rate, if it is a lender.
    fn lending(&self, upstream: UpstreamHash, rate: RequestRate) -> Option<(Share, Tenure)> {
        let lenders = self.lenders.get(&upstream)?;
        let (since, count) = (lenders.since?, lenders.nodes.len());
        let tenure = Tenure::of(rate, lenders.learned, since);
        Some((Share::of(rate, count), tenure))
    }

    /// Takes what an answer said of its upstream's rate.
    pub fn named(&mut self, now: Time, upstream: UpstreamHash, sent: Time, word: AdvertisedRate) {
        if self.known.is_empty() && word == AdvertisedRate::Unlimited {
            return;
        }
        self.known.answered(now, upstream, sent, word);
        self.follow(now, upstream);
    }

    /// Takes another node's word; whether it was news.
    pub fn told(&mut self, now: Time, word: &LimitWord) -> bool {
        let is_news = self.known.told(now, word);
        self.follow(now, word.upstream);
        is_news
    }

    /// Finds out who lends the permits of an upstream that has begun to name a rate, and
    /// forgets all about those of one that has ceased to.
    fn follow(&mut self, now: Time, upstream: UpstreamHash) {
        let Some(rate) = self.known.rate(upstream) else {
            if self.lenders.remove(&upstream).is_some() {
                self.buckets.retain(|other| other != upstream);
                self.permits.retain(|other| other != upstream);
            }
            return;
        };
        if self.lenders.contains_key(&upstream) {
            return;
        }
        let nodes = rendezvous::first(&self.nodes, upstream, MOST_LENDERS);
        let is_lender = nodes.contains(&self.own);
        let lenders = Lenders {
            nodes,
            since: is_lender.then_some(self.nodes_changed),
            sent_before: self.recent.count(now, upstream),
            learned: self.known.learned(upstream).unwrap_or(now),
            told: Vec::new(),
        };
        self.lenders.insert(upstream, lenders);
        if let Some((share, tenure)) = self.lending(upstream, rate) {
            let sent_before = self.tell_sent_before(now, upstream, self.own);
            self.buckets
                .charge(now, upstream, share, tenure, sent_before);
        }
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, keep: impl Fn(UpstreamHash) -> bool) {
        self.known.retain(&keep);
        self.buckets.retain(&keep);
        self.permits.retain(&keep);
        self.recent.retain(&keep);
        self.lenders.retain(|upstream, _| keep(*upstream));
    }
}

/// Milliseconds, rounded up: who comes back sooner finds nothing.
fn millis(time: Duration) -> u32 {
    time.as_micros()
        .div_ceil(1_000)
        .try_into()
        .unwrap_or(u32::MAX)
}
