//! Selects the upstream for a request.
//!
//! An upstream is unconfirmed if its registration is missing and it has not responded since: it
//! may have terminated, and another process may have its address. It is sent a request only if
//! no other upstream has room, and one request at a time. Without this rule the following
//! happened: three upstreams terminated, other processes took their addresses, and the three
//! registrations vanished together, which proves nothing. A request was sent to two of the
//! upstreams, got a 421 response from the other processes both times, and was refused after 4
//! ms although four other upstreams were ready.

use super::pools::PoolMember;
use super::slots::SlotStep;
use super::{Dispatcher, Request};
use crate::rate_limit::PermitRequest;
use crate::report::UpstreamHash;
use crate::request::{AssignmentNumber, RefusalReason};
use beamtray_catalog::{ColdStart, Directory, Registration, UpstreamId};
use beamtray_sharding::{ShardKey, SliceState};
use beamtray_types::{ServiceName, Time};
use rand::RngExt;

/// Fraction of the time left that the expected work may take.
pub(super) const TIME_LEFT_FRACTION: f64 = 0.85;
/// Fraction of a route's target latency that its work is assumed to take until response times
/// are known.
const DEFAULT_WORK_FRACTION: f64 = 0.33;
/// Slowness factor of an upstream that is still warming up.
const WARM_UP_SLOWNESS: f64 = 2.0;

/// Slowness factor of an upstream that another node recently failed to reach.
const UNREACHABLE_SLOWNESS: f64 = 4.0;

/// Number of upstreams that a decision considers if this node's view of the load is recent, in pools
/// of more than [`MAX_FULL_SCAN`].
const RECENT_SAMPLE: usize = 48;
/// Number of upstreams that one decision considers at most, unless none of a sample is idle.
const MAX_FULL_SCAN: usize = 512;
/// Number of upstreams that a decision considers if this node's view of the load is old.
const DELAYED_SAMPLE: usize = 4;
/// Share by which costs vary at random, so that nodes choose differently among equal ones.
const COST_JITTER: f64 = 0.02;

/// A number from 0 to 1 that is the same for one upstream within a decision.
fn jitter(decision: u64, upstream: UpstreamHash) -> f64 {
    let mixed = (decision ^ u64::from(upstream.0)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 40) as f64 / f64::from(1 << 24)
}

/// Number of service rounds, over all slots of the upstream, until a request completes that
/// finds `occupied` requests there.
pub(super) fn rounds(occupied: u32, slots: u32) -> f64 {
    (f64::from(occupied + 1) / f64::from(slots.max(1))).max(1.0)
}

/// What to do with a request now.
pub(super) enum Choice {
    /// Send it to this upstream.
    Send(Registration),
    /// Ask the relay to select an upstream.
    AskRelay,
    /// Wait for the relay's reply.
    Wait,
    /// Ask an issuer for permits.
    AskPermit(PermitRequest),
}

/// Criteria for selecting an upstream.
pub(super) struct Query<'a> {
    /// Average duration of such a request in seconds.
    pub work: f64,
    /// Seconds within which the request should be answered.
    pub time_left: f64,
    /// Upstreams to exclude.
    pub tried: &'a [UpstreamHash],
    /// Whether another node will send the request: the permits of this node don't apply to it.
    pub is_for_peer: bool,
}

impl Dispatcher {
    pub(super) fn choose(
        &mut self,
        now: Time,
        directory: &Directory,
        request: &mut Request,
    ) -> Result<Choice, RefusalReason> {
        if let Some(key) = request.key {
            let holder = self.choose_holder(now, directory, request, key)?.clone();
            let hash = UpstreamHash::of(&holder.record.id);
            return self.send_with_permit(now, request, hash, &holder);
        }
        self.check_all_backoffs(now, request)?;
        if let Some(cold) = self.choose_cold(now, request) {
            return Ok(Choice::Send(cold));
        }
        if let Some(choice) = self.choose_limited_early(now, request) {
            return Ok(choice);
        }
        match self.slot_step(now, request) {
            SlotStep::Ask => Ok(Choice::AskRelay),
            SlotStep::Wait => Ok(Choice::Wait),
            SlotStep::Use(upstream) => self.use_slot(now, request, upstream),
            SlotStep::Choose => self.choose_any(now, request),
            SlotStep::GiveUp => Err(RefusalReason::Busy),
        }
    }

    /// Returns the upstream that the relay selected, or selects another one if that has become
    /// unusable.
    fn use_slot(
        &mut self,
        now: Time,
        request: &mut Request,
        upstream: UpstreamHash,
    ) -> Result<Choice, RefusalReason> {
        let pool = self.pools.of(&request.service);
        let named = pool.iter().find(|member| member.hash == upstream);
        let is_usable = !self.is_paused(now, upstream) && !request.tried.contains(&upstream);
        let is_warm = |member: &&PoolMember| self.cold_rate(now, &member.registration).is_none();
        let is_confirmed = |member: &&PoolMember| !self.is_unconfirmed(member);
        let is_permitted = |member: &&PoolMember| self.limits.has_permit(now, member.hash);
        let named = named.filter(|_| is_usable).filter(is_permitted);
        match named.filter(is_warm).filter(is_confirmed) {
            Some(member) => Ok(Choice::Send(member.registration.clone())),
            None => self.choose_any(now, request),
        }
    }

    /// Returns the rate that an upstream handles if it is still cold and its service limits
    /// cold starts.
    pub(super) fn cold_rate(&self, now: Time, registration: &Registration) -> Option<ColdStart> {
        if now >= registration.warm_at {
            return None;
        }
        self.cold_rates.get(&registration.record.service).copied()
    }

    /// Selects a cold upstream that this node may send a request to now. Cold upstreams are
    /// used only here, and only if a slot is free, so that no request queues there.
    fn choose_cold(&mut self, now: Time, request: &Request) -> Option<Registration> {
        let pool = self.pools.of(&request.service);
        if now >= self.pools.warm_at(&request.service) {
            return None;
        }
        let query = self.query(now, request);
        let round = self.round_pool(now, &request.service, &pool);
        for member in round.cold.iter().map(|index| &pool[*index]) {
            let registration = &member.registration;
            let Some(cold_rate) = self.cold_rate(now, registration) else {
                continue;
            };
            let is_free = self.occupancy.total(member.hash) < registration.record.slots;
            let expected = self.expected_time(now, query.work, registration, member.hash);
            let is_in_time = expected <= query.time_left * TIME_LEFT_FRACTION;
            let is_usable =
                self.is_usable(now, &query, member) && !self.is_limited(now, &query, member);
            let until = registration.warm_at;
            if is_free
                && is_in_time
                && is_usable
                && self
                    .cold_starts
                    .may_send(now, member.hash, &cold_rate, until)
            {
                return Some(registration.clone());
            }
        }
        None
    }

    fn choose_holder<'a>(
        &mut self,
        now: Time,
        directory: &'a Directory,
        request: &mut Request,
        key: ShardKey,
    ) -> Result<&'a Registration, RefusalReason> {
        let slice = self
            .assignments
            .get(&request.service)
            .and_then(|assignment| assignment.slice(key));
        let Some(SliceState::Held { holder, .. }) = slice.map(|slice| &slice.state) else {
            return Err(RefusalReason::KeyUnheld);
        };
        let registration = directory.get(holder).ok_or(RefusalReason::KeyUnheld)?;
        let left = self
            .draining_since
            .get(holder)
            .is_some_and(|since| now.since(*since) >= self.config.drain_grace);
        let evacuated = directory
            .evacuated_since(registration)
            .is_some_and(|since| now.since(since) >= self.config.evacuation_grace);
        if left || evacuated {
            return Err(RefusalReason::KeyUnheld);
        }
        if self.is_denied(now, request, holder) {
            return Err(RefusalReason::KeyUnheld);
        }
        let hash = UpstreamHash::of(holder);
        self.check_backoff(now, request, hash)?;
        if self.is_paused(now, hash) {
            return Err(RefusalReason::Busy);
        }
        if let Some(cold_rate) = self.cold_rate(now, registration)
            && !self
                .cold_starts
                .may_send(now, hash, &cold_rate, registration.warm_at)
        {
            return Err(RefusalReason::Busy);
        }
        let query = self.query(now, request);
        let time = self.expected_time(now, query.work, registration, hash);
        let occupied = self.occupancy.total(hash);
        if occupied >= self.max_occupancy(&query, registration, time) {
            return Err(RefusalReason::Busy);
        }
        Ok(registration)
    }

    /// Whether the holder rejected the key under the assignment in force.
    pub(super) fn is_denied(&self, now: Time, request: &Request, holder: &UpstreamId) -> bool {
        request.denied.as_ref().is_some_and(|denial| {
            denial.holder == *holder
                && denial.assignment == self.assignment(request)
                && now < denial.until
        })
    }

    fn choose_any(&mut self, now: Time, request: &mut Request) -> Result<Choice, RefusalReason> {
        let query = self.query(now, request);
        match self.select(now, &query, &request.service) {
            Some(member) => Ok(Choice::Send(member.registration)),
            None if self.pools.of(&request.service).is_empty() => Err(RefusalReason::NoUpstream),
            None => self.choose_limited(now, request),
        }
    }

    /// Selects an upstream with room: among a random sample where that is enough or better, and
    /// among all of them if the sample has no idle one.
    pub(super) fn select(
        &mut self,
        now: Time,
        query: &Query<'_>,
        service: &ServiceName,
    ) -> Option<PoolMember> {
        let pool = self.pools.of(service);
        if let Some(sample) = self.sample(service, &pool) {
            let selected = self.least_cost(now, query, sample.iter());
            if let Some(member) = selected.filter(|member| self.is_idle(member)) {
                return Some(member.clone());
            }
        }
        let round = self.round_pool(now, service, &pool);
        let open = round.open.iter().map(|index| &pool[*index]);
        self.least_cost(now, query, open).cloned()
    }

    /// Whether an upstream has a free slot, as far as known.
    fn is_idle(&self, member: &PoolMember) -> bool {
        self.occupancy.total(member.hash) < member.registration.record.slots
    }

    /// Draws the upstreams that a decision considers first, from the zone of this node if there are
    /// enough; `None` if it considers all.
    ///
    /// A node whose view of the load is old considers few: if it chose the best of all, so would
    /// every other node that knows the same, and they would fill its queue before they learn of
    /// each other. A node with a recent view considers more, since it counts what it sends; it
    /// need not look at thousands to find an idle one.
    fn sample(&mut self, service: &ServiceName, pool: &[PoolMember]) -> Option<Vec<PoolMember>> {
        let size = if self.load_is_recent {
            RECENT_SAMPLE
        } else {
            DELAYED_SAMPLE
        };
        let is_small = self.load_is_recent && pool.len() <= MAX_FULL_SCAN;
        if is_small || pool.len() <= size {
            return None;
        }
        let near = self.pools.near(service);
        let from = if near.len() >= size { &near } else { pool };
        let draws = (0..size).map(|_| from[self.random.random_range(0..from.len())].clone());
        Some(draws.collect())
    }

    /// Whether an upstream may be used as far as its load allows.
    pub(super) fn is_usable(&self, now: Time, query: &Query<'_>, member: &PoolMember) -> bool {
        self.work.examine();
        !self.is_paused(now, member.hash)
            && !query.tried.contains(&member.hash)
            && !self.is_unconfirmed(member)
    }

    /// Whether an upstream advertises a rate limit for which this node has no permit.
    fn is_limited(&self, now: Time, query: &Query<'_>, member: &PoolMember) -> bool {
        let is_named = self.limits.rate(member.hash).is_some();
        is_named && (query.is_for_peer || !self.limits.has_permit(now, member.hash))
    }

    /// Selects the upstream with room that is expected to respond first; an unconfirmed one
    /// only if there is no other.
    pub(super) fn least_cost<'a>(
        &mut self,
        now: Time,
        query: &Query<'_>,
        pool: impl Iterator<Item = &'a PoolMember> + Clone,
    ) -> Option<&'a PoolMember> {
        let start: u64 = self.random.random();
        let is_confirmed = |member: &PoolMember| !self.is_unconfirmed(member);
        let may_be_tried = |member: &PoolMember| {
            self.is_unconfirmed(member) && self.occupancy.own(member.hash) == 0
        };
        self.least_cost_among(now, query, pool.clone(), start, is_confirmed)
            .or_else(|| self.least_cost_among(now, query, pool, start, may_be_tried))
    }

    /// Whether the registration of an upstream is missing and the upstream has not responded
    /// since.
    fn is_unconfirmed(&self, member: &PoolMember) -> bool {
        let missing_since = member.registration.unconfirmed_since;
        missing_since.is_some_and(|since| self.last_answers.get(&member.hash) < Some(&since))
    }

    fn least_cost_among<'a>(
        &self,
        now: Time,
        query: &Query<'_>,
        pool: impl Iterator<Item = &'a PoolMember>,
        start: u64,
        is_eligible: impl Fn(&PoolMember) -> bool,
    ) -> Option<&'a PoolMember> {
        let mut best: Option<(f64, &PoolMember)> = None;
        for member in pool {
            if !is_eligible(member) {
                continue;
            }
            let Some(cost) = self.cost(now, query, member) else {
                continue;
            };
            let cost = cost * (1.0 + COST_JITTER * jitter(start, member.hash));
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, member));
            }
        }
        best.map(|(_, member)| member)
    }

    /// Expected seconds until an upstream responds; `None` if it must not get the request now.
    fn cost(&self, now: Time, query: &Query<'_>, member: &PoolMember) -> Option<f64> {
        self.work.examine();
        let record = &member.registration.record;
        if self.is_paused(now, member.hash) || query.tried.contains(&member.hash) {
            return None;
        }
        if self.cold_rate(now, &member.registration).is_some()
            || self.is_limited(now, query, member)
        {
            return None;
        }
        let occupied = self.occupancy.total(member.hash);
        let mut time = self.expected_time(now, query.work, &member.registration, member.hash);
        if occupied >= self.max_occupancy(query, &member.registration, time) {
            return None;
        }
        if self.slots.is_reported_unreachable(now, member.hash) {
            time *= UNREACHABLE_SLOWNESS;
        }
        let mut cost = time * rounds(occupied, record.slots);
        cost += self.failures.penalty(now, member.hash, query.work);
        if record.zone != self.config.zone {
            cost += self.config.zone_cost.as_secs_f64();
        }
        Some(cost)
    }

    /// Builds the selection criteria for a request.
    pub(super) fn query<'a>(&self, now: Time, request: &'a Request) -> Query<'a> {
        let unknown = request.route.target_latency.as_secs_f64() * DEFAULT_WORK_FRACTION;
        let learned = self.speeds.route_mean(&request.route.name);
        let target = request.arrived + request.route.target_latency;
        // A retrying client gets the whole time up to its deadline instead of the target
        // latency.
        let end = if request.is_client_retry {
            target.max(request.deadline)
        } else {
            target
        };
        Query {
            work: learned.unwrap_or(unknown),
            time_left: end.min(request.deadline).since(now).as_secs_f64(),
            tried: &request.tried,
            is_for_peer: false,
        }
    }

    /// Expected response time of an upstream, in seconds, for a request that takes `mean` on
    /// average.
    pub(super) fn expected_time(
        &self,
        now: Time,
        mean: f64,
        registration: &Registration,
        hash: UpstreamHash,
    ) -> f64 {
        let warming = if now < registration.warm_at {
            WARM_UP_SLOWNESS
        } else {
            1.0
        };
        mean * self.speeds.slowness(hash) * warming
    }

    /// Number of requests that may be in flight at an upstream before this one is sent, so that
    /// it is still answered in time.
    fn max_occupancy(&self, query: &Query<'_>, registration: &Registration, expected: f64) -> u32 {
        let slots = registration.record.slots.max(1);
        let left = query.time_left * TIME_LEFT_FRACTION;
        let rounds = ((left - expected) / expected.max(1e-3)).max(0.0);
        let queued = (rounds * f64::from(slots)) as u32;
        slots + queued.min(self.config.max_queued)
    }

    /// Upstreams at which recent attempts failed.
    pub(super) fn unreachable_upstreams(&self, now: Time) -> impl Iterator<Item = UpstreamHash> {
        let health = self.health.iter();
        let failed =
            health.filter(move |(_, health)| health.failures > 0 && now < health.paused_until);
        failed.map(|(upstream, _)| *upstream)
    }

    pub(super) fn is_paused(&self, now: Time, upstream: UpstreamHash) -> bool {
        let health = self.health.get(&upstream);
        let failed = health.is_some_and(|health| now < health.paused_until);
        failed || self.is_backed_off(now, upstream) || self.lacks_gateway(now, upstream)
    }

    /// The assignment that a keyed request is routed by.
    pub(super) fn assignment(&self, request: &Request) -> Option<AssignmentNumber> {
        let key = request.key?;
        let number = self.assignments.get(&request.service)?.part(key)?.number;
        Some(AssignmentNumber {
            epoch: number.epoch.0,
            sequence: number.sequence,
        })
    }
}
