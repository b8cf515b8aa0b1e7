//! Promises about many requests: repeats, leavers, recovery.

use super::{Checker, Disturbed, Promise, Request};
use crate::config::{
    CONTACT, KEYED, ORDER, POOL, PROBE, RETRY_ALLOWANCE, RETRY_RATIO, RETRY_WINDOW, service_of,
};
use crate::message::CallerEnd;
use beamtray_types::Time;
use std::time::Duration;

/// Share of the late requests that must be served, as one in so many.
const SERVED_ONE_IN: usize = 4;
/// How long a router may take to pass on that a caller left.
const CANCEL_PROPAGATION: Duration = Duration::from_millis(500);
/// Requests at work after that, one in so many, that are borne.
const UNFINISHED_ONE_IN: usize = 4;
/// Least number of them that says something.
const MIN_CANCELLED: usize = 4;

impl Checker<'_> {
    pub(super) fn check_budget(&mut self) {
        for service in [KEYED, POOL] {
            let of_service = |request: &&Request| service_of(&request.path) == service;
            let requests: Vec<&Request> = self.requests.values().filter(of_service).collect();
            let mut asked: Vec<Time> = requests.iter().filter_map(|one| one.asked).collect();
            let mut repeats: Vec<Time> = requests
                .iter()
                .flat_map(|one| one.arrived.iter().skip(1).map(|(at, _)| *at))
                .collect();
            asked.sort_unstable();
            repeats.sort_unstable();
            let mut worst: Option<(Time, usize, f64)> = None;
            for (index, end) in repeats.iter().enumerate() {
                let from = *end - RETRY_WINDOW;
                let first = repeats.partition_point(|at| *at < from);
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
                format!("{service}: repeats beyond their budget: {worst:?}")
            });
        }
    }

    pub(super) fn check_cancellations(&mut self) {
        let mut lasting = 0;
        let mut at_work = Vec::new();
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
            lasting += 1;
            let finished = request.finished.iter().map(|(at, _)| *at).max();
            if finished.is_none_or(|at| at > until) {
                at_work.push(id.clone());
            }
        }
        if lasting < MIN_CANCELLED {
            return;
        }
        let few = at_work.len() * UNFINISHED_ONE_IN <= lasting;
        self.verdict.test(Promise::Gone, few, Time::ZERO, || {
            format!("{} of {lasting} still at work, {at_work:?}", at_work.len())
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
                format!("{served} of {asked} served after the troubles")
            });
    }
}
