//! Checks over many requests: retry budget, cancelled requests, recovery.

use super::{Checker, Disturbed, Promise, Request};
use crate::config::{
    CONTACT, KEYED, ORDER, POOL, PROBE, RETRY_ALLOWANCE, RETRY_RATIO, RETRY_WINDOW, service_of,
};
use crate::message::CallerEnd;
use beamtray_types::Time;
use std::time::Duration;

/// One in this many requests after the recovery must be served.
const SERVED_ONE_IN: usize = 4;
/// How long a router may take to propagate a cancellation.
const CANCEL_PROPAGATION: Duration = Duration::from_millis(500);
/// One in this many cancelled requests may still be executing after that time.
const UNFINISHED_ONE_IN: usize = 4;
/// Minimum number of cancelled requests for a meaningful check.
const MIN_CANCELLED: usize = 4;

impl Checker<'_> {
    pub(super) fn check_budget(&mut self) {
        for service in [KEYED, POOL] {
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
        let mut asked = 0;
        let mut served = 0;
        for request in late {
            asked += 1;
            let answered = matches!(
                request.ended,
                Some((
                    _,
                    CallerEnd::Answered {
                        status: 200..=299,
                        ..
                    }
                ))
            );
            served += usize::from(answered);
        }
        if asked == 0 {
            return;
        }
        let holds = served * SERVED_ONE_IN >= asked;
        self.verdict
            .test(Promise::Recover, holds, self.history.recovered, || {
                format!("{served} of {asked} requests served after the recovery")
            });
    }
}
