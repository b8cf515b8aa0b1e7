//! Decides whether a waiting request is sent, keeps waiting, or is refused.

use super::choice::Choice;
use super::quotas::QuotaCheck;
use super::slots::SlotState;
use super::{Dispatcher, Request};
use crate::fingerprint::Fingerprint;
use crate::quarantine::{RequestStatus, TrialRequest, TrialStep};
use crate::report::NodeHash;
use crate::request::{ConcludedRequest, Conclusion, Decision, RefusalReason, Ticket};
use beamtray_catalog::{Directory, Registration};
use beamtray_types::Time;
use rand::RngExt;
use std::time::Duration;

/// Lower bound on the Retry-After time.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(120);
/// Lower bound on the jitter added to the Retry-After time.
pub(super) const MIN_RETRY_AFTER_JITTER: Duration = Duration::from_millis(200);
/// Retry-After of a node that stops: the others can take the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Jitter relative to the Retry-After time: the longer keys are without a holder, the more
/// clients retry for them.
const RETRY_AFTER_JITTER_RATIO: f64 = 0.5;

impl Dispatcher {
    /// Returns the decisions that are due now, in order of priority, tenants' turns and arrival.
    pub fn poll(&mut self, now: Time, directory: &Directory) -> Vec<Decision> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.update_pools(directory);
        self.work.rounds += 1;
        self.decided_at = now;
        self.begin_round(now);
        self.work.decisions += self.waiting.len() as u64;
        let mut order = std::mem::take(&mut self.waiting);
        self.sort_by_precedence(&mut order);
        let mut decisions = Vec::new();
        for ticket in order {
            let Some(mut request) = self.requests.remove(&ticket) else {
                continue;
            };
            let decision = self.decide(now, directory, ticket, &mut request);
            let (is_waiting, is_concluded) = match &decision {
                None
                | Some(
                    Decision::AskSlot(_)
                    | Decision::AskTrial(_)
                    | Decision::AskPermit(_)
                    | Decision::AskQuota(_),
                ) => (true, false),
                Some(Decision::Forward(..)) => (false, false),
                Some(Decision::Conclude(..)) => (false, true),
            };
            if !is_concluded {
                self.requests.insert(ticket, request);
            }
            if is_waiting {
                self.waiting.push(ticket);
            }
            decisions.extend(decision);
        }
        decisions
    }

    /// Decides about one request; `None` keeps it waiting.
    fn decide(
        &mut self,
        now: Time,
        directory: &Directory,
        ticket: Ticket,
        request: &mut Request,
    ) -> Option<Decision> {
        if now >= request.deadline {
            let ending = self.conclude(now, request, RefusalReason::TimeUp);
            return Some(Decision::Conclude(ticket, ending));
        }
        if self.serves_until.is_some_and(|end| request.deadline > end) {
            let ending = self.conclude(now, request, RefusalReason::Stopping);
            return Some(Decision::Conclude(ticket, ending));
        }
        // Checked here and not only on admission: while a request waits, others with the same
        // content may terminate upstreams.
        let status = self.quarantine.status(now, request.fingerprints);
        if matches!(status, RequestStatus::Quarantined(_)) {
            let ending = self.conclude(now, request, RefusalReason::Quarantined);
            return Some(Decision::Conclude(ticket, ending));
        }
        match self.check_quota(now, request) {
            QuotaCheck::Passed => {}
            QuotaCheck::Ask(ask) => return Some(Decision::AskQuota(ask)),
            QuotaCheck::Wait => return None,
            QuotaCheck::Refuse(reason) => {
                let ending = self.conclude(now, request, reason);
                return Some(Decision::Conclude(ticket, ending));
            }
        }
        let choice = if now < request.not_before {
            Err(RefusalReason::Busy)
        } else {
            self.choose(now, directory, request)
        };
        match choice {
            Ok(Choice::Send(registration)) => {
                let RequestStatus::OnTrial(fingerprint) = status else {
                    let forward = self.forward(now, ticket, request, &registration, None);
                    return Some(Decision::Forward(ticket, forward));
                };
                self.decide_trial(now, ticket, request, &registration, fingerprint)
            }
            Ok(Choice::AskRelay) => {
                Some(Decision::AskSlot(self.slot_request(now, ticket, request)))
            }
            Ok(Choice::AskPermit(permit_request)) => Some(Decision::AskPermit(permit_request)),
            Ok(Choice::Wait) => None,
            Err(reason) if now >= request.wait_until || self.is_futile(now, request, reason) => {
                let ending = self.conclude(now, request, reason);
                Some(Decision::Conclude(ticket, ending))
            }
            Err(_) => None,
        }
    }

    /// Decides about a suspected request that could be sent now. The permit is requested only
    /// at this point, since a permit held while no upstream can take the request would block
    /// the requests of other nodes.
    ///
    /// The request waits for its own trial, or for that of a request with the same content, as
    /// long as requests may wait for a slot. Usually the outcome is known by then.
    fn decide_trial(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: &mut Request,
        registration: &Registration,
        fingerprint: Fingerprint,
    ) -> Option<Decision> {
        match self.quarantine.trial_step(now, fingerprint) {
            TrialStep::Send => {
                let permit = Some(fingerprint);
                let forward = self.forward(now, ticket, request, registration, permit);
                Some(Decision::Forward(ticket, forward))
            }
            TrialStep::Ask(number) => {
                let trial_request = self.trial_request(request, fingerprint, number);
                Some(Decision::AskTrial(trial_request))
            }
            TrialStep::Wait if now < request.wait_until => None,
            TrialStep::Wait => {
                let ending = self.conclude(now, request, RefusalReason::Quarantined);
                Some(Decision::Conclude(ticket, ending))
            }
        }
    }

    fn trial_request(
        &self,
        request: &Request,
        fingerprint: Fingerprint,
        number: u32,
    ) -> TrialRequest {
        let node = NodeHash::of(&self.config.node);
        let timeout = request.route.timeout;
        self.quarantine
            .trial_request(fingerprint, node, number, timeout)
    }

    /// Whether the reason for waiting can't pass before the request's time to wait is over: the
    /// key gets no holder, or the upstream accepts nothing, until then. A request that a holder
    /// rejected keeps waiting, since the assignment that names the next holder may already be
    /// on its way.
    fn is_futile(&self, now: Time, request: &Request, reason: RefusalReason) -> bool {
        if reason == RefusalReason::Limited {
            let until = request.limited_by.and_then(|wait| wait.until);
            return until.is_some_and(|until| until > request.wait_until);
        }
        if reason == RefusalReason::Resting {
            let until = request.backoff_until;
            return until.is_some_and(|until| until > request.wait_until);
        }
        let Some(key) = request.key else {
            return false;
        };
        let is_unheld = reason == RefusalReason::KeyUnheld && request.denied.is_none();
        is_unheld
            && now + self.unheld_keys.remaining(now, &request.service, key) > request.wait_until
    }

    pub(super) fn conclude(
        &mut self,
        now: Time,
        request: &Request,
        reason: RefusalReason,
    ) -> ConcludedRequest {
        self.return_quota_permit(request);
        let conclusion = match request.unknown {
            Some(cause) => Conclusion::Unknown(cause),
            None => Conclusion::Refused {
                reason,
                retry_after: self.retry_after(now, request, reason),
            },
        };
        ConcludedRequest {
            conclusion,
            route: request.route.name.clone(),
            service: request.service.clone(),
            key: request.key,
            assignment: self.assignment(request),
            tenant: request.sender.tenant().map(|tenant| tenant.name.clone()),
            limited_by: self.rate_limit_state(now, request, reason),
            arrivals: request.arrivals,
            age: now.since(request.arrived),
            left: request.deadline.since(now),
        }
    }

    /// Returns the time after which a client should retry: when its key is expected to have a
    /// holder again, or shortly. Jitter spreads the clients of the same keys.
    fn retry_after(&mut self, now: Time, request: &Request, reason: RefusalReason) -> Duration {
        if let Some(remaining) = self.quarantine.remaining(now, request.fingerprints) {
            return remaining;
        }
        if reason == RefusalReason::Stopping {
            return STOPPING_RETRY_AFTER;
        }
        if reason == RefusalReason::Limited {
            return self.retry_after_limit(now, request);
        }
        if reason == RefusalReason::QuotaExceeded {
            return self.retry_after_quota(now, request);
        }
        let expected = match request.key {
            Some(key) if reason == RefusalReason::KeyUnheld => {
                self.unheld_keys.remaining(now, &request.service, key)
            }
            _ => self.remaining_backoff(now, request, reason),
        };
        let spread = MIN_RETRY_AFTER_JITTER + expected.mul_f64(RETRY_AFTER_JITTER_RATIO);
        let least = expected.max(MIN_RETRY_AFTER);
        least + spread.mul_f64(self.random.random())
    }

    /// Returns when the next decision is due if nothing else happens.
    ///
    /// Invariant: it is later than the last round of decisions. A time that has passed was part of
    /// that round; if it counted again, the node would decide without a pause until something
    /// else happens.
    pub fn next_due(&self) -> Option<Time> {
        let waiting = self.waiting.iter();
        let waiting = waiting.filter_map(|ticket| self.requests.get(ticket));
        let times = waiting.flat_map(Request::due_times);
        times.filter(|time| *time > self.decided_at).min()
    }
}

impl Request {
    /// Times from which a decision about the request may turn out differently.
    fn due_times(&self) -> impl Iterator<Item = Time> {
        let reply_due = match self.slot {
            SlotState::Asked(until) => Some(until),
            _ => None,
        };
        let denial_ends = self.denied.as_ref().map(|denial| denial.until);
        let always = [self.wait_until, self.deadline, self.not_before];
        always.into_iter().chain(reply_due).chain(denial_ends)
    }
}
