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
const MOST_FAILURES: f64 = 6.0;
/// Least seconds that a failure costs; else what such a request takes.
const LEAST_COST: f64 = 0.1;
/// Weight below which failures are forgotten.
const NEGLIGIBLE: f64 = 0.05;

#[derive(Clone, Copy, Debug)]
struct Fault {
    weight: f64,
    at: Time,
}

impl Fault {
    fn weight(&self, now: Time) -> f64 {
        let lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weight * 0.5_f64.powf(lives)
    }
}

/// Failures of upstreams of late, as far as any node told.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults {
    by_upstream: HashMap<UpstreamHash, Fault>,
}

impl Faults {
    /// Notes failures of an upstream.
    pub fn note(&mut self, now: Time, upstream: UpstreamHash, failures: u32) {
        self.by_upstream
            .retain(|_, fault| fault.weight(now) >= NEGLIGIBLE);
        let known = self.by_upstream.get(&upstream);
        let weight = known.map_or(0.0, |known| known.weight(now)) + f64::from(failures);
        self.by_upstream.insert(upstream, Fault { weight, at: now });
    }

    /// Seconds that an upstream counts slower for its failures, for a request that takes
    /// `work` seconds.
    pub fn cost(&self, now: Time, upstream: UpstreamHash, work: f64) -> f64 {
        let fault = self.by_upstream.get(&upstream);
        let weight = fault.map_or(0.0, |fault| fault.weight(now));
        weight.min(MOST_FAILURES) * work.max(LEAST_COST)
    }
}
