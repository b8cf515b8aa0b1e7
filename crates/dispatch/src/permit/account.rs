//! One node's permits, and its requests for more.

use crate::report::NodeHash;
use beamtray_types::Time;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

/// How long an issuer's reply is awaited: a round trip between zones plus the scheduling delay
/// of a node with little CPU time.
pub(crate) const PERMIT_REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// How long an issuer that did not reply once is not asked; doubles with each further time. The
/// message may have been lost, or the issuer may have terminated.
const INITIAL_ISSUER_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound on that delay.
const MAX_ISSUER_BACKOFF: Duration = Duration::from_secs(1);
/// Delay if no issuer is known.
const NO_ISSUER_WAIT: Duration = Duration::from_millis(500);
/// Time in which the count of arrivals halves, by which permits are requested in advance.
const ARRIVALS_HALF_LIFE: Duration = Duration::from_millis(500);

/// How permits of one kind are requested and used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitPolicy {
    /// How long after the permit request a permit may be used. For the issuer the time starts
    /// later.
    pub lifetime: Duration,
    /// Time for which permits are requested in advance, at the rate of recent arrivals.
    pub advance: Duration,
    /// Maximum number of permits requested at once.
    pub max_per_request: u32,
    /// Lower bound on the delay before an issuer that had no permit is asked again.
    pub min_issuer_backoff: Duration,
}

/// Next step of a request that needs a permit.
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
        self.asked_at + PERMIT_REPLY_TIMEOUT
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

/// Permits that expire together.
#[derive(Clone, Copy, Debug)]
struct Batch {
    permits: u32,
    until: Time,
}

/// This node's permits and permit requests for one subject.
#[derive(Clone, Debug, Default)]
struct Account {
    held: VecDeque<Batch>,
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
    /// Number of recent arrivals, each halved in [`ARRIVALS_HALF_LIFE`], as of the time of the last
    /// one.
    arrivals: f64,
    arrived_at: Time,
}

impl Account {
    fn expire(&mut self, now: Time) {
        self.held.retain(|batch| now < batch.until);
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

    fn record_arrival(&mut self, now: Time) {
        self.arrivals = self.recent_arrivals(now) + 1.0;
        self.arrived_at = now;
    }

    fn recent_arrivals(&self, now: Time) -> f64 {
        let half_lives = now
            .since(self.arrived_at)
            .div_duration_f64(ARRIVALS_HALF_LIFE);
        self.arrivals * 0.5f64.powf(half_lives)
    }

    /// Number of arrivals expected in a period, by the recent ones.
    fn expected_arrivals(&self, now: Time, period: Duration) -> u32 {
        let per_half_life = self.recent_arrivals(now) * std::f64::consts::LN_2;
        (per_half_life * period.div_duration_f64(ARRIVALS_HALF_LIFE)) as u32
    }

    /// Whether an issuer replied that it has no permits, and has none yet.
    fn is_denied(&self, now: Time, issuers: &[NodeHash]) -> bool {
        let mut known = self.issuers.iter();
        known.any(|one| issuers.contains(&one.node) && one.unanswered == 0 && now < one.ask_from)
    }
}

/// The permits of one node, by the subject of their limit.
#[derive(Clone, Debug)]
pub(crate) struct Permits<Subject> {
    policy: PermitPolicy,
    accounts: HashMap<Subject, Account>,
    last_number: u32,
}

impl<Subject: Copy + Eq + Hash> Permits<Subject> {
    /// Creates the state without any permit. Permit requests are numbered after `number`, which
    /// must differ between processes of a node.
    pub fn new(policy: PermitPolicy, number: u32) -> Self {
        Self {
            policy,
            accounts: HashMap::new(),
            last_number: number,
        }
    }

    /// Counts a request that will need a permit, so that permits are requested in advance.
    pub fn record_arrival(&mut self, now: Time, subject: Subject) {
        let account = self.accounts.entry(subject).or_default();
        account.record_arrival(now);
    }

    /// Whether a permit is available.
    pub fn has_one(&self, now: Time, subject: Subject) -> bool {
        let account = self.accounts.get(&subject);
        account.is_some_and(|account| account.held.iter().any(|batch| now < batch.until))
    }

    /// Returns the next step of a request that found no permit. `issuers` are asked in order,
    /// and several at a time only if there are more requests than permits requested so far:
    /// permits that are issued but not used are lost.
    pub fn step(&mut self, now: Time, subject: Subject, issuers: &[NodeHash]) -> PermitStep {
        let policy = self.policy;
        let account = self.accounts.entry(subject).or_default();
        account.expire(now);
        account.record_demand(now);
        let in_advance = account.expected_arrivals(now, policy.advance);
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
            wanted: (demand - outstanding + in_advance).clamp(1, policy.max_per_request),
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
        subject: Subject,
        number: u32,
        permits: u32,
        next_in: Duration,
        room_in: Duration,
    ) {
        let Some(account) = self.accounts.get_mut(&subject) else {
            return;
        };
        let mut pending = account.pending.iter();
        let Some(index) = pending.position(|one| one.number == number) else {
            return;
        };
        let request = account.pending.swap_remove(index);
        let permits = permits.min(request.wanted);
        if permits > 0 {
            account.held.push_back(Batch {
                permits,
                until: request.asked_at + self.policy.lifetime,
            });
        }
        let issuer = account.issuer(request.issuer);
        issuer.unanswered = 0;
        if permits < request.wanted {
            issuer.ask_from = now + next_in.max(self.policy.min_issuer_backoff);
        }
        account.room_at = now + room_in;
    }

    /// Uses up a permit. Returns until when it is valid, `None` if there is no permit.
    pub fn consume(&mut self, now: Time, subject: Subject) -> Option<Time> {
        let account = self.accounts.get_mut(&subject)?;
        account.expire(now);
        let batch = account.held.front_mut()?;
        batch.permits -= 1;
        let until = batch.until;
        if batch.permits == 0 {
            account.held.pop_front();
        }
        Some(until)
    }

    /// Takes back a permit that was consumed but not used.
    pub fn put_back(&mut self, subject: Subject, until: Time) {
        if let Some(account) = self.accounts.get_mut(&subject) {
            account.held.push_front(Batch { permits: 1, until });
        }
    }

    /// Whether the reason for having no permit is that an issuer has none. Otherwise the issuers
    /// did not reply, and it is not known whether they have any.
    pub fn is_denied(&self, now: Time, subject: Subject, issuers: &[NodeHash]) -> bool {
        let account = self.accounts.get(&subject);
        account.is_some_and(|account| account.is_denied(now, issuers))
    }

    /// When those that were denied a permit before will have had one.
    pub fn room_at(&self, subject: Subject) -> Option<Time> {
        self.accounts.get(&subject).map(|account| account.room_at)
    }

    /// Drops subjects.
    pub fn retain(&mut self, keep: impl Fn(Subject) -> bool) {
        self.accounts.retain(|subject, _| keep(*subject));
    }
}
