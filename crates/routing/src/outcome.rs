//! Handling of attempt outcomes at the ingress: answer, retry or fail.

use crate::budget::RetryBudget;
use crate::ingress::{Ingress, REROUTE_DELAY};
use crate::message::{Answer, AttemptId, NotRunReason, RequestId, RunState, UpstreamOutcome};
use crate::pending::Stage;
use crate::router::{RouterOutput, RoutingView};
use beamtray_types::Time;
use std::time::Duration;

/// Maximum number of doublings of the reroute delay.
const MAX_REROUTE_DOUBLINGS: u32 = 3;

/// Delay before a retry when the upstream was unreachable, or when a refusal
/// named no delay.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl Ingress {
    pub(crate) fn on_result(
        &mut self,
        now: Time,
        view: &RoutingView,
        attempt: AttemptId,
        outcome: UpstreamOutcome,
        outputs: &mut Vec<RouterOutput>,
    ) {
        if attempt.ingress != view.me {
            return;
        }
        // Abandoned attempts are not in the table; their late outcomes are
        // dropped.
        let Some(id) = self.attempts.remove(&attempt.number) else {
            return;
        };
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        if let (Stage::Sent(current), Some(pool)) =
            (&pending.stage, self.pools.get_mut(&pending.request.service))
        {
            let failed =
                !matches!(outcome, UpstreamOutcome::Answered(ref answer) if answer.status < 500);
            pool.record_result(now, &current.server, failed);
        }
        match outcome {
            UpstreamOutcome::Answered(answer) => {
                self.remove(id);
                outputs.push(RouterOutput::Answer {
                    request: id,
                    answer: Answer {
                        status: answer.status,
                        headers: answer.headers,
                        body: answer.body,
                        run_state: RunState::Complete,
                        retry_after: None,
                    },
                });
            }
            UpstreamOutcome::NotRun {
                reason,
                retry_after_micros,
            } => {
                let after = retry_after_micros.map(Duration::from_micros);
                self.on_not_run(now, view, id, reason, after, outputs);
            }
            UpstreamOutcome::Lost { cause } => self.on_lost(now, view, id, &cause, outputs),
        }
    }

    fn on_not_run(
        &mut self,
        now: Time,
        view: &RoutingView,
        id: RequestId,
        reason: NotRunReason,
        after: Option<Duration>,
        outputs: &mut Vec<RouterOutput>,
    ) {
        match reason {
            NotRunReason::NotOwner | NotRunReason::NotGate => {
                let delay = self.reroute_delay(id);
                self.retry(now, view, id, delay, outputs);
            }
            NotRunReason::NotConnected => self.retry(now, view, id, RETRY_DELAY, outputs),
            NotRunReason::Shed => {
                let delay = after.unwrap_or(RETRY_DELAY);
                if self.withdraw_retry(id) {
                    return self.retry(now, view, id, delay, outputs);
                }
                let reason = "the upstream is over its limit";
                self.fail(id, 503, reason, Some(delay), outputs);
            }
            NotRunReason::QueueFull => {
                let after = after.or(Some(RETRY_DELAY));
                self.fail(id, 503, "the queue is full", after, outputs);
            }
            NotRunReason::Expired => {
                let reason = "the deadline passed before the request was sent";
                self.fail(id, 504, reason, Some(RETRY_DELAY), outputs);
            }
        }
    }

    /// Returns a delay that doubles with each refusal. A new view ends the
    /// delay early; without one a retry is likely to be refused again.
    fn reroute_delay(&mut self, id: RequestId) -> Duration {
        let Some(pending) = self.pending.get_mut(&id) else {
            return REROUTE_DELAY;
        };
        let doublings = pending.reroutes.min(MAX_REROUTE_DOUBLINGS);
        pending.reroutes += 1;
        REROUTE_DELAY * 2u32.pow(doublings)
    }

    pub(crate) fn on_lost(
        &mut self,
        now: Time,
        view: &RoutingView,
        id: RequestId,
        cause: &str,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let track_unknown_outcomes = self.track_unknown_outcomes;
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.may_have_run |= track_unknown_outcomes;
        let repeatable = pending.repeatable || !track_unknown_outcomes;
        if repeatable && self.withdraw_retry(id) {
            return self.retry(now, view, id, Duration::ZERO, outputs);
        }
        let reason = format!("no whole answer: {cause}");
        self.fail(id, 502, &reason, None, outputs);
    }

    /// Returns a request to the waiting stage, or fails it if its deadline
    /// comes before the retry.
    fn retry(
        &mut self,
        now: Time,
        view: &RoutingView,
        id: RequestId,
        delay: Duration,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let name = pending.request.service.clone();
        if now + delay >= pending.deadline {
            let reason = "the deadline comes before the next try";
            return self.fail(id, 504, reason, Some(delay), outputs);
        }
        if matches!(pending.stage, Stage::Sent(_)) {
            *self.waiting.entry(name.clone()).or_default() += 1;
        }
        pending.stage = Stage::Waiting {
            until: now + delay,
            view: view.state.applied.0,
        };
        let Some(service) = view.state.declaration.service(&name) else {
            return self.fail(id, 404, "the service is no longer declared", None, outputs);
        };
        if delay.is_zero() {
            return self.route(now, view, id, outputs);
        }
        self.wait_for_route(now, view, service, id, delay, outputs);
    }

    fn withdraw_retry(&mut self, id: RequestId) -> bool {
        let Some(pending) = self.pending.get(&id) else {
            return false;
        };
        self.budgets
            .get_mut(&pending.request.service)
            .is_some_and(RetryBudget::withdraw)
    }

    /// Sends the final answer for a request that received none from an
    /// upstream.
    pub(crate) fn fail(
        &mut self,
        id: RequestId,
        status: u16,
        reason: &str,
        after: Option<Duration>,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let Some(pending) = self.remove(id) else {
            return;
        };
        let out = matches!(pending.stage, Stage::Sent(ref attempt)
            if self.attempts.remove(&attempt.id.number).is_some());
        let may_have_run = pending.may_have_run || (out && self.track_unknown_outcomes);
        let run_state = if may_have_run {
            RunState::Unknown
        } else {
            RunState::NotRun
        };
        // With an unknown outcome, a retry delay must not invite the caller to
        // repeat a request that is not repeatable.
        let after = after.filter(|_| run_state == RunState::NotRun || pending.repeatable);
        outputs.push(RouterOutput::Answer {
            request: id,
            answer: Answer::failure(status, run_state, reason, after),
        });
    }
}
