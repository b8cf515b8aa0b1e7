//! Links between nodes and upstreams, and orders that were written to them.
//!
//! What is written to a connection is the kernel's: it sends the bytes again until they are
//! acknowledged, also over a cut, and also after the sender has closed the connection in
//! the ordinary way. So an order may come to its upstream seconds after it was given up.
//! Only a reset by the sender, or the loss of its machine's power, ends that.

use super::World;
use super::network::{Event, Run};
use super::upstreams::{CONNECT_TIMEOUT, PendingRelease};
use crate::fault::CutFrom;
use beamtray_emulator::Delivery;
use beamtray_sharding::GrantReply;
use beamtray_types::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long after it was written an unacknowledged packet is sent again; each further
/// wait is twice as long. The least that Linux takes (`TCP_RTO_MIN`).
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
/// How long a connection that an answer came on is used again: half of the rest that
/// upstreams allow.
const REST: Duration = Duration::from_millis(1_500);
/// Connections that a node keeps to one upstream.
const KEPT: usize = 4;
/// For so long after its sender ran again or its link was whole again, a grant that
/// arrives does not tell against the router: it could not know better.
const AFTER_TROUBLE: Duration = Duration::from_millis(300);
/// Before a process that stands still is looked at again.
const STANDSTILL: Duration = Duration::from_millis(10);

/// What a node's shell does with the connection of an order that it gives up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GiveUp {
    /// It closes it in the ordinary way: what was written goes on being sent, also after
    /// the process was killed.
    #[default]
    Close,
    /// It resets it, and so does the kernel when the process is killed: what was not
    /// acknowledged is dropped.
    Reset,
}

/// One run of a node's process and one incarnation of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    node: usize,
    run: Run,
    index: usize,
    incarnation: u64,
}

/// A connection that rests.
#[derive(Clone, Copy, Debug)]
struct Resting {
    since: Time,
    until: Time,
}

/// An order that a node waits for, by the run that gave it and its call.
type OpenOrder = (usize, Run, u64);

/// What the world knows of connections for orders.
#[derive(Clone, Debug, Default)]
pub(crate) struct Links {
    resting: BTreeMap<Link, Vec<Resting>>,
    /// Orders whose packets were lost and whose answers are still waited for.
    open: BTreeSet<OpenOrder>,
}

impl Links {
    /// Takes a connection that rests.
    fn take(&mut self, now: Time, link: Link) -> bool {
        let Some(resting) = self.resting.get_mut(&link) else {
            return false;
        };
        resting.retain(|one| now < one.until);
        let free = resting.iter().position(|one| one.since <= now);
        free.is_some_and(|free| {
            resting.swap_remove(free);
            true
        })
    }

    fn keep(&mut self, since: Time, link: Link) {
        let resting = self.resting.entry(link).or_default();
        if resting.len() < KEPT {
            let until = since + REST;
            resting.push(Resting { since, until });
        }
    }
}

/// An order whose packets are sent again and again.
#[derive(Clone, Debug)]
pub(crate) struct WrittenOrder {
    link: Link,
    /// Starts of the node's machine when it was written.
    boot: u64,
    pending: PendingRelease,
    /// Before it is sent again after the next time.
    wait: Duration,
}

impl WrittenOrder {
    fn open(&self) -> OpenOrder {
        (self.link.node, self.link.run, self.pending.order.call.0)
    }
}

impl World {
    fn link(&self, node: usize, run: Run, index: usize) -> Link {
        Link {
            node,
            run,
            index,
            incarnation: self.upstream_state[index].incarnation,
        }
    }

    /// Whether a node's packets come to an upstream.
    pub(super) fn reaches(&self, node: usize, index: usize) -> bool {
        let state = &self.upstream_state[index];
        let only = state.reached_from;
        let cut = match &state.unreached_from {
            Some(CutFrom::Everything) => true,
            Some(CutFrom::Nodes(nodes)) => nodes.contains(&node),
            None => false,
        };
        !cut && only.is_none_or(|only| only == node)
    }

    /// An order comes to its upstream, on a connection that may be used again.
    pub(super) fn order_came_through(&mut self, node: usize, run: Run, index: usize) {
        let link = self.link(node, run, index);
        let now = self.now;
        self.links.take(now, link);
        // The answer is back by then.
        self.links.keep(now + Duration::from_millis(2), link);
    }

    /// The answer to an order doesn't come: the other connections may be as dead.
    pub(super) fn forget_connections(&mut self, node: usize, run: Run, index: usize) {
        let link = self.link(node, run, index);
        self.links.resting.remove(&link);
    }

    /// An order's packets are lost. It is written only if a connection rests: a new one
    /// does not come up.
    pub(super) fn order_lost(&mut self, index: usize, timeout: Duration, pending: PendingRelease) {
        let link = self.link(pending.node, pending.run, index);
        if !self.links.take(self.now, link) {
            return self.order_answered(CONNECT_TIMEOUT, pending, GrantReply::Undelivered);
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

    /// The time is over for which a node waits for the answer to an order.
    pub(super) fn order_given_up(&mut self, order: Box<WrittenOrder>) {
        let link = order.link;
        let slot = &self.nodes[link.node];
        if slot.run == link.run && slot.frozen {
            // A process that stands still closes nothing.
            return self.schedule(STANDSTILL, Event::OrderGivenUp { order });
        }
        if self.links.open.remove(&order.open()) {
            self.links.resting.remove(&link);
            self.order_answered(Duration::ZERO, order.pending, GrantReply::Unanswered);
        }
    }

    /// Packets of an order are sent once more.
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

    /// Whether nobody sends the order again, or nobody knows its connection any more.
    fn is_dropped(&self, order: &WrittenOrder) -> bool {
        let link = order.link;
        let slot = &self.nodes[link.node];
        let lost_power = slot.boot != order.boot;
        let is_killed = slot.run != link.run;
        let is_given_up = is_killed || !self.links.open.contains(&order.open());
        let is_reset = is_given_up && self.config.give_up == GiveUp::Reset;
        let state = &self.upstream_state[link.index];
        let is_unknown =
            state.incarnation != link.incarnation || self.upstreams[link.index].is_none();
        lost_power || is_reset || is_unknown
    }

    /// How an order comes that arrives now.
    pub(super) fn delivery(&self, node: usize, index: usize) -> Delivery {
        let just = |at: Option<Time>| at.is_some_and(|at| self.now.since(at) < AFTER_TROUBLE);
        let ran_again = just(self.nodes[node].thawed_at);
        Delivery {
            is_late: false,
            is_after_recovery: ran_again || just(self.upstream_state[index].healed_at),
        }
    }
}
