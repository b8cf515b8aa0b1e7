//! Penalties for upstreams that respond with failures.
//!
//! An upstream that fails fast looks idle and would get more requests than any other. Each
//! recent failure makes it count as slower when an upstream is selected among several. The
//! penalty decays within seconds, so that a recovered upstream soon gets requests again.

use crate::report::UpstreamHash;
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Time in which the weight of a failure halves.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Upper bound on the weight, so that the upstream is still tried when all others are full.
const MAX_FAILURES: f64 = 6.0;
/// Lower bound on the penalty per failure, in seconds; otherwise it is the expected duration of
/// the request.
const MIN_FAILURE_COST: f64 = 0.1;
/// Weight below which failures are dropped.
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

/// Recent failures of each upstream, as reported by any node.
#[derive(Clone, Debug, Default)]
pub(super) struct FailurePenalties {
    by_upstream: HashMap<UpstreamHash, FailureWeight>,
}

impl FailurePenalties {
    /// Records failures of an upstream.
    pub fn record(&mut self, now: Time, upstream: UpstreamHash, failures: u32) {
        self.by_upstream
            .retain(|_, failure| failure.weight(now) >= MIN_WEIGHT);
        let known = self.by_upstream.get(&upstream);
        let weight = known.map_or(0.0, |known| known.weight(now)) + f64::from(failures);
        self.by_upstream
            .insert(upstream, FailureWeight { weight, at: now });
    }

    /// Penalty in seconds that is added to an upstream's cost for a request that takes `work`
    /// seconds.
    pub fn penalty(&self, now: Time, upstream: UpstreamHash, work: f64) -> f64 {
        let failure = self.by_upstream.get(&upstream);
        let weight = failure.map_or(0.0, |failure| failure.weight(now));
        weight.min(MAX_FAILURES) * work.max(MIN_FAILURE_COST)
    }
}
