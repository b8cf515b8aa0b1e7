//! The buckets out of which a node lends permits.
//!
//! Invariant: what all lenders of an upstream lend, and what is sent by it, in any
//! [`WINDOW`] stays below the named rate over that time and [`AT_ONCE`] requests of each
//! lender. A bucket that takes another's place begins empty, so nothing is lent twice; it
//! fills slower than the rate by what it may hold at once and by how long a
//! permit may lie unused, so that permits which come together, or late, are paid for.
//!
//! What nodes sent before they knew of the rate is worked off first, as far as it is beyond
//! the rate and [`LONGEST_DEBT`] at the most: the upstream has it in its queue, and at the
//! rate itself the queue would stay. Where it got less than it takes nothing is held back.
//!
//! Counter-cases: lenders that two nodes see differently for longer than [`SETTLED`], and a
//! rate that falls: what was lent by the higher one may still be used for [`USE_WITHIN`].

use crate::report::UpstreamHash;
use beamtray_catalog::RequestRate;
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Over which an upstream's rate is kept.
pub(super) const WINDOW: Duration = Duration::from_secs(4);
/// How long after the question a permit may be used. The lender counts it from later.
pub(super) const USE_WITHIN: Duration = Duration::from_millis(150);
/// Permits that a bucket may hold at once, beyond [`BURST`]. With one only, a permit that is
/// fetched a little late would have the bucket stand still until then, at each permit.
const AT_ONCE: f64 = 1.5;
/// What a bucket may hold besides, as time at its rate: where rates are high many are asked
/// for at once.
const BURST: Duration = Duration::from_millis(150);
/// How long a node has been a lender before its bucket fills: until the one before it has
/// heard that it is none any more.
const SETTLED: Duration = Duration::from_secs(1);
/// Longest pause for what was sent before the rate was known, at the rate.
const LONGEST_DEBT: Duration = Duration::from_secs(2);
/// Requests a second that an upstream is sent at least, also where it takes none: the only
/// way to learn that it takes some again.
const LEAST_RATE: f64 = 0.2;
/// How fast denied permits are forgotten: half of them in this time.
const DEMAND_HALVES: Duration = Duration::from_secs(1);

/// What one lender may lend of an upstream's rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// Permits a second.
    rate: f64,
    /// Most permits that are there at once.
    most: f64,
    /// Requests that the upstream takes of this share in the window.
    in_window: f64,
    /// Of how many shares it is one.
    shares: f64,
}

impl Share {
    /// The share of each of so many lenders.
    pub fn of(rate: RequestRate, lenders: usize) -> Self {
        let shares = lenders.max(1) as f64;
        let each = rate.per_second().max(LEAST_RATE) / shares;
        let window = WINDOW.as_secs_f64();
        let beyond = USE_WITHIN + BURST;
        let rate = each * window / (window + beyond.as_secs_f64());
        Self {
            rate,
            most: AT_ONCE + rate * BURST.as_secs_f64(),
            in_window: each * window,
            shares,
        }
    }

    /// Whether the upstream takes anything.
    fn is_closed(rate: RequestRate) -> bool {
        rate.per_second() < LEAST_RATE
    }
}

/// What a node that asked for permits gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Lent {
    pub permits: u32,
    /// When there will be a permit again.
    pub next_in: Duration,
    /// When there would have been enough for all who were denied of late.
    pub room_in: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    permits: f64,
    filled: Time,
    /// Requests of the window before the rate was known that would still have fitted in.
    unused: f64,
    /// Permits that were denied of late.
    denied: f64,
    asked: Time,
}

impl Bucket {
    fn begin(now: Time, share: Share, tenure: Tenure) -> Self {
        let permits = if tenure.is_takeover() || tenure.is_closed {
            0.0
        } else {
            share.most
        };
        Self {
            permits,
            filled: tenure.begins(),
            unused: share.in_window,
            denied: 0.0,
            asked: now,
        }
    }

    fn next_in(&self, now: Time, share: Share) -> Duration {
        let lacking = (1.0 - self.permits).max(0.0) / share.rate;
        self.filled.since(now) + Duration::from_secs_f64(lacking)
    }

    /// Takes what a node sent in the window before the rate was known.
    fn charge(&mut self, share: Share, sent_before: u32) {
        let sent = f64::from(sent_before) / share.shares;
        let beyond = (sent - self.unused).max(0.0);
        self.unused = (self.unused - sent).max(0.0);
        if beyond > 0.0 {
            let least = -share.rate * LONGEST_DEBT.as_secs_f64();
            self.permits = (self.permits.min(0.0) - beyond).max(least);
        }
    }

    fn fill(&mut self, now: Time, share: Share) {
        let filled = self.permits + now.since(self.filled).as_secs_f64() * share.rate;
        self.permits = filled.min(share.most);
        self.filled = self.filled.max(now);
        let halvings = now.since(self.asked).as_secs_f64() / DEMAND_HALVES.as_secs_f64();
        self.denied *= 0.5f64.powf(halvings);
        self.asked = now;
    }
}

/// Since when a lender of an upstream may fill its bucket: since the limit was learned and
/// the lender is settled.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tenure {
    pub learned: Time,
    pub lender_since: Time,
    /// Whether the upstream takes nothing: then nothing is there at the begin, either.
    pub is_closed: bool,
}

impl Tenure {
    /// A tenure of that rate.
    pub fn of(rate: RequestRate, learned: Time, lender_since: Time) -> Self {
        Self {
            learned,
            lender_since,
            is_closed: Share::is_closed(rate),
        }
    }

    /// Whether another node may have lent before, since the rate was learned.
    fn is_takeover(self) -> bool {
        self.learned < self.lender_since + SETTLED
    }

    fn begins(self) -> Time {
        self.learned.max(self.lender_since + SETTLED)
    }
}

/// The buckets of one node.
#[derive(Clone, Debug, Default)]
pub(super) struct Buckets(HashMap<UpstreamHash, Bucket>);

impl Buckets {
    /// Whether there is a permit now.
    pub fn has_one(&self, now: Time, upstream: UpstreamHash, share: Share, tenure: Tenure) -> bool {
        self.seen(now, upstream, share, tenure).permits >= 1.0
    }

    /// When there will be a permit.
    pub fn next_in(
        &self,
        now: Time,
        upstream: UpstreamHash,
        share: Share,
        tenure: Tenure,
    ) -> Duration {
        self.seen(now, upstream, share, tenure).next_in(now, share)
    }

    /// The bucket as it is now.
    fn seen(&self, now: Time, upstream: UpstreamHash, share: Share, tenure: Tenure) -> Bucket {
        let bucket = self.0.get(&upstream).copied();
        let mut bucket = bucket.unwrap_or_else(|| Bucket::begin(now, share, tenure));
        bucket.fill(now, share);
        bucket
    }

    /// Takes what a node sent in the window before the rate was known.
    pub fn charge(
        &mut self,
        now: Time,
        upstream: UpstreamHash,
        share: Share,
        tenure: Tenure,
        sent_before: u32,
    ) {
        let bucket = self.filled(now, upstream, share, tenure);
        bucket.charge(share, sent_before);
    }

    /// Lends as many permits as are wanted and there.
    pub fn lend(
        &mut self,
        now: Time,
        upstream: UpstreamHash,
        share: Share,
        tenure: Tenure,
        wanted: u32,
    ) -> Lent {
        let bucket = self.filled(now, upstream, share, tenure);
        let permits = wanted.min(bucket.permits.max(0.0) as u32);
        bucket.permits -= f64::from(permits);
        bucket.denied += f64::from(wanted - permits);
        Lent {
            permits,
            next_in: bucket.next_in(now, share),
            room_in: Duration::from_secs_f64(bucket.denied / share.rate),
        }
    }

    fn filled(
        &mut self,
        now: Time,
        upstream: UpstreamHash,
        share: Share,
        tenure: Tenure,
    ) -> &mut Bucket {
        let bucket = self.0.entry(upstream);
        let bucket = bucket.or_insert_with(|| Bucket::begin(now, share, tenure));
        bucket.fill(now, share);
        bucket
    }

    /// Forgets upstreams that this node does not lend for.
    pub fn retain(&mut self, keep: impl Fn(UpstreamHash) -> bool) {
        self.0.retain(|upstream, _| keep(*upstream));
    }
}
