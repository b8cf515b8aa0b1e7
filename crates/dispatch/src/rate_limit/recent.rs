//! Number of requests that this node recently sent to each upstream.
//!
//! When an upstream starts to advertise a rate limit, requests sent shortly before count: it
//! still has to work them off.

use super::share::RATE_LIMIT_WINDOW;
use crate::report::UpstreamHash;
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

const BUCKETS_PER_WINDOW: usize = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Number of the newest bucket.
    newest: u64,
    sent: [u32; BUCKETS_PER_WINDOW],
}

impl Counts {
    /// Clears the buckets that have passed since the newest one.
    fn advance(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.newest);
        for offset in 1..=passed.min(BUCKETS_PER_WINDOW as u64) {
            self.sent[((self.newest + offset) % BUCKETS_PER_WINDOW as u64) as usize] = 0;
        }
        self.newest = self.newest.max(bucket);
    }
}

/// Requests to all upstreams within the window.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentSends(HashMap<UpstreamHash, Counts>);

impl RecentSends {
    /// Counts a request.
    pub fn record(&mut self, now: Time, upstream: UpstreamHash) {
        let counts = self.0.entry(upstream).or_default();
        counts.advance(bucket(now));
        counts.sent[(counts.newest % BUCKETS_PER_WINDOW as u64) as usize] += 1;
    }

    /// Number of requests to an upstream within the window.
    pub fn count(&self, now: Time, upstream: UpstreamHash) -> u32 {
        let counts = self.0.get(&upstream).copied();
        let mut counts = counts.unwrap_or_default();
        counts.advance(bucket(now));
        counts.sent.iter().sum()
    }

    /// Drops upstreams.
    pub fn retain(&mut self, keep: impl Fn(UpstreamHash) -> bool) {
        self.0.retain(|upstream, _| keep(*upstream));
    }
}

fn bucket(now: Time) -> u64 {
    let length: Duration = RATE_LIMIT_WINDOW / BUCKETS_PER_WINDOW as u32;
    now.0 / length.as_micros() as u64
}
