//! Requests of tenants: quotas, and the order in which requests are decided.

use super::decide::{MIN_RETRY_AFTER, MIN_RETRY_AFTER_JITTER};
use super::limits::wait_for_issuer;
use super::{Dispatcher, Request};
use crate::permit::PermitCounts;
use crate::quota::{Exhausted, LocatedNode, QuotaReply, QuotaRequest, QuotaStep, TenantHash};
use crate::request::{RefusalReason, Ticket};
use beamtray_catalog::TenantName;
use beamtray_types::Time;
use rand::RngExt;
use std::collections::HashMap;
use std::time::Duration;

/// Upper bound on the Retry-After jitter of requests beyond a quota: the load of a tenant
/// changes, and clients that stay away for longer find the quota unused.
const MAX_QUOTA_JITTER: Duration = Duration::from_secs(3);

/// What a request still needs from the quota of its tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum QuotaState {
    /// Nothing: the sender has no quota, or the request has been sent once.
    Settled,
    /// A permit.
    Needed(TenantHash),
    /// It has one that must be used by this time.
    Granted { tenant: TenantHash, until: Time },
    /// It was denied one.
    Denied(Exhausted),
}

/// Whether a request may be sent as far as the quota of its tenant is concerned.
pub(super) enum QuotaCheck {
    Passed,
    Ask(QuotaRequest),
    Wait,
    Refuse(RefusalReason),
}

impl Dispatcher {
    /// Sets the registered nodes that may issue quota permits.
    pub fn set_quota_issuers(&mut self, now: Time, nodes: &[LocatedNode]) {
        self.quotas.set_nodes(now, nodes);
    }

    /// As an issuer: handles a request for quota permits.
    pub fn issue_quota(&mut self, now: Time, request: &QuotaRequest) -> QuotaReply {
        self.quotas.issue(now, request)
    }

    /// Handles an issuer's reply.
    pub fn handle_quota_reply(&mut self, now: Time, reply: &QuotaReply) {
        self.quotas.handle_reply(now, reply);
    }

    /// Counts of quota permits requested, used, issued and denied.
    pub fn quota_counts(&self) -> PermitCounts {
        self.quotas.counts()
    }

    /// Number of tenants, and of those with a quota.
    pub fn tenant_counts(&self) -> (usize, usize) {
        let tenants = self.tenants.as_ref().map_or(0, |tenants| tenants.count());
        (tenants, self.quotas.count())
    }

    /// Gets a request its permit. It waits for an issuer's reply as long as it could still be
    /// served in time, and is refused at once when the quota is known to be used up.
    pub(super) fn check_quota(&mut self, now: Time, request: &mut Request) -> QuotaCheck {
        let QuotaState::Needed(tenant) = request.quota else {
            return QuotaCheck::Passed;
        };
        let is_overdue = now >= request.wait_until;
        match self.quotas.step(now, tenant) {
            QuotaStep::Granted { until } => {
                request.quota = QuotaState::Granted { tenant, until };
                QuotaCheck::Passed
            }
            QuotaStep::Ask(ask) => {
                wait_for_issuer(now, request);
                QuotaCheck::Ask(ask)
            }
            QuotaStep::Exhausted(exhausted) => {
                request.quota = QuotaState::Denied(exhausted);
                QuotaCheck::Refuse(RefusalReason::QuotaExceeded)
            }
            QuotaStep::Asked | QuotaStep::Unknown if is_overdue => {
                QuotaCheck::Refuse(RefusalReason::QuotaUnknown)
            }
            QuotaStep::Asked | QuotaStep::Unknown => QuotaCheck::Wait,
        }
    }

    /// Returns the permit of a request that ends without having been sent.
    pub(super) fn return_quota_permit(&mut self, request: &Request) {
        if let QuotaState::Granted { tenant, until } = request.quota {
            self.quotas.put_back(tenant, until);
        }
    }

    /// Returns when a client whose tenant has used up its quota should retry: when there is room
    /// for it and for those that were refused before, with jitter.
    pub(super) fn retry_after_quota(&mut self, now: Time, request: &Request) -> Duration {
        let QuotaState::Denied(exhausted) = request.quota else {
            return MIN_RETRY_AFTER;
        };
        let least = exhausted.until.since(now).max(MIN_RETRY_AFTER);
        let room_in = exhausted.room_at.since(now);
        let spread = room_in.clamp(MIN_RETRY_AFTER_JITTER, MAX_QUOTA_JITTER);
        least + spread.mul_f64(self.random.random())
    }

    /// Sorts requests by the priority of their senders, then of their routes, and by arrival.
    /// Requests of the same priorities take turns by tenant, so that one with many waiting
    /// requests does not delay the others.
    pub(super) fn sort_by_precedence(&self, tickets: &mut [Ticket]) {
        let known = |ticket: &Ticket| self.requests.get(ticket);
        tickets.sort_by_key(|ticket| known(ticket).map(|request| request.arrived));
        let turns = self.turns(tickets);
        // The sort is stable: within a turn the order of arrival stays.
        tickets.sort_by_key(|ticket| {
            let priorities =
                known(ticket).map(|request| (request.sender.priority(), request.route.priority));
            (priorities, turns.get(ticket).copied().unwrap_or_default())
        });
    }

    /// Numbers the requests of each tenant in the given order; empty without tenants.
    fn turns(&self, tickets: &[Ticket]) -> HashMap<Ticket, u32> {
        let mut turns = HashMap::new();
        if self.tenants.is_none() {
            return turns;
        }
        let mut next_turns: HashMap<Option<&TenantName>, u32> = HashMap::new();
        for ticket in tickets {
            let Some(request) = self.requests.get(ticket) else {
                continue;
            };
            let tenant = request.sender.tenant().map(|tenant| &tenant.name);
            let next_turn = next_turns.entry(tenant).or_default();
            turns.insert(*ticket, *next_turn);
            *next_turn += 1;
        }
        turns
    }
}
