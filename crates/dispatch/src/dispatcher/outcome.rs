//! Starts attempts and handles their outcomes.

use super::choice::rounds;
use super::quotas::QuotaState;
use super::slots::SlotState;
use super::{Attempt, Denial, Dispatcher, ProbeTarget, Request};
use crate::fingerprint::Fingerprint;
use crate::quarantine::{AttemptHash, Quarantine, SuspectAttempt, TrialOutcome};
use crate::report::UpstreamHash;
use crate::request::{
    AttemptOutcome, ConcludedRequest, Forward, NotExecuted, RefusalReason, Ticket, UnknownCause,
};
use beamtray_catalog::Registration;
use beamtray_types::Time;
use std::time::Duration;

/// Delay before a holder that rejected a key is tried again under the same assignment.
const DENIAL_BACKOFF: Duration = Duration::from_millis(120);
/// Delay before an upstream that reported to be at capacity is tried again.
const FULL_BACKOFF: Duration = Duration::from_millis(30);
/// Delay after the first failure; doubles with each further one.
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_millis(150);
/// Minimum time between two probes of an upstream that leaves requests unanswered. A probe
/// opens a connection, which takes one of the upstream's slots for a moment, and an upstream
/// that is merely overloaded has many unanswered requests.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound on the delay after failures.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(3);

impl Dispatcher {
    pub(super) fn forward(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: &mut Request,
        registration: &Registration,
        permit: Option<Fingerprint>,
    ) -> Forward {
        let record = &registration.record;
        let hash = UpstreamHash::of(&record.id);
        self.cold_starts.record_send(now, hash);
        self.limits.record_send(now, hash);
        let occupied = self.occupancy.total(hash);
        self.occupancy.begin(hash);
        if request.arrivals > 0 {
            let budget = self.budgets.entry(request.service.clone()).or_default();
            budget.record_retry(&self.config.budget, now);
        }
        request.arrivals += 1;
        request.quota = QuotaState::Settled;
        if let Some(permit) = permit {
            self.quarantine.begin_trial(permit, request.deadline);
        }
        self.attempts += 1;
        let gateway = self.gateway(now, request, hash);
        let (node, process) = (&self.config.node, self.config.run);
        request.attempt = Some(Attempt {
            upstream: record.id.clone(),
            address: record.address,
            hash,
            gateway,
            sent: now,
            rounds: rounds(occupied, record.slots),
            is_warm: now >= registration.warm_at,
            id: AttemptHash::of(node, process, ticket, self.attempts),
            permit,
        });
        Forward {
            upstream: record.id.clone(),
            address: record.address,
            gateway,
            service: request.service.clone(),
            key: request.key,
            assignment: self.assignment(request),
            attempt: request.arrivals,
            deadline: request.deadline,
            route: request.route.clone(),
            sender: request.sender.clone(),
            occupied,
            waited: now.since(request.arrived),
        }
    }

    /// Handles the end of an attempt. A request that is to be retried goes back to the queue;
    /// otherwise its conclusion is returned.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: AttemptOutcome,
    ) -> Option<ConcludedRequest> {
        let mut request = self.requests.remove(&ticket)?;
        let attempt = request.attempt.take()?;
        self.occupancy.end(attempt.hash);
        self.record_path(now, &attempt, outcome);
        self.record_health(now, &request, &attempt, outcome);
        self.update_quarantine(now, &request, &attempt, outcome);
        match outcome {
            AttemptOutcome::Answered { .. } => return None,
            AttemptOutcome::NotExecuted(proof) => {
                self.handle_not_executed(now, &mut request, &attempt, proof)
            }
            AttemptOutcome::Unknown(cause) => {
                request.unknown = Some(cause);
                request.tried.push(attempt.hash);
                if cause == UnknownCause::UnprovenRejection {
                    request.not_before = now + FULL_BACKOFF;
                }
            }
        }
        request.slot = SlotState::default();
        if !self.may_retry(now, &request, outcome) {
            return Some(self.conclude(now, &request, RefusalReason::Refused));
        }
        self.requests.insert(ticket, request);
        self.waiting.push(ticket);
        None
    }

    /// Updates the health, failure and speed records of the attempt's upstream.
    pub(super) fn record_health(
        &mut self,
        now: Time,
        request: &Request,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            self.upstream_responded(now, attempt.hash);
        }
        let has_other_path = attempt.gateway.is_none() && self.has_other_path(now, attempt.hash);
        let health = self.health.entry(attempt.hash).or_default();
        match outcome {
            AttemptOutcome::Answered { success } => {
                health.failures = 0;
                if !success {
                    self.failures.record(now, attempt.hash, 1);
                    self.speeds.record_failure(attempt.hash);
                }
                if success && attempt.is_warm {
                    self.learn_speed(now, request, attempt);
                }
            }
            // Proof or not, some request was rejected there.
            AttemptOutcome::NotExecuted(NotExecuted::Full)
            | AttemptOutcome::Unknown(UnknownCause::UnprovenRejection) => {
                health.paused_until = now + FULL_BACKOFF;
            }
            AttemptOutcome::NotExecuted(
                NotExecuted::Misdirected | NotExecuted::Unsent | NotExecuted::GatewayFailed(_),
            ) => {}
            AttemptOutcome::Unknown(UnknownCause::WrongAnswer | UnknownCause::BrokenOff) => {}
            // Paused, it would be kept from requests that another node can pass on.
            AttemptOutcome::NotExecuted(
                NotExecuted::Unconnected | NotExecuted::ConnectionRefused,
            ) if has_other_path => {}
            AttemptOutcome::NotExecuted(
                NotExecuted::Unconnected | NotExecuted::ConnectionRefused,
            )
            | AttemptOutcome::Unknown(UnknownCause::TimedOut) => {
                let pause = INITIAL_FAILURE_BACKOFF * 2u32.saturating_pow(health.failures.min(6));
                health.failures += 1;
                health.paused_until = now + pause.min(MAX_FAILURE_BACKOFF);
            }
        }
    }

    /// Updates the speed of an upstream from a response. A request that queued counts too, with
    /// its time in the queue taken off: the holder of a busy key has a queue whenever a request
    /// arrives, and would otherwise never be found slow.
    fn learn_speed(&mut self, now: Time, request: &Request, attempt: &Attempt) {
        let seconds = now.since(attempt.sent).as_secs_f64();
        let route = &request.route.name;
        if attempt.rounds > 1.0 {
            let seconds = seconds / attempt.rounds;
            self.speeds
                .record_queued_response(attempt.hash, route, seconds);
            return;
        }
        self.speeds.record_response(attempt.hash, route, seconds);
        self.speeds
            .record_service_response(&request.service, seconds);
    }

    /// Updates the quarantine: whether the request terminates upstreams.
    fn update_quarantine(
        &mut self,
        now: Time,
        request: &Request,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let permit = attempt.permit;
        match outcome {
            AttemptOutcome::Answered { success } => {
                if success {
                    self.quarantine.request_succeeded(now, request.fingerprints);
                }
                self.quarantine.end_trial(permit, TrialOutcome::Answered);
            }
            AttemptOutcome::NotExecuted(_) => {
                self.quarantine.end_trial(permit, TrialOutcome::Unused);
            }
            AttemptOutcome::Unknown(UnknownCause::BrokenOff) => {
                self.request_probe(now, request, attempt);
            }
            // The end of a connection may get lost in the network and then shows as a timeout.
            AttemptOutcome::Unknown(UnknownCause::TimedOut) => {
                let last = self.probed_at.get(&attempt.hash);
                let is_due = last.is_none_or(|last| now.since(*last) >= PROBE_INTERVAL);
                if is_due || permit.is_some() {
                    self.request_probe(now, request, attempt);
                }
            }
            AttemptOutcome::Unknown(
                UnknownCause::WrongAnswer | UnknownCause::UnprovenRejection,
            ) => {
                self.quarantine.end_trial(permit, TrialOutcome::Unknown);
            }
        }
    }

    /// Records that the upstream of an attempt may have terminated.
    fn request_probe(&mut self, now: Time, request: &Request, attempt: &Attempt) {
        self.probed_at.insert(attempt.hash, now);
        let suspect = SuspectAttempt {
            upstream: attempt.hash,
            id: attempt.id,
            fingerprints: request.fingerprints,
            permit: attempt.permit,
        };
        self.quarantine.connection_lost(now, suspect);
        let target = ProbeTarget {
            upstream: attempt.upstream.clone(),
            address: attempt.address,
        };
        if !self.probe_targets.contains(&target) {
            self.probe_targets.push(target);
        }
    }

    /// Returns the upstreams to probe since the last call: those to which connections were
    /// closed, or that did not respond. Their requests become suspected if the upstreams turn
    /// out to have terminated.
    pub fn take_probe_targets(&mut self) -> Vec<ProbeTarget> {
        std::mem::take(&mut self.probe_targets)
    }

    /// Requests known here to terminate upstreams.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Mutable access to the quarantine, for merging what other nodes report.
    pub fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    pub(super) fn handle_not_executed(
        &mut self,
        now: Time,
        request: &mut Request,
        attempt: &Attempt,
        proof: NotExecuted,
    ) {
        match proof {
            NotExecuted::Unconnected
            | NotExecuted::ConnectionRefused
            | NotExecuted::Unsent
            | NotExecuted::GatewayFailed(_) => {
                // The request did not reach the upstream, so it does not count against the
                // retry budget.
                request.arrivals -= 1;
                if request.arrivals > 0 {
                    let budget = self.budgets.entry(request.service.clone()).or_default();
                    budget.retract_retry(&self.config.budget, attempt.sent, now);
                }
                request.own_path_failed |= attempt.gateway.is_none()
                    && matches!(
                        proof,
                        NotExecuted::Unconnected | NotExecuted::ConnectionRefused
                    );
            }
            // No further delay while the upstream is in backoff: whether the request waits or is
            // refused can be decided at once.
            NotExecuted::Full if self.is_backed_off(now, attempt.hash) => {}
            NotExecuted::Full => request.not_before = now + FULL_BACKOFF,
            NotExecuted::Misdirected if request.key.is_some() => {
                request.denied = Some(Denial {
                    holder: attempt.upstream.clone(),
                    assignment: self.assignment(request),
                    until: now + DENIAL_BACKOFF,
                });
            }
            NotExecuted::Misdirected => {}
        }
        let is_gateway_failure = matches!(proof, NotExecuted::GatewayFailed(_));
        if request.key.is_none() && !is_gateway_failure {
            request.tried.push(attempt.hash);
        } else {
            request.backoff_until = self.requested_backoffs.until(now, attempt.hash);
        }
        let half = request.route.target_latency / 2;
        request.wait_until = request.wait_until.max(now + half).min(request.deadline);
    }

    pub(super) fn may_retry(
        &mut self,
        now: Time,
        request: &Request,
        outcome: AttemptOutcome,
    ) -> bool {
        let is_proven =
            matches!(outcome, AttemptOutcome::NotExecuted(_)) && request.unknown.is_none();
        let requires_proof = self.config.requires_proof_before_retry && !request.route.repeatable;
        if !is_proven && requires_proof {
            return false;
        }
        if request.client_left {
            return false;
        }
        if request.arrivals >= request.route.max_attempts || now >= request.deadline {
            return false;
        }
        if request.arrivals == 0 {
            return true;
        }
        let nodes = self.node_count.max(self.occupancy.peer_count() + 1);
        let budget = self.budgets.entry(request.service.clone()).or_default();
        budget.allows(&self.config.budget, now, nodes)
    }

    /// The client of a request disconnected. Its attempt in flight continues and is not repeated;
    /// without one, the request is dropped.
    pub fn client_left(&mut self, ticket: Ticket) {
        match self.requests.get_mut(&ticket) {
            Some(request) if request.attempt.is_some() => request.client_left = true,
            _ => {
                self.cancel(ticket);
            }
        }
    }

    /// Drops a request whose client disconnected and whose attempt does not continue. Returns
    /// whether an attempt is in flight.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(request) = self.requests.remove(&ticket) else {
            return false;
        };
        self.waiting.retain(|waiting| *waiting != ticket);
        self.return_quota_permit(&request);
        match request.attempt {
            Some(attempt) => {
                self.occupancy.end(attempt.hash);
                true
            }
            None => false,
        }
    }
}
