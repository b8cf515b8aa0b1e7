//! Choice of a back end where any may serve: two random choices by requests in
//! flight, slow start, and ejection on own evidence with a floor.

use beamtray_types::{ServerName, Time};
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use std::time::Duration;

/// Failures in a row that eject a back end.
const EJECTION_CONSECUTIVE_FAILURES: u32 = 3;
/// First ejection; doubles with each one after it.
const EJECTION_BASE: Duration = Duration::from_secs(1);
/// Longest ejection.
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Time over which a new or returned back end comes up to its full share.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share that a back end gets at the start of its slow start.
const SLOW_START_MIN_SHARE: f64 = 0.1;

#[derive(Clone, Debug)]
struct Backend {
    in_flight: u32,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Time,
    /// Start of its slow start; none for those there from the beginning.
    slow_start_from: Option<Time>,
}

/// What an ingress knows of the back ends it sends to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    backends: BTreeMap<ServerName, Backend>,
}

impl Pool {
    /// Chooses among `candidates`. Ejected ones are left out as long as at
    /// least half of the candidates remain: health evidence can be wrong for
    /// all at once, and an empty pool serves nobody.
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

    /// Requests in flight per share that it should take now.
    fn cost(&self, now: Time) -> f64 {
        let share = self.slow_start_from.map_or(1.0, |from| {
            let elapsed_share = now.since(from).as_secs_f64() / SLOW_START.as_secs_f64();
            elapsed_share.clamp(SLOW_START_MIN_SHARE, 1.0)
        });
        (f64::from(self.in_flight) + 1.0) / share
    }
}
