//! Checks requests to upstreams that advertise a rate limit.

use super::{Checkers, Invariant};
use beamtray_catalog::{RequestRate, UpstreamId};
use beamtray_types::Time;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time within which nodes must respect a newly advertised rate.
const CONVERGENCE_TIME: Duration = Duration::from_secs(3);
/// Requests of a node count once it has known the rate for this long.
const MIN_KNOWN_FOR: Duration = Duration::from_millis(500);
/// Permitted requests as a multiple of the advertised rate.
const OVERAGE: f64 = 1.5;
/// Requests permitted in addition.
const SLACK: f64 = 5.0;

/// One run of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sender {
    /// Index of the node.
    pub node: usize,
    /// Run of its process.
    pub run: u64,
}

/// An upstream that advertises a rate limit.
#[derive(Clone, Debug)]
struct Limited {
    rate: RequestRate,
    named: Time,
    /// Time of the first such response, by sender.
    told: BTreeMap<Sender, Time>,
}

/// Advertised rates and recent arrivals, by upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimits {
    limited: BTreeMap<UpstreamId, Limited>,
    arrivals: BTreeMap<UpstreamId, VecDeque<(Time, Sender)>>,
}

impl Checkers {
    /// Records that an upstream advertises a rate. A higher rate replaces the previous one.
    pub fn rate_advertised(&mut self, at: Time, upstream: &UpstreamId, rate: RequestRate) {
        let limited = Limited {
            rate,
            named: at,
            told: BTreeMap::new(),
        };
        let all = &mut self.rate_limits.limited;
        let known = all.entry(upstream.clone()).or_insert(limited);
        if rate > known.rate {
            known.rate = rate;
        }
    }

    /// Records that an upstream no longer advertises a rate.
    pub fn rate_withdrawn(&mut self, upstream: &UpstreamId) {
        self.rate_limits.limited.remove(upstream);
    }

    /// Records that a node receives a response that advertises the rate.
    pub fn rate_reported(&mut self, at: Time, upstream: &UpstreamId, sender: Sender) {
        if let Some(limited) = self.rate_limits.limited.get_mut(upstream) {
            limited.told.entry(sender).or_insert(at);
        }
    }

    /// Records that a request reaches an upstream. Requests of nodes with a recent fault are
    /// not counted.
    pub fn arrived_rate_limited(
        &mut self,
        at: Time,
        upstream: &UpstreamId,
        sender: Sender,
        is_excused: impl Fn(Sender) -> bool,
    ) {
        let arrivals = self.rate_limits.arrivals.entry(upstream.clone());
        let arrivals = arrivals.or_default();
        arrivals.push_back((at, sender));
        while at.since(arrivals[0].0) > WINDOW {
            arrivals.pop_front();
        }
        let Some(limited) = self.rate_limits.limited.get(upstream) else {
            return;
        };
        if at.since(limited.named) < CONVERGENCE_TIME {
            return;
        }
        let counts = |sender: &Sender| {
            let told = limited.told.get(sender);
            told.is_some_and(|told| at.since(*told) >= MIN_KNOWN_FOR) && !is_excused(*sender)
        };
        let counted = arrivals.iter().filter(|(_, sender)| counts(sender));
        let count = counted.count();
        let allowed = limited.rate.per_second() * WINDOW.as_secs_f64() * OVERAGE + SLACK;
        if count as f64 > allowed {
            let rate = limited.rate;
            let text = format!("{upstream} takes {rate} a second and got {count} in 4 s");
            self.record_violation(Invariant::RateLimit, at, text);
        }
    }
}
