//! Checks that upstreams receive no more than the rate limit they announce.

use super::{Checker, Disturbed, NamedRate, Promise};
use crate::config::CONTACT;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests of a router count only this long after it received a response with the limit.
const RATE_KNOWN_FOR: Duration = Duration::from_millis(500);
/// Requests that an upstream may receive, as a multiple of its limit.
const OVERAGE: f64 = 1.5;
/// Further requests allowed in each window.
const SLACK: f64 = 5.0;

/// An interval in which an upstream announced a rate limit.
struct RateWindow {
    upstream: String,
    rate: f64,
    from: Time,
    until: Time,
}

/// The arrival of a request at an upstream, and the end of its execution there.
struct Arrival {
    at: Time,
    node: usize,
    finished: Option<Time>,
}

impl Checker<'_> {
    pub(super) fn check_rates(&mut self) {
        for need in self.rate_windows() {
            let arrivals = self.arrivals(&need.upstream);
            self.check_rate_window(&need, &arrivals);
        }
    }

    fn rate_windows(&self) -> Vec<RateWindow> {
        let begun = self.named.iter().enumerate();
        let begun = begun.filter_map(|(index, named)| Some((index, named, named.rate_milli?)));
        begun
            .map(|(index, named, rate_milli)| {
                let is_next = |later: &&NamedRate| later.upstream == named.upstream;
                let next = self.named[index + 1..].iter().find(is_next);
                RateWindow {
                    upstream: named.upstream.clone(),
                    rate: f64::from(rate_milli) / 1e3,
                    from: named.at,
                    until: next.map_or(self.history.recovered, |next| next.at),
                }
            })
            .collect()
    }

    fn arrivals(&self, upstream: &str) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for request in self.requests.values() {
            let came = request.arrived.iter().filter(|(_, at)| at == upstream);
            let finished = request.finished.iter().find(|(_, at)| at == upstream);
            arrivals.extend(came.map(|(at, _)| Arrival {
                at: *at,
                node: request.node,
                finished: finished.map(|(at, _)| *at),
            }));
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    fn check_rate_window(&mut self, need: &RateWindow, arrivals: &[Arrival]) {
        let mut told: BTreeMap<usize, Time> = BTreeMap::new();
        for arrival in arrivals {
            let answered = arrival.finished.filter(|at| *at >= need.from);
            if let Some(at) = answered {
                let first = told.entry(arrival.node).or_insert(at);
                *first = at.min(*first);
            }
        }
        let last = arrivals.iter().map(|arrival| arrival.at);
        let ends = last.filter(|at| *at >= need.from + CONTACT && *at <= need.until);
        let allowed = need.rate * WINDOW.as_secs_f64() * OVERAGE + SLACK;
        let known_from = told.values().min().copied();
        let mut most: Option<(Time, usize)> = None;
        for end in ends {
            let counts = |node: usize| {
                let told = told.get(&node);
                told.is_some_and(|told| *told + RATE_KNOWN_FOR <= end) && !self.had_fault(node, end)
            };
            let within = arrivals
                .iter()
                .filter(|one| one.at + WINDOW > end && one.at <= end);
            let counted: Vec<&Arrival> = within.filter(|one| counts(one.node)).collect();
            // Routers cannot take back requests sent before the first response with the limit.
            let before = counted.iter().filter(|one| Some(one.at) < known_from);
            let before = before.count();
            if before as f64 > allowed {
                continue;
            }
            let count = counted.len();
            if most.is_none_or(|(_, most)| count > most) {
                most = Some((end, count));
            }
        }
        let Some((at, count)) = most else { return };
        self.verdict
            .test(Promise::Limit, count as f64 <= allowed, at, || {
                format!(
                    "{} announced {} requests/s and received {count} in 4 s, allowed {allowed}",
                    need.upstream, need.rate
                )
            });
    }

    /// Whether a router was recently killed, stopped, suspended or cut off, or the link to an
    /// upstream had a fault.
    fn had_fault(&self, node: usize, until: Time) -> bool {
        let from = until - WINDOW - CONTACT;
        let disturbs = |whom: Disturbed| matches!(whom, Disturbed::Router(other) if other == node);
        let is_stopped = self
            .history
            .stops
            .iter()
            .any(|stop| stop.node == node && stop.at <= until && from <= stop.until);
        is_stopped
            || self.disturbed(from, until, disturbs)
            || self.disturbed(from, until, |whom| whom == Disturbed::Upstream)
    }
}
