//! Which upstream gets a request now.

use super::pools::Seat;
use super::{Dispatcher, Request};
use crate::report::UpstreamHash;
use crate::request::{AssignmentNumber, RefusalReason};
use beamtray_catalog::{Directory, Registration, UpstreamId};
use beamtray_sharding::{ShardKey, SliceState};
use beamtray_types::Time;

/// Part of the time left that likely work may take.
const TARGET_SHARE: f64 = 0.85;
/// Part of a route's target latency that its work takes while nothing is
/// learned.
const UNKNOWN_WORK_SHARE: f64 = 0.33;
/// How much slower an upstream is that has just started.
const WARMING_SLOWNESS: f64 = 2.0;

impl Dispatcher {
    pub(super) fn choose(
        &mut self,
        now: Time,
        directory: &Directory,
        request: &Request,
    ) -> Result<Registration, RefusalReason> {
        match request.key {
            Some(key) => self.choose_holder(now, directory, request, key).cloned(),
            None => self.choose_any(now, request),
        }
    }

    fn choose_holder<'a>(
        &self,
        now: Time,
        directory: &'a Directory,
        request: &Request,
        key: ShardKey,
    ) -> Result<&'a Registration, RefusalReason> {
        let slice = self
            .assignments
            .get(&request.service)
            .and_then(|record| record.slice(key));
        let Some(SliceState::Held { holder, .. }) = slice.map(|slice| &slice.state) else {
            return Err(RefusalReason::KeyUnheld);
        };
        let registration = directory.get(holder).ok_or(RefusalReason::KeyUnheld)?;
        let left = self
            .draining_since
            .get(holder)
            .is_some_and(|since| now.since(*since) >= self.config.leaver_grace);
        if left {
            return Err(RefusalReason::KeyUnheld);
        }
        if self.is_denied(now, request, holder) {
            return Err(RefusalReason::KeyUnheld);
        }
        let hash = UpstreamHash::of(holder);
        if self.is_paused(now, hash) {
            return Err(RefusalReason::Busy);
        }
        let time = self.expected(now, self.mean_work(request), registration, hash);
        let occupied = self.occupancy.total(hash);
        if occupied >= self.room(now, request, registration, time) {
            return Err(RefusalReason::Busy);
        }
        Ok(registration)
    }

    /// Whether the holder denied the key under the assignment in force.
    pub(super) fn is_denied(&self, now: Time, request: &Request, holder: &UpstreamId) -> bool {
        request.denied.as_ref().is_some_and(|denial| {
            denial.holder == *holder
                && denial.assignment == self.assignment(request)
                && now < denial.until
        })
    }

    fn choose_any(&mut self, now: Time, request: &Request) -> Result<Registration, RefusalReason> {
        let pool = self.pools.of(&request.service);
        let start = self.draw();
        let work = self.mean_work(request);
        let mut best: Option<(f64, &Seat)> = None;
        for (index, seat) in pool.iter().enumerate() {
            let Some(cost) = self.cost(now, request, work, seat) else {
                continue;
            };
            // Equal ones are told apart by chance, so that nodes differ.
            let cost = cost * (1.0 + 0.02 * (((start >> (index % 32)) & 7) as f64 / 7.0));
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, seat));
            }
        }
        match best {
            Some((_, seat)) => Ok(seat.registration.clone()),
            None if pool.is_empty() => Err(RefusalReason::NoUpstream),
            None => Err(RefusalReason::Busy),
        }
    }

    /// Seconds until an upstream is likely to have answered; `None` if it is not
    /// to get the request now.
    fn cost(&self, now: Time, request: &Request, work: f64, seat: &Seat) -> Option<f64> {
        let record = &seat.registration.record;
        if self.is_paused(now, seat.hash) || request.tried.contains(&record.id) {
            return None;
        }
        let occupied = self.occupancy.total(seat.hash);
        let time = self.expected(now, work, &seat.registration, seat.hash);
        if occupied >= self.room(now, request, &seat.registration, time) {
            return None;
        }
        let rounds = f64::from(occupied + 1) / f64::from(record.slots.max(1));
        let mut cost = time * rounds.max(1.0);
        if record.zone != self.config.zone {
            cost += self.config.zone_cost.as_secs_f64();
        }
        Some(cost)
    }

    /// Seconds that a request of this kind takes on average.
    fn mean_work(&self, request: &Request) -> f64 {
        let unknown = request.route.target_latency.as_secs_f64() * UNKNOWN_WORK_SHARE;
        let learned = self.speeds.route_mean(&request.route.name);
        learned.unwrap_or(unknown)
    }

    /// Seconds that a request which takes `mean` on average is likely to be at an
    /// upstream.
    fn expected(
        &self,
        now: Time,
        mean: f64,
        registration: &Registration,
        hash: UpstreamHash,
    ) -> f64 {
        let warming = if now < registration.warm_at {
            WARMING_SLOWNESS
        } else {
            1.0
        };
        mean * self.speeds.slowness(hash) * warming
    }

    /// Requests that an upstream may have before this one is sent there: as
    /// many as let it still be answered in time. One that has come back is to
    /// be answered at all.
    fn room(
        &self,
        now: Time,
        request: &Request,
        registration: &Registration,
        expected: f64,
    ) -> u32 {
        let slots = registration.record.slots.max(1);
        let target = request.arrived + request.route.target_latency;
        let end = if request.returned {
            target.max(request.deadline)
        } else {
            target
        };
        let left = end.min(request.deadline).since(now).as_secs_f64() * TARGET_SHARE;
        let rounds = ((left - expected) / expected.max(1e-3)).max(0.0);
        let queued = (rounds * f64::from(slots)) as u32;
        slots + queued.min(self.config.most_queued)
    }

    fn is_paused(&self, now: Time, upstream: UpstreamHash) -> bool {
        self.health
            .get(&upstream)
            .is_some_and(|health| now < health.paused_until)
    }

    /// The assignment that a keyed request is sent by.
    pub(super) fn assignment(&self, request: &Request) -> Option<AssignmentNumber> {
        request.key?;
        let record = self.assignments.get(&request.service)?;
        Some(AssignmentNumber {
            epoch: record.epoch.0,
            sequence: record.sequence,
        })
    }
}
