//! Upstreams that answer with failures.
//!
//! One that fails fast looks idle, and would get more requests than any other. Each
//! failure of late makes it count as slower, for a choice among several; it fades within
//! seconds, so that one that has recovered soon gets requests again.

use crate::report::UpstreamHash;
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Time in which a failure's weight halves.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Most failures that count, so that an upstream is still tried where all others are
/// full.
const MAX_FAILURES: f64 = 6.0;
/// Least seconds that a failure costs; else what such a request takes.
const MIN_FAILURE_COST: f64 = 0.1;
/// Weight below which failures are forgotten.
const MIN_WEIGHT: f64 = 0.05;

#[derive(Clone, Copy, Debug)]
struct FailureWeight {
    weight: f64,
    at: Time,
}

impl FailureWeight {
    fn weight(&self, now: Time) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weight * 0.5_f64.powf(half_lives)
    }
}

/// Failures of upstreams of late, as far as any node told.
#[derive(Clone, Debug, Default)]
pub(super) struct FailurePenalties {
    by_upstream: HashMap<UpstreamHash, FailureWeight>,
}

impl FailurePenalties {
    /// Notes failures of an upstream.
    pub fn record(&mut self, now: Time, upstream: UpstreamHash, failures: u32) {
        self.by_upstream
            .retain(|_, failure| failure.weight(now) >= MIN_WEIGHT);
        let known = self.by_upstream.get(&upstream);
        let weight = known.map_or(0.0, |known| known.weight(now)) + f64::from(failures);
        self.by_upstream
            .insert(upstream, FailureWeight { weight, at: now });
    }

    /// Seconds that an upstream counts slower for its failures, for a request that takes
    /// `work` seconds.
    pub fn penalty(&self, now: Time, upstream: UpstreamHash, work: f64) -> f64 {
        let failure = self.by_upstream.get(&upstream);
        let weight = failure.map_or(0.0, |failure| failure.weight(now));
        weight.min(MAX_FAILURES) * work.max(MIN_FAILURE_COST)
    }
}
