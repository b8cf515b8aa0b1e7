//! Which upstream gets a request now.

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
    pub(super) fn choose<'a>(
        &mut self,
        now: Time,
        directory: &'a Directory,
        request: &Request,
    ) -> Result<&'a Registration, RefusalReason> {
        match request.key {
            Some(key) => self.choose_holder(now, directory, request, key),
            None => self.choose_any(now, directory, request),
        }
    }

    pub(super) fn choose_holder<'a>(
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
        if self.is_paused(now, holder) {
            return Err(RefusalReason::Busy);
        }
        let hash = UpstreamHash::of(holder);
        let time = self.expected(now, request, registration, hash);
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

    pub(super) fn choose_any<'a>(
        &mut self,
        now: Time,
        directory: &'a Directory,
        request: &Request,
    ) -> Result<&'a Registration, RefusalReason> {
        let mut best: Option<(f64, &Registration)> = None;
        let mut any = false;
        let start = self.draw();
        for (index, registration) in directory.ready(&request.service).enumerate() {
            any = true;
            let record = &registration.record;
            if self.is_paused(now, &record.id) || request.tried.contains(&record.id) {
                continue;
            }
            let hash = UpstreamHash::of(&record.id);
            let occupied = self.occupancy.total(hash);
            let time = self.expected(now, request, registration, hash);
            if occupied >= self.room(now, request, registration, time) {
                continue;
            }
            let rounds = f64::from(occupied + 1) / f64::from(record.slots.max(1));
            let mut cost = time * rounds.max(1.0);
            if record.zone != self.config.zone {
                cost += self.config.zone_cost.as_secs_f64();
            }
            // Equal ones are told apart by chance, so that nodes differ.
            cost *= 1.0 + 0.02 * (((start >> (index % 32)) & 7) as f64 / 7.0);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, registration));
            }
        }
        match best {
            Some((_, registration)) => Ok(registration),
            None if any => Err(RefusalReason::Busy),
            None => Err(RefusalReason::NoUpstream),
        }
    }

    /// Seconds of work that a request is likely to be at an upstream.
    pub(super) fn expected(
        &self,
        now: Time,
        request: &Request,
        registration: &Registration,
        hash: UpstreamHash,
    ) -> f64 {
        let mean = self
            .speeds
            .route_mean(&request.route.name)
            .unwrap_or(request.route.target_latency.as_secs_f64() * UNKNOWN_WORK_SHARE);
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
    pub(super) fn room(
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

    pub(super) fn is_paused(&self, now: Time, id: &UpstreamId) -> bool {
        self.health
            .get(id)
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
