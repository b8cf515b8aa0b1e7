//! Bounds the arrivals at upstreams beyond the first of each request.
//!
//! The bound holds over all nodes without talking: each node spends its own
//! requests' share, and its part of the fixed allowance.
//!
//! Invariant: the processes of one node, one after the other, spend no more of the allowance
//! in a window than is the node's. A process does not know what the one before has spent.
//! Counter-case: four routers were stopped in turn within three seconds, while keys had no
//! holder; each began with a whole part, and together they repeated more than is allowed.

use beamtray_types::Time;
use std::time::Duration;

/// Buckets that a window is counted in.
const BUCKETS: usize = 10;
/// A repeat is forgotten when all of its bucket lies before the window: one that was forgotten
/// with the window's first bucket was as little as nine tenths of a window old, and a node that
/// spent all at once could spend it again within the window.
const RETRY_BUCKETS: usize = BUCKETS + 1;
/// Share of what is allowed that is spent: what other nodes count differs in time.
const SAFETY_FACTOR: f64 = 0.7;
/// Part of a node's allowance that a process spends in its first window. With what the one
/// before may have spent it stays below the whole, by [`SAFETY_FACTOR`].
const FIRST_WINDOW_SHARE: f64 = 0.4;

/// What is allowed for one service, over all nodes.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetConfig {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top of that in each window.
    pub allowance: f64,
    /// The window.
    pub window: Duration,
}

/// Counts of the last buckets of time.
#[derive(Clone, Debug)]
struct WindowedCounts<const LEN: usize> {
    counts: [u32; LEN],
    bucket: u64,
}

impl<const LEN: usize> Default for WindowedCounts<LEN> {
    fn default() -> Self {
        Self {
            counts: [0; LEN],
            bucket: 0,
        }
    }
}

impl<const LEN: usize> WindowedCounts<LEN> {
    fn advance(&mut self, config: &RetryBudgetConfig, now: Time) {
        let length = (config.window.as_micros() as u64 / BUCKETS as u64).max(1);
        let bucket = now.0 / length;
        let passed = bucket.saturating_sub(self.bucket).min(LEN as u64);
        for step in 0..passed {
            self.counts[index::<LEN>(bucket - step)] = 0;
        }
        self.bucket = self.bucket.max(bucket);
    }

    fn count(&mut self, config: &RetryBudgetConfig, now: Time) {
        self.advance(config, now);
        self.counts[index::<LEN>(self.bucket)] += 1;
    }

    fn sum(&mut self, config: &RetryBudgetConfig, now: Time) -> u32 {
        self.advance(config, now);
        self.counts.iter().sum()
    }
}

fn index<const LEN: usize>(bucket: u64) -> usize {
    (bucket % LEN as u64) as usize
}

/// Counts of one service at one node.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: WindowedCounts<BUCKETS>,
    retries: WindowedCounts<RETRY_BUCKETS>,
    /// When the first request came.
    first_request_at: Option<Time>,
}

impl RetryBudget {
    /// Counts a request that a client sent.
    pub fn record_request(&mut self, config: &RetryBudgetConfig, now: Time) {
        self.first_request_at.get_or_insert(now);
        self.requests.count(config, now);
    }

    /// Counts an arrival beyond a request's first.
    pub fn record_retry(&mut self, config: &RetryBudgetConfig, now: Time) {
        self.retries.count(config, now);
    }

    /// Whether one more repeat is within this node's part, `nodes` sharing the
    /// allowance.
    pub fn allows(&mut self, config: &RetryBudgetConfig, now: Time, nodes: usize) -> bool {
        let requests = f64::from(self.requests.sum(config, now));
        let retries = f64::from(self.retries.sum(config, now));
        let allowed = (config.ratio * requests + self.share(config, now, nodes)) * SAFETY_FACTOR;
        retries + 1.0 <= allowed
    }

    /// The part of the allowance that is this process's.
    fn share(&self, config: &RetryBudgetConfig, now: Time, nodes: usize) -> f64 {
        let whole = config.allowance / nodes.max(1) as f64;
        let first_request_at = self
            .first_request_at
            .filter(|first_request_at| now.since(*first_request_at) >= config.window);
        match first_request_at {
            Some(_) => whole,
            None => whole * FIRST_WINDOW_SHARE,
        }
    }
}
