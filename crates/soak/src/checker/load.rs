//! Checks over many requests: retry budget, cancelled requests, recovery.

use super::{Checker, Disturbed, Promise, Request};
use crate::config::{
    CONTACT, KEYED, LOOKUP, ORDER, POOL, PROBE, RETRY_ALLOWANCE, RETRY_RATIO, RETRY_WINDOW,
    service_of,
};
use crate::message::CallerEnd;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// One in this many requests after the recovery must be served.
const SERVED_ONE_IN: usize = 4;
/// Minimum number of requests for a service to be judged by itself: it must be served a quarter
/// as often as all.
const MIN_REQUESTS_OF_SERVICE: usize = 40;
/// How long a router may take to propagate a cancellation.
const CANCEL_PROPAGATION: Duration = Duration::from_millis(500);
/// One in this many cancelled requests may still be executing after that time.
const UNFINISHED_ONE_IN: usize = 4;
/// Minimum number of cancelled requests for a meaningful check.
const MIN_CANCELLED: usize = 4;

impl Checker<'_> {
    pub(super) fn check_budget(&mut self) {
        for service in [KEYED, POOL, LOOKUP] {
            let of_service = |request: &&Request| service_of(&request.path) == service;
            let requests: Vec<&Request> = self.requests.values().filter(of_service).collect();
            let mut asked: Vec<Time> = requests.iter().filter_map(|one| one.asked).collect();
            let mut retries: Vec<Time> = requests
                .iter()
                .flat_map(|one| one.arrived.iter().skip(1).map(|(at, _)| *at))
                .collect();
            asked.sort_unstable();
            retries.sort_unstable();
            let mut worst: Option<(Time, usize, f64)> = None;
            for (index, end) in retries.iter().enumerate() {
                let from = *end - RETRY_WINDOW;
                let first = retries.partition_point(|at| *at < from);
                let count = index + 1 - first;
                let begin = asked.partition_point(|at| *at < from);
                let until = asked.partition_point(|at| *at <= *end);
                let allowed = RETRY_RATIO * (until - begin) as f64 + RETRY_ALLOWANCE;
                if count as f64 > allowed {
                    worst = Some((*end, count, allowed));
                }
            }
            let at = worst.map_or(Time::ZERO, |(at, _, _)| at);
            self.verdict.test(Promise::Budget, worst.is_none(), at, || {
                format!("{service}: retries exceed their budget: {worst:?}")
            });
        }
    }

    pub(super) fn check_cancellations(&mut self) {
        let mut cancelled = 0;
        let mut executing = Vec::new();
        for (id, request) in &self.requests {
            let Some((left, CallerEnd::Cancelled)) = &request.ended else {
                continue;
            };
            let Some(begun) = request.begun.first() else {
                continue;
            };
            let until = *left + CANCEL_PROPAGATION;
            let upstream_faulted =
                self.disturbed(*left - CONTACT, until, |whom| whom == Disturbed::Upstream);
            let was_connected = self.is_connected(request.node, *left, until);
            if begun.at > *left
                || upstream_faulted
                || !was_connected
                || request.path.starts_with(ORDER)
            {
                continue;
            }
            cancelled += 1;
            let finished = request.finished.iter().map(|(at, _)| *at).max();
            if finished.is_none_or(|at| at > until) {
                executing.push(id.clone());
            }
        }
        if cancelled < MIN_CANCELLED {
            return;
        }
        let few = executing.len() * UNFINISHED_ONE_IN <= cancelled;
        self.verdict.test(Promise::Gone, few, Time::ZERO, || {
            format!(
                "{} of {cancelled} cancelled requests still executing: {executing:?}",
                executing.len()
            )
        });
    }

    pub(super) fn check_recovery(&mut self) {
        let late = self.requests.values().filter(|request| {
            let asked = request
                .asked
                .is_some_and(|asked| asked >= self.history.recovered);
            asked && !request.path.starts_with(PROBE)
        });
        let mut all = Served::default();
        let mut by_service = BTreeMap::<&str, Served>::new();
        for request in late {
            all.add(request);
            let service = service_of(&request.path);
            by_service.entry(service).or_default().add(request);
        }
        if all.asked == 0 {
            return;
        }
        let at = self.history.recovered;
        let holds = all.served * SERVED_ONE_IN >= all.asked;
        self.verdict.test(Promise::Recover, holds, at, || {
            format!("{all} served after the recovery")
        });
        for (service, one) in by_service {
            let holds = one.served * SERVED_ONE_IN * all.asked >= all.served * one.asked;
            let judged = one.asked >= MIN_REQUESTS_OF_SERVICE;
            self.verdict
                .test(Promise::Recover, holds || !judged, at, || {
                    format!("{service}: {one} served after the recovery, of all {all}")
                });
        }
    }
}

/// How many requests were sent, and how many of them served.
#[derive(Clone, Copy, Default)]
struct Served {
    asked: usize,
    served: usize,
}

impl Served {
    fn add(&mut self, request: &Request) {
        let end = request.ended.as_ref().map(|(_, end)| end);
        let is_served = matches!(
            end,
            Some(CallerEnd::Answered {
                status: 200..=299,
                ..
            })
        );
        self.asked += 1;
        self.served += usize::from(is_served);
    }
}

impl fmt::Display for Served {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {} requests", self.served, self.asked)
    }
}
