//! Token buckets from which a node issues permits.
//!
//! Invariant: in any period, the permits that all issuers of a subject issue are at most the sum of
//! their shares over that time and of what their buckets hold at once. A bucket that replaces
//! another one starts empty, so nothing is issued twice.
//!
//! Requests that nodes sent before they knew of the limit are worked off first, as far as they
//! exceed the share, and for at most [`MAX_DEBT`]: the upstream has them in its queue, which
//! would not shrink at the full rate. If it got fewer requests than it accepts, nothing is held
//! back.
//!
//! The invariant does not hold if two nodes disagree about the issuers for longer than
//! [`SETTLE_TIME`], or if the limit falls: permits issued at the higher rate may still be used for
//! their lifetime.

use beamtray_types::Time;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// How long a node has been an issuer before its bucket fills: by then the previous issuer has
/// learned that it no longer is one.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Upper bound on the time to work off requests sent before the limit was known, at the
/// bucket's rate.
const MAX_DEBT: Duration = Duration::from_secs(2);
/// Time in which the count of denied permits halves.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(1);

/// One issuer's share of a limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Share {
    /// Permits per second; above zero.
    pub rate: f64,
    /// Maximum number of permits in the bucket.
    pub capacity: f64,
    /// Number of requests of this share that are accepted in the period for which nodes report
    /// what they sent before they knew of the limit.
    pub in_window: f64,
    /// Number of shares that the limit is divided into.
    pub shares: f64,
}

/// Result of a permit request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct IssuedPermits {
    pub permits: u32,
    /// Time until there will be a permit again.
    pub next_in: Duration,
    /// Time until there would have been enough for all that were recently denied.
    pub room_in: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    permits: f64,
    filled_at: Time,
    /// How many more requests would have been accepted in the window before the limit was known.
    unused: f64,
    /// Number of permits that were recently denied.
    denied: f64,
    updated_at: Time,
}

impl Bucket {
    fn new(now: Time, share: Share, tenure: Tenure) -> Self {
        let permits = if tenure.is_takeover() || tenure.is_closed {
            0.0
        } else {
            share.capacity
        };
        Self {
            permits,
            filled_at: tenure.starts(),
            unused: share.in_window,
            denied: 0.0,
            updated_at: now,
        }
    }

    fn next_in(&self, now: Time, share: Share) -> Duration {
        let lacking = (1.0 - self.permits).max(0.0) / share.rate;
        self.filled_at.since(now) + Duration::from_secs_f64(lacking)
    }

    /// Charges the bucket for requests that a node sent in the window before the limit was
    /// known.
    fn charge(&mut self, share: Share, sent_before: u32) {
        let sent = f64::from(sent_before) / share.shares;
        let excess = (sent - self.unused).max(0.0);
        self.unused = (self.unused - sent).max(0.0);
        if excess > 0.0 {
            let least = -share.rate * MAX_DEBT.as_secs_f64();
            self.permits = (self.permits.min(0.0) - excess).max(least);
        }
    }

    fn fill(&mut self, now: Time, share: Share) {
        let filled = self.permits + now.since(self.filled_at).as_secs_f64() * share.rate;
        self.permits = filled.min(share.capacity);
        self.filled_at = self.filled_at.max(now);
        let half_lives = now.since(self.updated_at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.denied *= 0.5f64.powf(half_lives);
        self.updated_at = now;
    }
}

/// Determines from when an issuer may fill its bucket: once the limit is known and the issuer has
/// been one for [`SETTLE_TIME`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tenure {
    pub learned: Time,
    pub issuer_since: Time,
    /// Whether nothing is accepted; then the bucket starts empty too.
    pub is_closed: bool,
}

impl Tenure {
    /// Whether another node may have issued permits since the limit was learned.
    fn is_takeover(self) -> bool {
        self.learned < self.issuer_since + SETTLE_TIME
    }

    fn starts(self) -> Time {
        self.learned.max(self.issuer_since + SETTLE_TIME)
    }
}

/// The buckets of one node, by the subject of their limit.
#[derive(Clone, Debug)]
pub(crate) struct Buckets<Subject>(HashMap<Subject, Bucket>);

impl<Subject> Default for Buckets<Subject> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<Subject: Copy + Eq + Hash> Buckets<Subject> {
    /// Whether there is a permit now.
    pub fn has_one(&self, now: Time, subject: Subject, share: Share, tenure: Tenure) -> bool {
        self.snapshot(now, subject, share, tenure).permits >= 1.0
    }

    /// Time until there will be a permit.
    pub fn next_in(&self, now: Time, subject: Subject, share: Share, tenure: Tenure) -> Duration {
        self.snapshot(now, subject, share, tenure)
            .next_in(now, share)
    }

    /// The bucket as of now.
    fn snapshot(&self, now: Time, subject: Subject, share: Share, tenure: Tenure) -> Bucket {
        let bucket = self.0.get(&subject).copied();
        let mut bucket = bucket.unwrap_or_else(|| Bucket::new(now, share, tenure));
        bucket.fill(now, share);
        bucket
    }

    /// Charges the bucket for requests that a node sent in the window before the limit was
    /// known.
    pub fn charge(
        &mut self,
        now: Time,
        subject: Subject,
        share: Share,
        tenure: Tenure,
        sent_before: u32,
    ) {
        let bucket = self.filled(now, subject, share, tenure);
        bucket.charge(share, sent_before);
    }

    /// Issues as many of the wanted permits as are available.
    pub fn issue(
        &mut self,
        now: Time,
        subject: Subject,
        share: Share,
        tenure: Tenure,
        wanted: u32,
    ) -> IssuedPermits {
        let bucket = self.filled(now, subject, share, tenure);
        let permits = wanted.min(bucket.permits.max(0.0) as u32);
        bucket.permits -= f64::from(permits);
        bucket.denied += f64::from(wanted - permits);
        IssuedPermits {
            permits,
            next_in: bucket.next_in(now, share),
            room_in: Duration::from_secs_f64(bucket.denied / share.rate),
        }
    }

    fn filled(&mut self, now: Time, subject: Subject, share: Share, tenure: Tenure) -> &mut Bucket {
        let bucket = self.0.entry(subject);
        let bucket = bucket.or_insert_with(|| Bucket::new(now, share, tenure));
        bucket.fill(now, share);
        bucket
    }

    /// Drops subjects that this node does not issue for.
    pub fn retain(&mut self, keep: impl Fn(Subject) -> bool) {
        self.0.retain(|subject, _| keep(*subject));
    }
}
