//! Links between nodes and upstreams, and orders written to them.
//!
//! Data written to a connection belongs to the kernel, which retransmits it until it is
//! acknowledged, also across a partition and after the sender has closed the connection
//! normally. An order may therefore reach its upstream seconds after the sender has given up on
//! it. Only a reset by the sender or a power loss of its machine ends the retransmission.

use super::World;
use super::network::{Event, Run};
use super::upstreams::{CONNECT_TIMEOUT, PendingRelease};
use crate::fault::{CutFrom, UpstreamPartition};
use beamtray_emulator::Delivery;
use beamtray_sharding::GrantReply;
use beamtray_types::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Delay of the first retransmission of an unacknowledged packet; each further delay is twice
/// as long. This is the minimum on Linux (`TCP_RTO_MIN`).
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
/// Time for which an idle connection is reused after a response: half of the idle timeout of
/// upstreams.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum idle connections from a node to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Time after its sender resumed or its link was restored during which an arriving grant does
/// not count against the router, which cannot know better yet.
const RECOVERY_GRACE: Duration = Duration::from_millis(300);
/// Interval at which a paused process is checked again.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How a node's shell closes the connection of an order that timed out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CloseMode {
    /// Normal close: the kernel keeps retransmitting written data, also after the process has
    /// been killed.
    #[default]
    Close,
    /// Reset, also by the kernel when the process is killed: unacknowledged data is dropped.
    Reset,
}

/// Link between one run of a node's process and one incarnation of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    node: usize,
    run: Run,
    index: usize,
    incarnation: u64,
}

/// An idle connection.
#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    since: Time,
    until: Time,
}

/// An order awaiting its response: the node, the run that sent it and the call.
type OpenOrder = (usize, Run, u64);

/// State of the connections for orders.
#[derive(Clone, Debug, Default)]
pub(crate) struct Links {
    idle: BTreeMap<Link, Vec<IdleConnection>>,
    /// Orders whose packets were lost and whose responses are still awaited.
    open: BTreeSet<OpenOrder>,
}

impl Links {
    /// Takes an idle connection, if there is one.
    fn take(&mut self, now: Time, link: Link) -> bool {
        let Some(idle) = self.idle.get_mut(&link) else {
            return false;
        };
        idle.retain(|one| now < one.until);
        let free = idle.iter().position(|one| one.since <= now);
        free.is_some_and(|free| {
            idle.swap_remove(free);
            true
        })
    }

    /// Whether there is an idle connection.
    pub(super) fn has_idle(&self, now: Time, link: Link) -> bool {
        let idle = self.idle.get(&link).into_iter().flatten();
        idle.into_iter()
            .any(|one| one.since <= now && now < one.until)
    }

    fn keep(&mut self, since: Time, link: Link) {
        let idle = self.idle.entry(link).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            let until = since + IDLE_TIMEOUT;
            idle.push(IdleConnection { since, until });
        }
    }
}

/// An order whose packets are being retransmitted.
#[derive(Clone, Debug)]
pub(crate) struct WrittenOrder {
    link: Link,
    /// Boot count of the node's machine when the order was written.
    boot: u64,
    pending: PendingRelease,
    /// Delay between the next retransmission and the one after it.
    wait: Duration,
}

impl WrittenOrder {
    fn open(&self) -> OpenOrder {
        (self.link.node, self.link.run, self.pending.order.call.0)
    }
}

impl World {
    pub(super) fn link(&self, node: usize, run: Run, index: usize) -> Link {
        Link {
            node,
            run,
            index,
            incarnation: self.upstream_state[index].incarnation,
        }
    }

    /// Whether packets from a node reach an upstream.
    pub(super) fn reaches(&self, node: usize, index: usize) -> bool {
        let state = &self.upstream_state[index];
        let only = state.reached_from;
        let cut = match &state.unreached_from {
            Some(CutFrom::Everything) => true,
            Some(CutFrom::Nodes(nodes)) => nodes.contains(&node),
            None => false,
        };
        let is_partitioned = matches!(
            self.nodes[node].upstream_partition,
            Some(UpstreamPartition::Silent | UpstreamPartition::Reset)
        );
        !cut && !is_partitioned && only.is_none_or(|only| only == node)
    }

    /// Keeps the connection of a delivered order for reuse.
    pub(super) fn order_came_through(&mut self, node: usize, run: Run, index: usize) {
        let link = self.link(node, run, index);
        let now = self.now;
        self.links.take(now, link);
        // The response has arrived by then.
        self.links.keep(now + Duration::from_millis(2), link);
    }

    /// Drops the idle connections after an unanswered order, because they may be dead too.
    pub(super) fn forget_connections(&mut self, node: usize, run: Run, index: usize) {
        let link = self.link(node, run, index);
        self.links.idle.remove(&link);
    }

    /// Handles an order whose packets are lost. It is written only to an idle connection,
    /// because a new one cannot be established.
    pub(super) fn order_lost(&mut self, index: usize, timeout: Duration, pending: PendingRelease) {
        let link = self.link(pending.node, pending.run, index);
        if !self.links.take(self.now, link) {
            let holder = pending.order.holder.clone();
            let after = CONNECT_TIMEOUT;
            self.connection_failed(pending.node, pending.run, index, &holder, after);
            return self.order_answered(after, pending, GrantReply::Undelivered);
        }
        let written = WrittenOrder {
            link,
            boot: self.nodes[link.node].boot,
            pending,
            wait: FIRST_RETRANSMISSION,
        };
        self.links.open.insert(written.open());
        let order = Box::new(written.clone());
        self.schedule(timeout, Event::OrderGivenUp { order });
        let order = Box::new(written);
        self.schedule(FIRST_RETRANSMISSION, Event::OrderSentAgain { order });
    }

    /// Handles the timeout of an order at its node.
    pub(super) fn order_given_up(&mut self, order: Box<WrittenOrder>) {
        let link = order.link;
        let slot = &self.nodes[link.node];
        if slot.run == link.run && slot.frozen {
            // A paused process does not close its connections.
            return self.schedule(FROZEN_POLL_INTERVAL, Event::OrderGivenUp { order });
        }
        if self.links.open.remove(&order.open()) {
            self.links.idle.remove(&link);
            let holder = order.pending.order.holder.clone();
            self.connection_failed(link.node, link.run, link.index, &holder, Duration::ZERO);
            self.order_answered(Duration::ZERO, order.pending, GrantReply::Unanswered);
        }
    }

    /// Retransmits the packets of an order.
    pub(super) fn order_sent_again(&mut self, mut order: Box<WrittenOrder>) {
        let link = order.link;
        if self.is_dropped(&order) {
            return;
        }
        let is_suspended = self.nodes[link.node].is_suspended();
        if is_suspended || !self.reaches(link.node, link.index) {
            order.wait *= 2;
            return self.schedule(order.wait, Event::OrderSentAgain { order });
        }
        let is_waited_for = self.links.open.remove(&order.open());
        let delivery = Delivery {
            is_late: true,
            ..self.delivery(link.node, link.index)
        };
        self.carry_out(link.index, order.pending, delivery, is_waited_for);
    }

    /// Whether the order is no longer retransmitted, or its connection no longer exists at the
    /// receiver.
    fn is_dropped(&self, order: &WrittenOrder) -> bool {
        let link = order.link;
        let slot = &self.nodes[link.node];
        let lost_power = slot.boot != order.boot;
        let is_killed = slot.run != link.run;
        let is_given_up = is_killed || !self.links.open.contains(&order.open());
        let is_reset = is_given_up && self.config.close_mode == CloseMode::Reset;
        let state = &self.upstream_state[link.index];
        let is_unknown =
            state.incarnation != link.incarnation || self.upstreams[link.index].is_none();
        lost_power || is_reset || is_unknown
    }

    /// Delivery properties of an order that arrives now.
    pub(super) fn delivery(&self, node: usize, index: usize) -> Delivery {
        let just = |at: Option<Time>| at.is_some_and(|at| self.now.since(at) < RECOVERY_GRACE);
        let ran_again = just(self.nodes[node].thawed_at);
        Delivery {
            is_late: false,
            is_after_recovery: ran_again
                || just(self.upstream_state[index].healed_at)
                || just(self.nodes[node].partition_ended),
        }
    }
}
