//! Quotas of tenants, over all nodes together.
//!
//! Each request of a tenant with a quota needs a permit before it is sent to an upstream for the
//! first time. A tenant's rate is divided into equal shares, [`Issuers`] by zone: a node first asks
//! the issuers of its own zone, and others only once these have no permits left.
//!
//! Invariant: in any window of the [`QuotaBound`], the requests sent with permits are at most the
//! quota's rate over the window and its burst, exceeded by the overage. The number of shares
//! depends on the zones that are declared, not on the nodes that are alive, so that a zone that is
//! partitioned issues its own shares and nobody issues them in its place. If shares followed the
//! nodes instead, both sides of a partition would issue all of them.
//!
//! A zone without any node costs its share of the quota. A node that hears no issuer refuses
//! requests without stating that the quota is used up, so that clients try other nodes.

mod issuers;

use crate::permit::{
    Buckets, PermitCounts, PermitPolicy, PermitStep, Permits, Share, Tenure, millis,
};
use crate::report::NodeHash;
use beamtray_catalog::{Quota, Tenant, TenantName};
use beamtray_types::{Time, Zone};
use borsh::{BorshDeserialize, BorshSerialize};
use issuers::{Issuers, ZoneNodes};
use std::collections::HashMap;
use std::time::Duration;

/// Identifies a tenant in messages between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct TenantHash(pub u64);

impl TenantHash {
    /// Hashes a tenant's name.
    pub fn of(name: &TenantName) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.0.as_bytes()))
    }
}

/// How exactly quotas are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBound {
    /// Period over which a tenant's requests are compared with its quota.
    pub window: Duration,
    /// Share by which the quota may be exceeded.
    pub overage: f64,
    /// Requests allowed in addition in each window: a few requests that come together are no
    /// excess where a quota is small.
    pub slack: f64,
}

/// A node, with the zone in which it may issue permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocatedNode {
    /// The node.
    pub node: NodeHash,
    /// Its zone.
    pub zone: Zone,
}

/// Asks an issuer for permits to send requests of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct QuotaRequest {
    /// The tenant.
    pub tenant: TenantHash,
    /// The issuer that is asked.
    pub issuer: NodeHash,
    /// Number of this permit request, unique within the node.
    pub number: u32,
    /// Number of permits that the node can use within their lifetime.
    pub wanted: u32,
}

/// The issuer's reply.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct QuotaReply {
    /// The tenant.
    pub tenant: TenantHash,
    /// Number of the permit request.
    pub number: u32,
    /// Number of permits issued, each for one request.
    pub permits: u32,
    /// Milliseconds until the issuer has a permit again.
    pub next_in_ms: u32,
    /// Milliseconds until it would have had a permit for each one that it recently denied.
    pub room_in_ms: u32,
}

/// Next step of a request that needs a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuotaStep {
    /// It has one, which must be used by this time.
    Granted { until: Time },
    /// Ask an issuer.
    Ask(QuotaRequest),
    /// Wait for an issuer's reply.
    Asked,
    /// The quota is used up.
    Exhausted(Exhausted),
    /// No issuer replies.
    Unknown,
}

/// When a tenant's quota has room again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Exhausted {
    /// When an issuer has a permit again.
    pub until: Time,
    /// When those who were denied a permit before will have had one.
    pub room_at: Time,
}

const PERMIT_POLICY: PermitPolicy = PermitPolicy {
    lifetime: Duration::from_millis(500),
    advance: Duration::from_millis(300),
    max_per_request: 4_096,
    min_issuer_backoff: Duration::from_millis(200),
};
/// Share of the overage and of the slack by which the quota is planned to be exceeded. The rest is
/// for nodes that disagree about the issuers for a moment.
const PLANNED_EXCESS: f64 = 0.5;
/// Number of permits that a bucket holds where a quota is divided: with only one, it would stop
/// filling whenever a permit is fetched slightly late.
const MIN_CAPACITY_PERMITS: f64 = 1.5;
/// Delay before a node is asked again that does not issue permits for the tenant: nodes may
/// briefly disagree about issuers and configurations.
const NO_ISSUER_BACKOFF: Duration = Duration::from_millis(500);

/// A tenant's quota, and since when it is known.
#[derive(Clone, Copy, Debug)]
struct KnownQuota {
    quota: Quota,
    learned: Time,
}

/// The quotas that a node knows, and the permits that it issues and holds.
#[derive(Clone, Debug)]
pub(crate) struct Quotas {
    own: NodeHash,
    own_zone: Zone,
    bound: QuotaBound,
    nodes: ZoneNodes,
    known: HashMap<TenantHash, KnownQuota>,
    issuers: HashMap<TenantHash, Issuers>,
    buckets: Buckets<TenantHash>,
    permits: Permits<TenantHash>,
    counts: PermitCounts,
}

impl Quotas {
    /// Creates the state without any quota or node. Permit requests are numbered after `number`,
    /// which tells those of different processes apart.
    pub fn new(
        own: NodeHash,
        own_zone: Zone,
        zones: &[Zone],
        bound: QuotaBound,
        number: u32,
    ) -> Self {
        Self {
            own,
            own_zone,
            bound,
            nodes: ZoneNodes::new(zones),
            known: HashMap::new(),
            issuers: HashMap::new(),
            buckets: Buckets::default(),
            permits: Permits::new(PERMIT_POLICY, number),
            counts: PermitCounts::default(),
        }
    }

    /// Changes how exactly quotas are kept.
    pub fn set_bound(&mut self, bound: QuotaBound) {
        self.bound = bound;
    }

    /// Sets the registered nodes, including this one once it is registered.
    pub fn set_nodes(&mut self, now: Time, nodes: &[LocatedNode]) {
        self.nodes.set(now, nodes);
    }

    /// Applies the tenants of a configuration.
    pub fn configure(&mut self, now: Time, tenants: &[Tenant]) {
        let limited = tenants.iter().filter_map(|tenant| {
            let hash = TenantHash::of(&tenant.name);
            let known = self.known.get(&hash);
            let learned = known.map_or(now, |known| known.learned);
            let quota = tenant.quota?;
            Some((hash, KnownQuota { quota, learned }))
        });
        self.known = limited.collect();
        let known = &self.known;
        self.issuers.retain(|tenant, _| known.contains_key(tenant));
        self.buckets.retain(|tenant| known.contains_key(&tenant));
        self.permits.retain(|tenant| known.contains_key(&tenant));
    }

    /// Number of tenants with a quota.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Counts of permits.
    pub fn counts(&self) -> PermitCounts {
        self.counts
    }

    /// Records a request of a tenant. Returns whether it needs a permit.
    pub fn record_arrival(&mut self, now: Time, tenant: TenantHash) -> bool {
        if !self.known.contains_key(&tenant) {
            return false;
        }
        self.permits.record_arrival(now, tenant);
        true
    }

    /// Takes a permit for a request, or returns how it can get one.
    pub fn step(&mut self, now: Time, tenant: TenantHash) -> QuotaStep {
        if let Some(until) = self.take(now, tenant) {
            self.counts.used += 1;
            return QuotaStep::Granted { until };
        }
        let others = self.other_issuers(tenant);
        match self.permits.step(now, tenant, &others) {
            PermitStep::Send | PermitStep::Asked => QuotaStep::Asked,
            PermitStep::Ask {
                issuer,
                number,
                wanted,
            } => {
                self.counts.asked += 1;
                QuotaStep::Ask(QuotaRequest {
                    tenant,
                    issuer,
                    number,
                    wanted,
                })
            }
            PermitStep::Empty { until } => self.empty(now, tenant, until, &others),
        }
    }

    /// Takes a permit that this node holds or may issue to itself.
    fn take(&mut self, now: Time, tenant: TenantHash) -> Option<Time> {
        if let Some(until) = self.permits.consume(now, tenant) {
            return Some(until);
        }
        let (share, tenure) = self.own_share(tenant)?;
        // Otherwise a waiting request would count as denied each time it is looked at.
        if !self.buckets.has_one(now, tenant, share, tenure) {
            return None;
        }
        self.buckets.issue(now, tenant, share, tenure, 1);
        self.counts.issued += 1;
        Some(now + PERMIT_POLICY.lifetime)
    }

    fn empty(
        &mut self,
        now: Time,
        tenant: TenantHash,
        until: Time,
        others: &[NodeHash],
    ) -> QuotaStep {
        let own = self.own_share(tenant).map(|(share, tenure)| {
            let next_in = self.buckets.next_in(now, tenant, share, tenure);
            now + next_in
        });
        if own.is_none() && !self.permits.is_denied(now, tenant, others) {
            return QuotaStep::Unknown;
        }
        let until = own.map_or(until, |own| own.min(until));
        let room_at = self.permits.room_at(tenant).unwrap_or(until);
        QuotaStep::Exhausted(Exhausted { until, room_at })
    }

    /// Takes back the permit of a request that was not sent.
    pub fn put_back(&mut self, tenant: TenantHash, until: Time) {
        self.counts.used -= 1;
        self.permits.put_back(tenant, until);
    }

    /// As an issuer: handles a permit request.
    pub fn issue(&mut self, now: Time, request: &QuotaRequest) -> QuotaReply {
        let reply = |permits, next_in: Duration, room_in: Duration| QuotaReply {
            tenant: request.tenant,
            number: request.number,
            permits,
            next_in_ms: millis(next_in),
            room_in_ms: millis(room_in),
        };
        let Some((share, tenure)) = self.own_share(request.tenant) else {
            return reply(0, NO_ISSUER_BACKOFF, NO_ISSUER_BACKOFF);
        };
        let wanted = request.wanted;
        let issued = self
            .buckets
            .issue(now, request.tenant, share, tenure, wanted);
        self.counts.issued += u64::from(issued.permits);
        self.counts.denied += u64::from(wanted - issued.permits);
        reply(issued.permits, issued.next_in, issued.room_in)
    }

    /// Handles an issuer's reply.
    pub fn handle_reply(&mut self, now: Time, reply: &QuotaReply) {
        self.permits.handle_reply(
            now,
            reply.tenant,
            reply.number,
            reply.permits,
            Duration::from_millis(reply.next_in_ms.into()),
            Duration::from_millis(reply.room_in_ms.into()),
        );
    }

    /// The other issuers of a tenant, in the order in which this node asks them.
    fn other_issuers(&mut self, tenant: TenantHash) -> Vec<NodeHash> {
        let own = self.own;
        let zone = self.own_zone.clone();
        self.issuers_of(tenant).others(own, &zone)
    }

    /// This node's share of a tenant's quota, if it is an issuer.
    fn own_share(&mut self, tenant: TenantHash) -> Option<(Share, Tenure)> {
        let known = *self.known.get(&tenant)?;
        let bound = self.bound;
        let issuers = self.issuers_of(tenant);
        let held = issuers.own_share()?;
        let tenure = Tenure {
            learned: known.learned,
            issuer_since: held.since,
            is_closed: false,
        };
        Some((share_of(known.quota, bound, held.slots, held.total), tenure))
    }

    fn issuers_of(&mut self, tenant: TenantHash) -> &Issuers {
        let issuers = self.issuers.entry(tenant).or_default();
        let known = self.known.get(&tenant);
        let max_slots = known.map_or(1, |known| max_slots(known.quota, self.bound));
        issuers.update(tenant, max_slots, self.own, &self.nodes);
        issuers
    }
}

/// Returns the number of slots into which a quota can be divided so that the bucket of each holds
/// whole permits, and all of them together no more than the quota's burst.
fn max_slots(quota: Quota, bound: QuotaBound) -> usize {
    let at_once = quota.burst + bound.slack * PLANNED_EXCESS;
    ((at_once / MIN_CAPACITY_PERMITS) as usize).max(1)
}

/// Returns the share of an issuer that has some of the slots into which a quota is divided.
///
/// Permits of one window are issued in the window and in the lifetime before it, so buckets fill
/// more slowly than the rate where the overage does not make up for that.
fn share_of(quota: Quota, bound: QuotaBound, slots: usize, total: usize) -> Share {
    let shares = total as f64 / slots as f64;
    let window = bound.window.as_secs_f64();
    let excess = window * (1.0 + bound.overage * PLANNED_EXCESS);
    let fill = excess / (window + PERMIT_POLICY.lifetime.as_secs_f64());
    let rate = quota.rate * fill.min(1.0) / shares;
    let refill = rate * PERMIT_POLICY.min_issuer_backoff.as_secs_f64();
    Share {
        rate,
        capacity: ((quota.burst + bound.slack * PLANNED_EXCESS) / shares).max(1.0 + refill),
        in_window: quota.rate * window / shares,
        shares,
    }
}
