//! Requests to upstreams that name the rate that they take.
//!
//! One without a key goes elsewhere as long as another upstream has room; what is named is
//! used by the lenders, which have permits at hand. Only where nobody else has room are
//! lenders asked. A request whose key has its holder there has no choice but to ask, and is
//! refused at once where no permit can come in time. The upstream does not count as slow or
//! failing for any of it.

use super::choice::{Choice, TARGET_SHARE};
use super::decide::{LEAST_RETRY_AFTER, RETRY_AFTER_SPREAD};
use super::pools::PoolMember;
use super::slots::SlotState;
use super::{Dispatcher, LimitWait, Request};
use crate::rate_limit::{
    ANSWER_WAIT, LimitNotice, LimitWord, PermitCounts, PermitReply, PermitRequest, PermitStep,
};
use crate::report::UpstreamHash;
use crate::request::{LimitFacts, RefusalReason, Ticket};
use beamtray_catalog::{AdvertisedRate, Registration, RequestRate};
use beamtray_types::Time;
use rand::RngExt;
use std::time::Duration;

/// Over which clients that were refused come back at most: rates and loads change.
const LONGEST_SPREAD: Duration = Duration::from_secs(3);

/// Part of a route's target latency that a request waits for permits at most.
const LONGEST_WAIT_SHARE: f64 = 0.75;

/// What a request has to do for a permit.
enum PermitWay {
    Send,
    Ask(PermitRequest),
    Wait(LimitWait),
}

impl Dispatcher {
    /// Takes what the answer to a request said of its upstream's rate, before its end.
    pub fn rate_named(&mut self, now: Time, ticket: Ticket, word: AdvertisedRate) {
        if !self.config.keeps_named_rates {
            return;
        }
        let request = self.requests.get(&ticket);
        let Some(attempt) = request.and_then(|request| request.attempt.as_ref()) else {
            return;
        };
        self.limits.named(now, attempt.hash, attempt.sent, word);
    }

    /// Takes another node's word of a rate; whether it was news.
    pub fn limit_told(&mut self, now: Time, word: &LimitWord) -> bool {
        self.limits.told(now, word)
    }

    /// What is known of an upstream's rate, for another node.
    pub fn limit_word(&mut self, now: Time, upstream: UpstreamHash) -> Option<LimitWord> {
        self.limits.known().word(now, upstream)
    }

    /// All rates that are known to be named, for another node.
    pub fn limit_words(&mut self, now: Time) -> Vec<LimitWord> {
        self.limits.known().words(now)
    }

    /// What other nodes were not told of rates.
    pub fn take_untold_limits(&mut self, now: Time) -> Vec<LimitWord> {
        self.limits.known().take_untold(now)
    }

    /// What became known of rates since the last call.
    pub fn take_limit_notices(&mut self) -> Vec<LimitNotice> {
        self.limits.known().take_notices()
    }

    /// How many upstreams name a rate.
    pub fn limited_count(&self) -> usize {
        self.limits.count()
    }

    /// What became of permits.
    pub fn permit_counts(&self) -> PermitCounts {
        self.limits.counts()
    }

    /// The rate that an upstream names.
    pub fn named_rate(&self, upstream: UpstreamHash) -> Option<RequestRate> {
        self.limits.rate(upstream)
    }

    /// As a lender: answers a question for permits.
    pub fn lend_permits(&mut self, now: Time, request: &PermitRequest) -> PermitReply {
        self.limits.lend(now, request)
    }

    /// Takes a lender's answer.
    pub fn permits_lent(&mut self, now: Time, reply: &PermitReply) {
        self.limits.answered(now, reply);
    }

    fn permit_way(&mut self, now: Time, upstream: UpstreamHash) -> PermitWay {
        let wait = |until| PermitWay::Wait(LimitWait { upstream, until });
        match self.limits.step(now, upstream) {
            PermitStep::Send => PermitWay::Send,
            PermitStep::Asked => wait(None),
            PermitStep::Empty { until } => wait(Some(until)),
            PermitStep::Ask {
                lender,
                number,
                wanted,
            } => {
                let request = self.limits.request(now, upstream, lender, number, wanted);
                request.map_or(PermitWay::Send, PermitWay::Ask)
            }
        }
    }

    /// Sends a request to the upstream that it must go to, once there is a permit for it.
    pub(super) fn with_permit(
        &mut self,
        now: Time,
        request: &mut Request,
        hash: UpstreamHash,
        registration: &Registration,
    ) -> Result<Choice, RefusalReason> {
        match self.permit_way(now, hash) {
            PermitWay::Send => Ok(Choice::Send(registration.clone())),
            PermitWay::Ask(asked) => {
                wait_for_lender(now, request);
                Ok(Choice::AskPermit(asked))
            }
            PermitWay::Wait(wait) => {
                request.limited_by = Some(wait);
                Err(RefusalReason::Limited)
            }
        }
    }

    /// An upstream that names a rate and for which there is a permit here, or, where the
    /// relay has found all others full, a lender to ask.
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
        let takes = |member: &&PoolMember| {
            let registration = &member.registration;
            let is_free = self.occupancy.total(member.hash) < registration.record.slots;
            let expected = self.expected(now, query.work, registration, member.hash);
            self.limits.rate(member.hash).is_some()
                && self.limits.has_permit(now, member.hash)
                && self.cold_rate(now, registration).is_none()
                && self.is_usable(now, &query, member)
                && is_free
                && expected <= query.left * TARGET_SHARE
        };
        if let Some(member) = pool.iter().find(takes) {
            return Some(Choice::Send(member.registration.clone()));
        }
        if request.slot != SlotState::Refused {
            return None;
        }
        self.choose_limited(now, request).ok()
    }

    /// An upstream that names a rate, where no other has room: one for which there is a
    /// permit, or the first whose lenders may have one.
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
        let mut soonest: Option<LimitWait> = None;
        for member in limited {
            if self.cold_rate(now, &member.registration).is_some() {
                continue;
            }
            match self.permit_way(now, member.hash) {
                PermitWay::Send => return Ok(Choice::Send(member.registration.clone())),
                PermitWay::Ask(asked) => {
                    wait_for_lender(now, request);
                    return Ok(Choice::AskPermit(asked));
                }
                PermitWay::Wait(wait) => {
                    if soonest.is_none_or(|soonest| wait.until < soonest.until) {
                        soonest = Some(wait);
                    }
                }
            }
        }
        request.limited_by = soonest;
        match soonest {
            Some(_) if is_only_limited => Err(RefusalReason::Limited),
            _ => Err(RefusalReason::Busy),
        }
    }

    /// When a client that was refused for a rate is to come back: when there is room for it
    /// and for those who were refused before, but not all at one moment.
    pub(super) fn retry_after_limit(&mut self, now: Time, request: &Request) -> Duration {
        let Some(facts) = self.limit_facts(now, request, RefusalReason::Limited) else {
            return LEAST_RETRY_AFTER;
        };
        let least = facts.next_in.max(LEAST_RETRY_AFTER);
        let spread = facts.room_in.clamp(RETRY_AFTER_SPREAD, LONGEST_SPREAD);
        least + spread.mul_f64(self.random.random())
    }

    /// The rate that a request is refused for.
    pub(super) fn limit_facts(
        &self,
        now: Time,
        request: &Request,
        reason: RefusalReason,
    ) -> Option<LimitFacts> {
        let wait = request.limited_by?;
        if reason != RefusalReason::Limited {
            return None;
        }
        let in_time = |time: Option<Time>| time.map_or(Duration::ZERO, |time| time.since(now));
        Some(LimitFacts {
            upstream: wait.upstream,
            rate: self.limits.rate(wait.upstream),
            next_in: in_time(wait.until),
            room_in: in_time(self.limits.room_at(wait.upstream)),
        })
    }
}

/// Has a request wait for the lender that is asked for it, as long as it could then still be
/// served in time: a permit that comes after its refusal is lost.
fn wait_for_lender(now: Time, request: &mut Request) {
    let latest = request.arrived + request.route.target_latency.mul_f64(LONGEST_WAIT_SHARE);
    let answered = (now + ANSWER_WAIT).min(latest);
    request.wait_until = request.wait_until.max(answered).min(request.deadline);
}
