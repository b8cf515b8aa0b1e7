//! Bounds the arrivals at upstreams beyond the first of each request.
//!
//! The bound holds over all nodes without talking: each node spends its own
//! requests' share, and its part of the fixed allowance.

use beamtray_types::Time;
use std::time::Duration;

const BUCKETS: usize = 10;
/// Share of what is allowed that is spent: windows slide, buckets don't.
const PRUDENCE: f64 = 0.7;

/// What is allowed for one service, over all nodes.
#[derive(Clone, Copy, Debug)]
pub struct BudgetConfig {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top of that in each window.
    pub allowance: f64,
    /// The window.
    pub window: Duration,
}

/// Counts of one service at one node.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: [u32; BUCKETS],
    repeats: [u32; BUCKETS],
    bucket: u64,
}

impl RetryBudget {
    fn advance(&mut self, config: &BudgetConfig, now: Time) -> usize {
        let length = (config.window.as_micros() as u64 / BUCKETS as u64).max(1);
        let bucket = now.0 / length;
        let passed = bucket.saturating_sub(self.bucket).min(BUCKETS as u64);
        for step in 0..passed {
            let index = ((bucket - step) % BUCKETS as u64) as usize;
            self.requests[index] = 0;
            self.repeats[index] = 0;
        }
        self.bucket = self.bucket.max(bucket);
        (self.bucket % BUCKETS as u64) as usize
    }

    /// Counts a request that a client sent.
    pub fn request(&mut self, config: &BudgetConfig, now: Time) {
        let index = self.advance(config, now);
        self.requests[index] += 1;
    }

    /// Counts an arrival beyond a request's first.
    pub fn repeat(&mut self, config: &BudgetConfig, now: Time) {
        let index = self.advance(config, now);
        self.repeats[index] += 1;
    }

    /// Whether one more repeat is within this node's part, `nodes` sharing the
    /// allowance.
    pub fn allows(&mut self, config: &BudgetConfig, now: Time, nodes: usize) -> bool {
        self.advance(config, now);
        let requests: u32 = self.requests.iter().sum();
        let repeats: u32 = self.repeats.iter().sum();
        let share = config.allowance / nodes.max(1) as f64;
        let allowed = (config.ratio * f64::from(requests) + share) * PRUDENCE;
        f64::from(repeats) + 1.0 <= allowed
    }
}
