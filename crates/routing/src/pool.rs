//! Load balancing over the backends of a pool: power of two random choices by
//! requests in flight, slow start, and outlier ejection based on locally
//! observed failures with a limit on the ejected share.

use beamtray_types::{ServerName, Time};
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use std::time::Duration;

/// Consecutive failures after which a backend is ejected.
const EJECTION_CONSECUTIVE_FAILURES: u32 = 3;
/// Duration of the first ejection; doubles with each consecutive one.
const EJECTION_BASE: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Time over which a new or returning backend is ramped up to its full share of
/// requests.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share of requests at the beginning of slow start.
const SLOW_START_MIN_SHARE: f64 = 0.1;

#[derive(Clone, Debug)]
struct Backend {
    in_flight: u32,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Time,
    /// Start of slow start; `None` for backends present from the beginning.
    slow_start_from: Option<Time>,
}

/// Statistics of one ingress about the backends of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    backends: BTreeMap<ServerName, Backend>,
}

impl Pool {
    /// Selects one of `candidates`. Ejected backends are excluded only while at
    /// least half of the candidates remain: a fault that affects all health
    /// observations at once must not empty the pool.
    pub(crate) fn choose(
        &mut self,
        now: Time,
        candidates: &[ServerName],
        rng: &mut impl Rng,
    ) -> Option<ServerName> {
        let slow_start = !self.backends.is_empty();
        for candidate in candidates {
            self.backends
                .entry(candidate.clone())
                .or_insert_with(|| Backend::new(slow_start.then_some(now)));
        }
        let mut usable: Vec<&ServerName> = candidates
            .iter()
            .filter(|name| now >= self.backends[*name].ejected_until)
            .collect();
        if usable.len() * 2 < candidates.len() {
            usable = candidates.iter().collect();
        }
        let first = usable.get(rng.random_range(0..usable.len().max(1)))?;
        let second = usable.get(rng.random_range(0..usable.len().max(1)))?;
        let cost = |name: &ServerName| self.backends[name].cost(now);
        let chosen = if cost(second) < cost(first) {
            second
        } else {
            first
        };
        Some((*chosen).clone())
    }

    pub(crate) fn record_start(&mut self, server: &ServerName) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.in_flight += 1;
        }
    }

    pub(crate) fn record_result(&mut self, now: Time, server: &ServerName, failed: bool) {
        let Some(backend) = self.backends.get_mut(server) else {
            return;
        };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        if !failed {
            backend.consecutive_failures = 0;
            backend.ejections = 0;
            return;
        }
        backend.consecutive_failures += 1;
        if backend.consecutive_failures >= EJECTION_CONSECUTIVE_FAILURES {
            let span = EJECTION_BASE * 2u32.saturating_pow(backend.ejections.min(8));
            backend.ejected_until = now + span.min(EJECTION_MAX);
            backend.slow_start_from = Some(backend.ejected_until);
            backend.ejections += 1;
            backend.consecutive_failures = 0;
        }
    }
}

impl Backend {
    fn new(slow_start_from: Option<Time>) -> Self {
        Self {
            in_flight: 0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: Time::ZERO,
            slow_start_from,
        }
    }

    /// Returns the requests in flight, counting the next one, divided by the
    /// current slow-start share.
    fn cost(&self, now: Time) -> f64 {
        let share = self.slow_start_from.map_or(1.0, |from| {
            let elapsed_share = now.since(from).as_secs_f64() / SLOW_START.as_secs_f64();
            elapsed_share.clamp(SLOW_START_MIN_SHARE, 1.0)
        });
        (f64::from(self.in_flight) + 1.0) / share
    }
}
