//! Retry budget: limits the requests that reach upstreams beyond the first attempt of each.
//!
//! The limit holds over all nodes without communication: each node spends retries in proportion
//! to its own requests, plus its share of the fixed allowance.
//!
//! Invariant: successive processes of one node together spend no more of the allowance in a
//! window than the node's share. A process does not know what the one before it has spent.
//! Without this rule, four routers that were restarted in turn within three seconds, while keys
//! had no holder, each started with a whole share and together exceeded the allowed number of
//! retries.

use beamtray_types::Time;
use std::time::Duration;

const BUCKETS_PER_WINDOW: usize = 10;
/// A retry is dropped once its whole bucket lies before the window, which takes one bucket
/// more. When it was dropped with the window's first bucket, it could be as little as nine
/// tenths of a window old, and a node that had spent all at once could spend it again within
/// the window.
const RETRY_BUCKETS: usize = BUCKETS_PER_WINDOW + 1;
/// Fraction of the limit that is spent, since other nodes' counts differ in time.
const SAFETY_FACTOR: f64 = 0.7;
/// Fraction of a node's allowance that a process spends in its first window. Together with what
/// the process before it may have spent this stays below the node's whole share, thanks to
/// [`SAFETY_FACTOR`].
const FIRST_WINDOW_SHARE: f64 = 0.4;

/// Retry limits of one service, over all nodes.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetConfig {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to the ratio.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts in the most recent buckets of time.
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
        let bucket = now.0 / bucket_micros(config);
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

    /// Takes back what was counted at `at`, if that is still recent.
    fn uncount(&mut self, config: &RetryBudgetConfig, at: Time, now: Time) {
        self.advance(config, now);
        let bucket = at.0 / bucket_micros(config);
        if self.bucket.saturating_sub(bucket) < LEN as u64 {
            let count = &mut self.counts[index::<LEN>(bucket)];
            *count = count.saturating_sub(1);
        }
    }

    fn sum(&mut self, config: &RetryBudgetConfig, now: Time) -> u32 {
        self.advance(config, now);
        self.counts.iter().sum()
    }
}

/// Length of a bucket in microseconds.
fn bucket_micros(config: &RetryBudgetConfig) -> u64 {
    (config.window.as_micros() as u64 / BUCKETS_PER_WINDOW as u64).max(1)
}

fn index<const LEN: usize>(bucket: u64) -> usize {
    (bucket % LEN as u64) as usize
}

/// Requests and retries of one service at one node.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: WindowedCounts<BUCKETS_PER_WINDOW>,
    retries: WindowedCounts<RETRY_BUCKETS>,
    /// When the first request arrived.
    first_request_at: Option<Time>,
}

impl RetryBudget {
    /// Counts a request from a client.
    pub fn record_request(&mut self, config: &RetryBudgetConfig, now: Time) {
        self.first_request_at.get_or_insert(now);
        self.requests.count(config, now);
    }

    /// Counts a retry that is sent.
    pub fn record_retry(&mut self, config: &RetryBudgetConfig, now: Time) {
        self.retries.count(config, now);
    }

    /// Takes back a retry that was sent at `sent` and reached no upstream.
    pub fn retract_retry(&mut self, config: &RetryBudgetConfig, sent: Time, now: Time) {
        self.retries.uncount(config, sent, now);
    }

    /// Whether one more retry is within this node's limit, if `nodes` nodes share the
    /// allowance.
    pub fn allows(&mut self, config: &RetryBudgetConfig, now: Time, nodes: usize) -> bool {
        let requests = f64::from(self.requests.sum(config, now));
        let retries = f64::from(self.retries.sum(config, now));
        let allowed = (config.ratio * requests + self.share(config, now, nodes)) * SAFETY_FACTOR;
        retries + 1.0 <= allowed
    }

    /// This process's share of the allowance.
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
