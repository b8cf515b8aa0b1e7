//! Orders to upstreams and the replies.

use super::World;
use super::network::{Event, Run};
use super::upstreams::{PendingRelease, index_of};
use crate::event_log::LoggedEvent;
use crate::fault::UpstreamPartition;
use beamtray_emulator::Delivery;
use beamtray_router::core::{GRANT_TIMEOUT, OrderTask};
use beamtray_sharding::{CallId, GrantOrder, GrantReply, OrderKind};
use std::time::Duration;

/// Time until a connection is refused.
const REFUSAL_DELAY: Duration = Duration::from_millis(2);
/// Time for which a node waits for the response to a release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Percentage of unanswered orders that are carried out late; the others are carried out at
/// once.
const LATE_PERCENT: u32 = 50;

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
        let Some(index) = index else {
            return self.order_answered(Duration::ZERO, pending, GrantReply::NoAddress);
        };
        let is_up = self.upstreams[index].is_some();
        if !is_up && !self.upstream_state[index].dark {
            // No process listens there: the kernel resets existing connections and refuses new
            // ones.
            self.forget_connections(node, run, index);
            return self.order_answered(REFUSAL_DELAY, pending, GrantReply::Refused);
        }
        if is_up && self.is_order_refused(node, run, index) {
            self.forget_connections(node, run, index);
            let holder = pending.order.holder.clone();
            self.connection_failed(node, run, index, &holder, REFUSAL_DELAY);
            return self.order_answered(REFUSAL_DELAY, pending, GrantReply::Refused);
        }
        if !is_up || !self.reaches(node, index) {
            return self.order_lost(index, timeout, pending);
        }
        let delivery = self.delivery(node, index);
        let percent = self.orders_late_percent;
        let unanswered = percent > 0 && self.chance(percent);
        if unanswered && self.chance(LATE_PERCENT) {
            let delay = self.millis(2_000, 12_000);
            let order = pending.order.clone();
            self.event_log.add(self.now, || LoggedEvent::OrderDelayed {
                order: order.clone(),
                delay,
            });
            let delivery = Delivery {
                is_late: true,
                ..delivery
            };
            let event = Event::LateOrder {
                index,
                order,
                delivery,
            };
            self.schedule(delay, event);
            self.forget_connections(node, run, index);
            return self.order_answered(timeout, pending, GrantReply::InDoubt);
        }
        if unanswered {
            self.forget_connections(node, run, index);
            self.take_order(index, &pending.order, delivery);
            return self.order_answered(timeout, pending, GrantReply::InDoubt);
        }
        self.order_came_through(node, run, index);
        self.carry_out(index, pending, delivery, true);
    }

    /// Whether a partition refuses the connection of an order.
    fn is_order_refused(&self, node: usize, run: Run, index: usize) -> bool {
        match self.nodes[node].upstream_partition {
            Some(UpstreamPartition::Reset) => true,
            Some(UpstreamPartition::Refused) => {
                let link = self.link(node, run, index);
                !self.links.has_idle(self.now, link)
            }
            Some(UpstreamPartition::Silent) | None => false,
        }
    }

    /// Carries out an order at an upstream and replies if the sender still waits.
    pub(super) fn carry_out(
        &mut self,
        index: usize,
        pending: PendingRelease,
        delivery: Delivery,
        is_waited_for: bool,
    ) {
        let reply = self.take_order(index, &pending.order, delivery);
        if !is_waited_for {
            return;
        }
        match reply {
            Some(reply) => self.order_answered(Duration::from_millis(2), pending, reply),
            None => {
                let call = pending.order.call;
                self.upstream_state[index].releases.insert(call.0, pending);
                self.schedule(RELEASE_TIMEOUT, Event::ReleaseTimeout { index, call });
            }
        }
    }

    fn take_order(
        &mut self,
        index: usize,
        order: &GrantOrder,
        delivery: Delivery,
    ) -> Option<GrantReply> {
        let now = self.now;
        let upstream = self.upstreams[index].as_mut()?;
        let reply = upstream.deliver_order(now, order, delivery);
        self.ownership_costs.orders += 1;
        self.event_log.add(now, || LoggedEvent::OrderExecuted {
            upstream: upstream.config.id.clone(),
            order: order.clone(),
            is_late: delivery.is_late,
            reply: reply.clone(),
        });
        if reply == Some(GrantReply::Granted) {
            self.check_taken(index, order, delivery);
        }
        reply
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

    pub(super) fn late_order(&mut self, index: usize, order: &GrantOrder, delivery: Delivery) {
        self.take_order(index, order, delivery);
    }

    pub(super) fn release_timeout(&mut self, index: usize, call: CallId) {
        let pending = self.upstream_state[index].releases.remove(&call.0);
        if let Some(pending) = pending {
            self.order_answered(Duration::ZERO, pending, GrantReply::Unanswered);
        }
    }
}
