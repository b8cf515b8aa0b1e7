//! Requests to upstreams that advertise a rate limit.
//!
//! A request without a key goes to another upstream as long as one has room; the advertised
//! rate is then used by the issuers themselves, which have permits at hand. Issuers are asked
//! only if no other upstream has room. A request whose key is held by a rate-limited upstream
//! always needs a permit, and is refused at once if none can arrive in time. None of this makes
//! the upstream count as slow or failing.

use super::choice::{Choice, TIME_LEFT_FRACTION};
use super::decide::{MIN_RETRY_AFTER, MIN_RETRY_AFTER_JITTER};
use super::pools::PoolMember;
use super::slots::SlotState;
use super::{Dispatcher, PermitWait, Request};
use crate::permit::{PERMIT_REPLY_TIMEOUT, PermitCounts, PermitStep};
use crate::rate_limit::{PermitReply, PermitRequest, RateLimitEvent, RateLimitUpdate};
use crate::report::UpstreamHash;
use crate::request::{RateLimitState, RefusalReason, Ticket};
use beamtray_catalog::{AdvertisedRate, Registration, RequestRate};
use beamtray_types::Time;
use rand::RngExt;
use std::time::Duration;

/// Upper bound on the Retry-After jitter of rate-limited requests: rates and loads change.
const MAX_RETRY_AFTER_JITTER: Duration = Duration::from_secs(3);

/// Fraction of a route's target latency that a request waits for permits at most.
const MAX_PERMIT_WAIT_FRACTION: f64 = 0.75;

/// How a request can get a permit.
enum PermitAction {
    Send,
    Ask(PermitRequest),
    Wait(PermitWait),
}

impl Dispatcher {
    /// Applies the rate limit advertised in the response to a request. Called before the
    /// attempt ends.
    pub fn observe_rate(&mut self, now: Time, ticket: Ticket, word: AdvertisedRate) {
        if !self.config.honors_rate_limits {
            return;
        }
        let request = self.requests.get(&ticket);
        let Some(attempt) = request.and_then(|request| request.attempt.as_ref()) else {
            return;
        };
        self.limits.observe(now, attempt.hash, attempt.sent, word);
    }

    /// Applies a rate limit update from another node. Returns whether it was new.
    pub fn apply_rate_limit_update(&mut self, now: Time, update: &RateLimitUpdate) -> bool {
        self.limits.apply_update(now, update)
    }

    /// What is known of an upstream's rate limit, for another node.
    pub fn rate_limit_update(
        &mut self,
        now: Time,
        upstream: UpstreamHash,
    ) -> Option<RateLimitUpdate> {
        self.limits.known().update(now, upstream)
    }

    /// All known rate limits, for another node.
    pub fn rate_limit_updates(&mut self, now: Time) -> Vec<RateLimitUpdate> {
        self.limits.known().updates(now)
    }

    /// Takes the rate limit updates that have not been sent to other nodes.
    pub fn take_rate_limit_updates(&mut self, now: Time) -> Vec<RateLimitUpdate> {
        self.limits.known().take_unsent_updates(now)
    }

    /// Takes the rate limit events since the last call.
    pub fn take_rate_limit_events(&mut self) -> Vec<RateLimitEvent> {
        self.limits.known().take_events()
    }

    /// Number of upstreams that advertise a rate limit.
    pub fn rate_limited_count(&self) -> usize {
        self.limits.count()
    }

    /// Counts of permits requested, used, issued and denied.
    pub fn permit_counts(&self) -> PermitCounts {
        self.limits.counts()
    }

    /// The rate limit that an upstream advertises.
    pub fn advertised_rate(&self, upstream: UpstreamHash) -> Option<RequestRate> {
        self.limits.rate(upstream)
    }

    /// As an issuer: handles a request for permits.
    pub fn issue_permits(&mut self, now: Time, request: &PermitRequest) -> PermitReply {
        self.limits.issue(now, request)
    }

    /// Handles an issuer's reply.
    pub fn handle_permit_reply(&mut self, now: Time, reply: &PermitReply) {
        self.limits.handle_reply(now, reply);
    }

    fn permit_action(&mut self, now: Time, upstream: UpstreamHash) -> PermitAction {
        let wait = |until| PermitAction::Wait(PermitWait { upstream, until });
        match self.limits.step(now, upstream) {
            PermitStep::Send => PermitAction::Send,
            PermitStep::Asked => wait(None),
            PermitStep::Empty { until } => wait(Some(until)),
            PermitStep::Ask {
                issuer,
                number,
                wanted,
            } => {
                let request = self.limits.request(now, upstream, issuer, number, wanted);
                request.map_or(PermitAction::Send, PermitAction::Ask)
            }
        }
    }

    /// Sends a request to the only upstream that can take it, once there is a permit.
    pub(super) fn send_with_permit(
        &mut self,
        now: Time,
        request: &mut Request,
        hash: UpstreamHash,
        registration: &Registration,
    ) -> Result<Choice, RefusalReason> {
        match self.permit_action(now, hash) {
            PermitAction::Send => Ok(Choice::Send(registration.clone())),
            PermitAction::Ask(permit_request) => {
                wait_for_issuer(now, request);
                Ok(Choice::AskPermit(permit_request))
            }
            PermitAction::Wait(wait) => {
                request.limited_by = Some(wait);
                Err(RefusalReason::Limited)
            }
        }
    }

    /// Selects a rate-limited upstream for which this node has a permit, or, if the relay found
    /// all other upstreams full, an issuer to ask.
    pub(super) fn choose_limited_early(
        &mut self,
        now: Time,
        request: &mut Request,
    ) -> Option<Choice> {
        if self.limits.count() == 0 {
            return None;
        }
        let pool = self.pools.of(&request.service);
        let query = self.query(now, request);
        let has_permit_and_room = |member: &&PoolMember| {
            let registration = &member.registration;
            let is_free = self.occupancy.total(member.hash) < registration.record.slots;
            let expected = self.expected_time(now, query.work, registration, member.hash);
            self.limits.rate(member.hash).is_some()
                && self.limits.has_permit(now, member.hash)
                && self.cold_rate(now, registration).is_none()
                && self.is_usable(now, &query, member)
                && is_free
                && expected <= query.time_left * TIME_LEFT_FRACTION
        };
        if let Some(member) = pool.iter().find(has_permit_and_room) {
            return Some(Choice::Send(member.registration.clone()));
        }
        if request.slot != SlotState::Refused {
            return None;
        }
        self.choose_limited(now, request).ok()
    }

    /// Selects a rate-limited upstream when no other has room: one for which there is a permit,
    /// or the first one whose issuers may have one.
    pub(super) fn choose_limited(
        &mut self,
        now: Time,
        request: &mut Request,
    ) -> Result<Choice, RefusalReason> {
        if self.limits.count() == 0 {
            return Err(RefusalReason::Busy);
        }
        let pool = self.pools.of(&request.service);
        let query = self.query(now, request);
        let usable: Vec<&PoolMember> = pool
            .iter()
            .filter(|member| self.is_usable(now, &query, member))
            .collect();
        let is_limited = |member: &&&PoolMember| self.limits.rate(member.hash).is_some();
        let limited: Vec<&PoolMember> = usable.iter().filter(is_limited).copied().collect();
        let is_only_limited = limited.len() == usable.len();
        let mut earliest: Option<PermitWait> = None;
        for member in limited {
            if self.cold_rate(now, &member.registration).is_some() {
                continue;
            }
            match self.permit_action(now, member.hash) {
                PermitAction::Send => return Ok(Choice::Send(member.registration.clone())),
                PermitAction::Ask(permit_request) => {
                    wait_for_issuer(now, request);
                    return Ok(Choice::AskPermit(permit_request));
                }
                PermitAction::Wait(wait) => {
                    if earliest.is_none_or(|earliest| wait.until < earliest.until) {
                        earliest = Some(wait);
                    }
                }
            }
        }
        request.limited_by = earliest;
        match earliest {
            Some(_) if is_only_limited => Err(RefusalReason::Limited),
            _ => Err(RefusalReason::Busy),
        }
    }

    /// Returns when a rate-limited client should retry: when there is room for it and for those
    /// that were refused before, with jitter so that they don't all retry at once.
    pub(super) fn retry_after_limit(&mut self, now: Time, request: &Request) -> Duration {
        let Some(state) = self.rate_limit_state(now, request, RefusalReason::Limited) else {
            return MIN_RETRY_AFTER;
        };
        let least = state.next_in.max(MIN_RETRY_AFTER);
        let spread = state
            .room_in
            .clamp(MIN_RETRY_AFTER_JITTER, MAX_RETRY_AFTER_JITTER);
        least + spread.mul_f64(self.random.random())
    }

    /// State of the rate limit that a request is refused for.
    pub(super) fn rate_limit_state(
        &self,
        now: Time,
        request: &Request,
        reason: RefusalReason,
    ) -> Option<RateLimitState> {
        let wait = request.limited_by?;
        if reason != RefusalReason::Limited {
            return None;
        }
        let in_time = |time: Option<Time>| time.map_or(Duration::ZERO, |time| time.since(now));
        Some(RateLimitState {
            upstream: wait.upstream,
            rate: self.limits.rate(wait.upstream),
            next_in: in_time(wait.until),
            room_in: in_time(self.limits.room_at(wait.upstream)),
        })
    }
}

/// Lets a request wait for the issuer that is asked on its behalf, as long as it could still be
/// served in time afterwards: a permit that arrives after the refusal is lost.
pub(super) fn wait_for_issuer(now: Time, request: &mut Request) {
    let latest = request.arrived
        + request
            .route
            .target_latency
            .mul_f64(MAX_PERMIT_WAIT_FRACTION);
    let reply_by = (now + PERMIT_REPLY_TIMEOUT).min(latest);
    request.wait_until = request.wait_until.max(reply_by).min(request.deadline);
}
