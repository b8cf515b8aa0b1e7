//! Orders to upstreams and their answers.

use super::World;
use super::network::{Event, Run};
use super::upstreams::{PendingRelease, index_of};
use crate::check::OVERLAP;
use beamtray_catalog::UpstreamId;
use beamtray_router::core::{GRANT_TIMEOUT, OrderTask};
use beamtray_sharding::{CallId, GrantOrder, GrantReply, OrderKind};
use std::time::Duration;

/// How long it waits for the answer to a release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Part of the unanswered orders that are taken late, in percent; the others
/// are taken at once.
const LATE: u32 = 50;

impl World {
    pub(super) fn order_arrives(&mut self, node: usize, run: Run, task: OrderTask, epoch: u64) {
        let index = task.address.and_then(index_of);
        let service = task.service.clone();
        let order = task.order;
        let timeout = match order.kind {
            OrderKind::Grant { .. } => GRANT_TIMEOUT,
            OrderKind::Release => RELEASE_TIMEOUT,
        };
        let pending = PendingRelease {
            node,
            run,
            service,
            order,
            epoch,
        };
        let Some(index) = index.filter(|index| self.upstreams[*index].is_some()) else {
            return self.order_answered(timeout, pending, GrantReply::Unanswered);
        };
        if !self.reaches(node, index) {
            return self.order_answered(timeout, pending, GrantReply::Unanswered);
        }
        let percent = self.orders_late_percent;
        let unanswered = percent > 0 && self.chance(percent);
        if unanswered && self.chance(LATE) {
            let delay = self.millis(2_000, 12_000);
            let order = pending.order.clone();
            self.schedule(delay, Event::LateOrder { index, order });
            return self.order_answered(timeout, pending, GrantReply::Unanswered);
        }
        let now = self.now;
        let Some(upstream) = &mut self.upstreams[index] else {
            return;
        };
        let reply = upstream.order(now, &pending.order);
        if reply == Some(GrantReply::Granted) {
            self.check_taken(index, &pending.order);
        }
        if unanswered {
            return self.order_answered(timeout, pending, GrantReply::Unanswered);
        }
        match reply {
            Some(reply) => self.order_answered(Duration::from_millis(2), pending, reply),
            None => {
                let call = pending.order.call;
                self.upstream_state[index].releases.insert(call.0, pending);
                self.schedule(timeout, Event::ReleaseTimeout { index, call });
            }
        }
    }

    /// No other upstream may hold what was just taken.
    pub(super) fn check_taken(&mut self, index: usize, order: &GrantOrder) {
        let now = self.now;
        let holders = self
            .upstreams
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index);
        let others: Vec<UpstreamId> = holders
            .filter_map(|(_, other)| other.as_ref())
            .filter(|other| {
                other.grants(now).any(|grant| {
                    let lasts = grant.ends.since(now) > OVERLAP;
                    lasts && !grant.is_late && grant.range.overlaps(order.range)
                })
            })
            .map(|other| other.config.id.clone())
            .collect();
        for other in others {
            self.checkers.taken_twice(now, &order.holder, &other);
        }
    }

    pub(super) fn order_answered(
        &mut self,
        after: Duration,
        pending: PendingRelease,
        reply: GrantReply,
    ) {
        if matches!(reply, GrantReply::Released(_)) {
            self.release_count += 1;
        }
        self.schedule(
            after,
            Event::OrderAnswers {
                node: pending.node,
                run: pending.run,
                service: pending.service,
                order: pending.order,
                epoch: pending.epoch,
                reply,
            },
        );
    }

    pub(super) fn late_order(&mut self, index: usize, order: &GrantOrder) {
        let now = self.now;
        if let Some(upstream) = &mut self.upstreams[index] {
            upstream.late_order(now, order);
        }
    }

    pub(super) fn release_timeout(&mut self, index: usize, call: CallId) {
        let pending = self.upstream_state[index].releases.remove(&call.0);
        if let Some(pending) = pending {
            self.order_answered(Duration::ZERO, pending, GrantReply::Unanswered);
        }
    }
}
