//! Attempts: how they begin, and what becomes of a request when one ends.

use super::choice::rounds;
use super::slots::SlotState;
use super::{Attempt, Denial, Dispatcher, ProbeTarget, Request};
use crate::fingerprint::Fingerprint;
use crate::quarantine::{AttemptHash, Quarantine, RunOfRequest, TrialOutcome};
use crate::report::UpstreamHash;
use crate::request::{
    AttemptOutcome, ConcludedRequest, Forward, NotExecuted, RefusalReason, Ticket, UnknownCause,
};
use beamtray_catalog::Registration;
use beamtray_types::Time;
use std::time::Duration;

/// Pause before a holder that denied a key is asked again under the same
/// assignment.
const DENIED_PAUSE: Duration = Duration::from_millis(120);
/// Pause before an upstream that said it is full is asked again.
const FULL_PAUSE: Duration = Duration::from_millis(30);
/// First pause after a failure; doubles with each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// Between two doubts of an upstream that leaves requests unanswered. Each has a connection
/// opened, which takes one of its slots for a moment, and where it is only full there are
/// many such requests.
const SILENCE_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

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
        self.cold_starts.sent(now, hash);
        self.limits.sent(now, hash);
        let occupied = self.occupancy.total(hash);
        self.occupancy.begin(hash);
        if request.arrivals > 0 {
            let budget = self.budgets.entry(request.service.clone()).or_default();
            budget.repeat(&self.config.budget, now);
        }
        request.arrivals += 1;
        if let Some(permit) = permit {
            self.quarantine.begin_trial(permit, request.deadline);
        }
        self.attempts += 1;
        let (node, process) = (&self.config.node, self.config.run);
        request.attempt = Some(Attempt {
            upstream: record.id.clone(),
            address: record.address,
            hash,
            sent: now,
            rounds: rounds(occupied, record.slots),
            is_warm: now >= registration.warm_at,
            run: AttemptHash::of(node, process, ticket, self.attempts),
            permit,
        });
        Forward {
            upstream: record.id.clone(),
            address: record.address,
            service: request.service.clone(),
            key: request.key,
            assignment: self.assignment(request),
            attempt: request.arrivals,
            deadline: request.deadline,
            route: request.route.clone(),
            occupied,
            waited: now.since(request.arrived),
        }
    }

    /// Takes the end of an attempt. A request that is to be tried again waits
    /// for the next poll; the conclusion of one that is not comes back.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: AttemptOutcome,
    ) -> Option<ConcludedRequest> {
        let mut request = self.requests.remove(&ticket)?;
        let attempt = request.attempt.take()?;
        self.occupancy.end(attempt.hash);
        self.judge(now, &request, &attempt, outcome);
        self.suspect(now, &request, &attempt, outcome);
        match outcome {
            AttemptOutcome::Answered { .. } => return None,
            AttemptOutcome::NotExecuted(proof) => {
                self.untouched(now, &mut request, &attempt, proof)
            }
            AttemptOutcome::Unknown(cause) => {
                request.unknown = Some(cause);
                request.tried.push(attempt.hash);
            }
        }
        request.slot = SlotState::default();
        if !self.may_repeat(now, &request, outcome) {
            return Some(self.conclude(now, &request, RefusalReason::Refused));
        }
        self.requests.insert(ticket, request);
        self.waiting.push(ticket);
        None
    }

    /// Learns from an attempt how its upstream does.
    pub(super) fn judge(
        &mut self,
        now: Time,
        request: &Request,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let health = self.health.entry(attempt.hash).or_default();
        match outcome {
            AttemptOutcome::Answered { success } => {
                self.heard.insert(attempt.hash, now);
                health.failures = 0;
                if !success {
                    self.faults.note(now, attempt.hash, 1);
                    self.speeds.fail(attempt.hash);
                }
                if success && attempt.is_warm {
                    self.learn_speed(now, request, attempt);
                }
            }
            AttemptOutcome::NotExecuted(NotExecuted::Full) => {
                health.paused_until = now + FULL_PAUSE;
            }
            AttemptOutcome::NotExecuted(NotExecuted::Misdirected | NotExecuted::Unsent) => {}
            AttemptOutcome::Unknown(UnknownCause::WrongAnswer | UnknownCause::BrokenOff) => {}
            AttemptOutcome::NotExecuted(
                NotExecuted::Unconnected | NotExecuted::ConnectionRefused,
            )
            | AttemptOutcome::Unknown(UnknownCause::TimedOut) => {
                let pause = FAILURE_PAUSE * 2u32.saturating_pow(health.failures.min(6));
                health.failures += 1;
                health.paused_until = now + pause.min(LONGEST_PAUSE);
            }
        }
    }

    /// Learns from an answer how fast its upstream is. What queued there tells that as well,
    /// less its time in the queue: a holder of a busy key has a queue whenever a request
    /// comes, and would never be found slow.
    fn learn_speed(&mut self, now: Time, request: &Request, attempt: &Attempt) {
        let seconds = now.since(attempt.sent).as_secs_f64();
        let route = &request.route.name;
        if attempt.rounds > 1.0 {
            let seconds = seconds / attempt.rounds;
            self.speeds.learn_queued(attempt.hash, route, seconds);
            return;
        }
        self.speeds.learn(attempt.hash, route, seconds);
        self.speeds.learn_service(&request.service, seconds);
    }

    /// Learns from an attempt whether its request ends upstreams.
    fn suspect(
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
                    self.quarantine.succeeded(now, request.fingerprints);
                }
                self.quarantine.end_trial(permit, TrialOutcome::Answered);
            }
            AttemptOutcome::NotExecuted(_) => {
                self.quarantine.end_trial(permit, TrialOutcome::Unused);
            }
            AttemptOutcome::Unknown(UnknownCause::BrokenOff) => {
                self.doubt(now, request, attempt);
            }
            // The end of a connection may get lost on the way, and shows as silence then.
            AttemptOutcome::Unknown(UnknownCause::TimedOut) => {
                let last = self.doubted_at.get(&attempt.hash);
                let is_due = last.is_none_or(|last| now.since(*last) >= SILENCE_PAUSE);
                if is_due || permit.is_some() {
                    self.doubt(now, request, attempt);
                }
            }
            AttemptOutcome::Unknown(UnknownCause::WrongAnswer) => {
                self.quarantine.end_trial(permit, TrialOutcome::Unknown);
            }
        }
    }

    /// Notes that the upstream of an attempt may have ended.
    fn doubt(&mut self, now: Time, request: &Request, attempt: &Attempt) {
        self.doubted_at.insert(attempt.hash, now);
        let run = RunOfRequest {
            upstream: attempt.hash,
            run: attempt.run,
            fingerprints: request.fingerprints,
            permit: attempt.permit,
        };
        self.quarantine.broke_off(now, run);
        let doubted = ProbeTarget {
            upstream: attempt.upstream.clone(),
            address: attempt.address,
        };
        if !self.doubted.contains(&doubted) {
            self.doubted.push(doubted);
        }
    }

    /// Upstreams to which connections broke off, or fell silent, since the last call.
    /// Whether they ended decides whether their requests are suspected.
    pub fn take_probe_targets(&mut self) -> Vec<ProbeTarget> {
        std::mem::take(&mut self.doubted)
    }

    /// Requests that end upstreams, as known here.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// The same, to add what others know.
    pub fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    pub(super) fn untouched(
        &self,
        now: Time,
        request: &mut Request,
        attempt: &Attempt,
        proof: NotExecuted,
    ) {
        match proof {
            NotExecuted::Unconnected | NotExecuted::ConnectionRefused | NotExecuted::Unsent => {
                // It never arrived, so it costs no budget.
                request.arrivals -= 1;
            }
            // What is to be done about a request whose upstream rests is known at once.
            NotExecuted::Full if self.is_resting(now, attempt.hash) => {}
            NotExecuted::Full => request.not_before = now + FULL_PAUSE,
            NotExecuted::Misdirected if request.key.is_some() => {
                request.denied = Some(Denial {
                    holder: attempt.upstream.clone(),
                    assignment: self.assignment(request),
                    until: now + DENIED_PAUSE,
                });
            }
            NotExecuted::Misdirected => {}
        }
        if request.key.is_none() {
            request.tried.push(attempt.hash);
        } else {
            request.rests_until = self.rests.until(now, attempt.hash);
        }
        let half = request.route.target_latency / 2;
        request.wait_until = request.wait_until.max(now + half).min(request.deadline);
    }

    pub(super) fn may_repeat(
        &mut self,
        now: Time,
        request: &Request,
        outcome: AttemptOutcome,
    ) -> bool {
        let proved = matches!(outcome, AttemptOutcome::NotExecuted(_)) && request.unknown.is_none();
        let must_prove = self.config.requires_proof_before_retry && !request.route.repeatable;
        if !proved && must_prove {
            return false;
        }
        if request.arrivals >= request.route.max_attempts || now >= request.deadline {
            return false;
        }
        if request.arrivals == 0 {
            return true;
        }
        let nodes = self.nodes.max(self.occupancy.peer_count() + 1);
        let budget = self.budgets.entry(request.service.clone()).or_default();
        budget.allows(&self.config.budget, now, nodes)
    }

    /// Forgets a request whose client left; whether an attempt is under way.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(request) = self.requests.remove(&ticket) else {
            return false;
        };
        self.waiting.retain(|waiting| *waiting != ticket);
        match request.attempt {
            Some(attempt) => {
                self.occupancy.end(attempt.hash);
                true
            }
            None => false,
        }
    }
}
