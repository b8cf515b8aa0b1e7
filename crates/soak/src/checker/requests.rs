//! Checks of single requests.

use super::{Checker, Disturbed, Promise, Request};
use crate::config::{CONTACT, DRAIN, PROBE, service_of};
use crate::message::CallerEnd;
use beamtray_types::Time;
use std::time::Duration;

/// A request that was not forwarded may be disconnected within this time.
const CUT_SLACK: Duration = Duration::from_millis(200);
/// Age of a request after which a disconnect is attributed to its deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1_400);

impl Checker<'_> {
    pub(super) fn check_requests(&mut self) {
        let requests = std::mem::take(&mut self.requests);
        for (id, request) in &requests {
            self.check_requested(id, request);
            self.check_executions(id, request);
            if let Some((at, end)) = &request.ended {
                self.check_outcome(id, request, *at, end);
            }
            self.check_drain(id, request);
        }
        self.requests = requests;
    }

    fn check_requested(&mut self, id: &str, request: &Request) {
        for begun in &request.begun {
            let asked = request.asked.is_some() && begun.path == request.path;
            self.verdict.test(Promise::Unasked, asked, begun.at, || {
                format!(
                    "{} executed {id} {}, which no caller sent",
                    begun.upstream, begun.path
                )
            });
            let service = service_of(&begun.path);
            let right = begun.upstream.starts_with(service);
            self.verdict.test(Promise::Route, right, begun.at, || {
                format!("{} runs {id} {}", begun.upstream, begun.path)
            });
        }
    }

    fn check_executions(&mut self, id: &str, request: &Request) {
        if request.repeatable || request.begun.is_empty() {
            return;
        }
        let at = request.begun[0].at;
        let runs = request.begun.len();
        self.verdict.test(Promise::Twice, runs <= 1, at, || {
            format!("{id} {} runs {runs} times", request.path)
        });
    }

    fn check_outcome(&mut self, id: &str, request: &Request, at: Time, end: &CallerEnd) {
        let Some(asked) = request.asked else { return };
        match end {
            CallerEnd::Answered {
                status,
                signed,
                sound,
            } => {
                if (200..300).contains(status) {
                    let whole = *signed && *sound && !request.begun.is_empty();
                    self.verdict.test(Promise::Mixed, whole, at, || {
                        format!("{id} got {status}, signed {signed}, sound {sound}")
                    });
                }
                if matches!(status, 429 | 503 | 408 | 421) && !request.repeatable {
                    let kept = request.begun.is_empty();
                    self.verdict.test(Promise::Refused, kept, at, || {
                        format!("{id} got {status} and has run")
                    });
                }
                self.check_probe(id, request, asked, *status);
            }
            CallerEnd::Disconnected
            | CallerEnd::NotSent
            | CallerEnd::Cancelled
            | CallerEnd::TimedOut => {}
        }
        let is_cut = *end == CallerEnd::Disconnected;
        self.check_planned_stop(id, request, asked, at, is_cut);
        self.check_undisturbed_disconnect(id, request, asked, at, is_cut);
    }

    /// Checks a request at an undisturbed router: once the request was forwarded, its connection
    /// must not be closed without a response.
    fn check_undisturbed_disconnect(
        &mut self,
        id: &str,
        request: &Request,
        asked: Time,
        at: Time,
        cut: bool,
    ) {
        let upstreams = self.disturbed(asked - CONTACT, at, |whom| whom == Disturbed::Upstream);
        let is_calm = self.is_connected(request.node, asked, at) && !upstreams;
        if !is_calm || request.arrived.is_empty() || at.since(asked) >= DEADLINE_MARGIN {
            return;
        }
        self.verdict.test(Promise::Lost, !cut, at, || {
            format!(
                "router {} cut {id} {} while nothing disturbed it",
                request.node, request.path
            )
        });
    }

    fn check_probe(&mut self, id: &str, request: &Request, asked: Time, status: u16) {
        let Some(rest) = request.path.strip_prefix(PROBE) else {
            return;
        };
        let version = rest
            .split('/')
            .next()
            .and_then(|text| text.parse::<u64>().ok());
        let Some(version) = version else { return };
        let Some(in_force) = self.version_in_force(request.node, asked) else {
            return;
        };
        if version > in_force {
            return;
        }
        let there = version == in_force;
        let holds = if there { status != 404 } else { status == 404 };
        self.verdict.test(Promise::Config, holds, asked, || {
            format!(
                "router {} answers {id} {} with {status}, {in_force} is in force",
                request.node, request.path
            )
        });
    }

    /// Checks a request that was in progress during a planned stop of its router.
    fn check_planned_stop(
        &mut self,
        id: &str,
        request: &Request,
        asked: Time,
        at: Time,
        cut: bool,
    ) {
        let stops = &self.history.stops;
        let stopped = stops
            .iter()
            .any(|stop| stop.node == request.node && at >= stop.at && asked <= stop.until);
        let unplanned = self.disturbed(asked - CONTACT, at, |whom| {
            matches!(whom, Disturbed::Store | Disturbed::Upstream)
                || whom == Disturbed::Router(request.node)
        });
        if !stopped || unplanned || at.since(asked) >= DEADLINE_MARGIN {
            return;
        }
        let forwarded = !request.arrived.is_empty();
        let late = at.since(asked) > CUT_SLACK;
        self.verdict
            .test(Promise::Lost, !cut || !forwarded && !late, at, || {
                format!(
                    "router {} cut {id} {} at its stop",
                    request.node, request.path
                )
            });
    }

    fn check_drain(&mut self, id: &str, request: &Request) {
        let Some(asked) = request.asked else { return };
        for (at, upstream) in &request.arrived {
            let Some(left) = self.left.get(upstream) else {
                continue;
            };
            let was_connected = self.is_connected(request.node, *left, *at);
            let upstream_faulted =
                self.disturbed(asked - CONTACT, *at, |whom| whom == Disturbed::Upstream);
            if !was_connected || upstream_faulted {
                continue;
            }
            let late = at.since(*left);
            self.verdict.test(Promise::Drain, late <= DRAIN, *at, || {
                let millis = late.as_millis();
                format!("{upstream} gets {id} {millis} ms after it left")
            });
        }
    }
}
