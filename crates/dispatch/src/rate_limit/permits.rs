//! One node's permits to send requests to rate-limited upstreams.

use super::issuer::PERMIT_LIFETIME;
use crate::report::{NodeHash, UpstreamHash};
use beamtray_types::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long an issuer's reply is awaited: a round trip between zones plus the scheduling delay
/// of a node with little CPU time.
pub(crate) const RATE_PERMIT_REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// How long an issuer that did not reply once is not asked; doubles with each further time. The
/// message may have been lost, or the issuer may have terminated.
const INITIAL_ISSUER_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound on that delay.
const MAX_ISSUER_BACKOFF: Duration = Duration::from_secs(1);
/// Delay if no issuer is known.
const NO_ISSUER_WAIT: Duration = Duration::from_millis(500);
/// Lower bound on the delay before an issuer that had no permit is asked again.
const MIN_ISSUER_BACKOFF: Duration = Duration::from_millis(1);
/// Maximum number of permits requested at once.
const MAX_PERMITS_PER_REQUEST: u32 = 16;

/// Next step of a request to a rate-limited upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PermitStep {
    /// Send it now.
    Send,
    /// Ask an issuer.
    Ask {
        issuer: NodeHash,
        number: u32,
        wanted: u32,
    },
    /// Wait for an issuer's reply.
    Asked,
    /// No issuer has a permit before then.
    Empty { until: Time },
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    number: u32,
    issuer: NodeHash,
    asked_at: Time,
    wanted: u32,
}

impl PendingRequest {
    fn expires(&self) -> Time {
        self.asked_at + RATE_PERMIT_REPLY_TIMEOUT
    }
}

/// An issuer that has no permits, or did not reply.
#[derive(Clone, Copy, Debug)]
struct IssuerState {
    node: NodeHash,
    ask_from: Time,
    /// Number of consecutive permit requests without a reply.
    unanswered: u32,
}

/// This node's permits and permit requests for one upstream.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Expiry time of each permit.
    held: VecDeque<Time>,
    /// At most one per issuer.
    pending: Vec<PendingRequest>,
    issuers: Vec<IssuerState>,
    /// When all denied requests would have had a permit, according to the latest reply.
    room_at: Time,
    /// Number of requests that looked for a permit at the time `demand_at`, and at the time
    /// before.
    demand_at: Time,
    demand: u32,
    last_demand: u32,
}

impl Account {
    fn expire(&mut self, now: Time) {
        self.held.retain(|until| now < *until);
        let unanswered: Vec<PendingRequest> = self
            .pending
            .extract_if(.., |request| now >= request.expires())
            .collect();
        for request in unanswered {
            let issuer = self.issuer(request.issuer);
            let backoff = INITIAL_ISSUER_BACKOFF * 2u32.saturating_pow(issuer.unanswered.min(8));
            issuer.unanswered += 1;
            issuer.ask_from = now + backoff.min(MAX_ISSUER_BACKOFF);
        }
    }

    /// Number of permits in pending permit requests.
    fn outstanding(&self) -> u32 {
        self.pending.iter().map(|request| request.wanted).sum()
    }

    /// The first issuer that may have permits and has no pending permit request.
    fn next_issuer(&self, now: Time, issuers: &[NodeHash]) -> Option<NodeHash> {
        let is_backed_off = |issuer| {
            let mut known = self.issuers.iter();
            known.any(|known| known.node == issuer && now < known.ask_from)
        };
        let is_asked = |issuer| self.pending.iter().any(|one| one.issuer == issuer);
        let mut free = issuers.iter().copied();
        free.find(|issuer| !is_backed_off(*issuer) && !is_asked(*issuer))
    }

    fn issuer(&mut self, node: NodeHash) -> &mut IssuerState {
        let known = self.issuers.iter().position(|issuer| issuer.node == node);
        let index = known.unwrap_or_else(|| {
            self.issuers.push(IssuerState {
                node,
                ask_from: Time::ZERO,
                unanswered: 0,
            });
            self.issuers.len() - 1
        });
        &mut self.issuers[index]
    }

    /// When the first of these issuers may be asked again.
    fn ask_from(&self, issuers: &[NodeHash]) -> Option<Time> {
        let known = self.issuers.iter();
        let known = known.filter(|known| issuers.contains(&known.node));
        known.map(|known| known.ask_from).min()
    }

    fn record_demand(&mut self, now: Time) {
        if now > self.demand_at {
            self.last_demand = std::mem::take(&mut self.demand);
            self.demand_at = now;
        }
        self.demand += 1;
    }
}

/// The permits of one node.
#[derive(Clone, Debug, Default)]
pub(super) struct Permits {
    accounts: HashMap<UpstreamHash, Account>,
    last_number: u32,
}

impl Permits {
    /// Sets the number after which permit requests are numbered. It must differ between
    /// processes of a node.
    pub fn set_last_number(&mut self, number: u32) {
        self.last_number = number;
    }

    /// Whether a permit is available.
    pub fn has_one(&self, now: Time, upstream: UpstreamHash) -> bool {
        let account = self.accounts.get(&upstream);
        account.is_some_and(|account| account.held.iter().any(|until| now < *until))
    }

    /// Returns the next step of a request that found no permit. `issuers` are asked in order,
    /// and several at a time only if there are more requests than permits requested so far:
    /// permits that are issued but not used are lost.
    pub fn step(&mut self, now: Time, upstream: UpstreamHash, issuers: &[NodeHash]) -> PermitStep {
        let account = self.accounts.entry(upstream).or_default();
        account.expire(now);
        account.record_demand(now);
        let outstanding = account.outstanding();
        if outstanding >= account.demand {
            return PermitStep::Asked;
        }
        let Some(issuer) = account.next_issuer(now, issuers) else {
            if outstanding > 0 {
                return PermitStep::Asked;
            }
            let until = account.ask_from(issuers).unwrap_or(now + NO_ISSUER_WAIT);
            return PermitStep::Empty { until };
        };
        self.last_number = self.last_number.wrapping_add(1);
        let demand = account.last_demand.max(account.demand);
        let request = PendingRequest {
            number: self.last_number,
            issuer,
            asked_at: now,
            wanted: (demand - outstanding).clamp(1, MAX_PERMITS_PER_REQUEST),
        };
        account.pending.push(request);
        PermitStep::Ask {
            issuer,
            number: request.number,
            wanted: request.wanted,
        }
    }

    /// Handles an issuer's reply. A late reply is ignored; the issuer relies on that.
    pub fn handle_reply(
        &mut self,
        now: Time,
        upstream: UpstreamHash,
        number: u32,
        permits: u32,
        next_in: Duration,
        room_in: Duration,
    ) {
        let Some(account) = self.accounts.get_mut(&upstream) else {
            return;
        };
        let mut pending = account.pending.iter();
        let Some(index) = pending.position(|one| one.number == number) else {
            return;
        };
        let request = account.pending.swap_remove(index);
        let until = request.asked_at + PERMIT_LIFETIME;
        let permits = permits.min(MAX_PERMITS_PER_REQUEST) as usize;
        account.held.extend(std::iter::repeat_n(until, permits));
        let issuer = account.issuer(request.issuer);
        issuer.unanswered = 0;
        if permits < request.wanted as usize {
            issuer.ask_from = now + next_in.max(MIN_ISSUER_BACKOFF);
        }
        account.room_at = now + room_in;
    }

    /// Uses up a permit. Returns whether there was one.
    pub fn consume(&mut self, now: Time, upstream: UpstreamHash) -> bool {
        let account = self.accounts.get_mut(&upstream);
        account.is_some_and(|account| {
            account.expire(now);
            account.held.pop_front().is_some()
        })
    }

    /// When those that were denied a permit before will have had one.
    pub fn room_at(&self, upstream: UpstreamHash) -> Option<Time> {
        self.accounts.get(&upstream).map(|account| account.room_at)
    }

    /// Drops upstreams.
    pub fn retain(&mut self, keep: impl Fn(UpstreamHash) -> bool) {
        self.accounts.retain(|upstream, _| keep(*upstream));
    }
}
