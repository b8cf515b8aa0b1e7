//! Requests to upstreams that name the rate that they take.

use super::{Checkers, Invariant};
use beamtray_catalog::{RequestRate, UpstreamId};
use beamtray_types::Time;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long nodes may take to keep to a rate that is new.
const CONVERGENCE_TIME: Duration = Duration::from_secs(3);
/// How long a node has had such an answer when its requests count.
const MIN_KNOWN_FOR: Duration = Duration::from_millis(500);
/// Requests that an upstream may get, as a multiple of what it takes.
const OVERAGE: f64 = 1.5;
/// Requests beyond that.
const SLACK: f64 = 5.0;

/// One run of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sender {
    /// The node.
    pub node: usize,
    /// The run.
    pub run: u64,
}

/// One upstream that names a rate.
#[derive(Clone, Debug)]
struct Limited {
    rate: RequestRate,
    named: Time,
    /// Since when each sender has had such an answer.
    told: BTreeMap<Sender, Time>,
}

/// All upstreams: who sent them what of late, and what they name.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimits {
    limited: BTreeMap<UpstreamId, Limited>,
    arrivals: BTreeMap<UpstreamId, VecDeque<(Time, Sender)>>,
}

impl Checkers {
    /// An upstream names a rate. One that names a higher one than before takes that.
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

    /// It names none any more.
    pub fn rate_withdrawn(&mut self, upstream: &UpstreamId) {
        self.rate_limits.limited.remove(upstream);
    }

    /// An answer that names the rate comes to a node.
    pub fn rate_reported(&mut self, at: Time, upstream: &UpstreamId, sender: Sender) {
        if let Some(limited) = self.rate_limits.limited.get_mut(upstream) {
            limited.told.entry(sender).or_insert(at);
        }
    }

    /// A request of some node reaches an upstream. Nodes that were disturbed of late are
    /// excused.
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
