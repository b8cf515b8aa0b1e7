//! The processor time of nodes: what a node does takes time, and its inputs wait meanwhile.
//!
//! Without it a node decides any number of times at one moment, and a decision whose cost grows with
//! the deployment, or that is made again and again, delays nothing.

use super::World;
use super::network::{Event, Run};
use beamtray_router::core::{Input, NodeCore};
use beamtray_types::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of inputs beyond which datagrams get lost, since they don't fit into the receive buffer.
const RECEIVE_BUFFER: usize = 512;
/// Number of inputs whose time a node takes to pass on a request and its response: the request
/// and the response for each of two connections.
const INPUTS_OF_TUNNEL: u32 = 4;

/// Time that the work of a node takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessorCosts {
    /// Time for an input.
    pub input: Duration,
    /// Further time for each upstream, or node on the way to it, that a decision examines.
    pub examined: Duration,
    /// Further time for each slice that a granter checks for due orders.
    pub checked: Duration,
}

impl ProcessorCosts {
    /// What the work of a node takes on a tenth of a core.
    pub const TENTH_OF_A_CORE: Self = Self {
        input: Duration::from_micros(500),
        examined: Duration::from_micros(3),
        checked: Duration::ZERO,
    };
    /// The same with the checks of a granter for due orders.
    pub const TENTH_WITH_CHECKS: Self = Self {
        checked: Duration::from_micros(10),
        ..Self::TENTH_OF_A_CORE
    };
}

/// What an input had a node examine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Examined {
    /// Upstreams, or nodes on the way to them, for decisions on requests.
    pub upstreams: u64,
    /// Slices, for orders that are due.
    pub slices: u64,
}

impl Examined {
    /// All that a core has examined so far.
    pub fn by(core: &NodeCore) -> Self {
        let (_, control, dispatcher) = core.inspect();
        Self {
            upstreams: dispatcher.decision_work().examined,
            slices: control.order_check_work().slices,
        }
    }

    /// What was examined since.
    pub fn since(self, before: Self) -> Self {
        Self {
            upstreams: self.upstreams - before.upstreams,
            slices: self.slices - before.slices,
        }
    }
}

/// What waits until the processor of a node is free.
pub(super) enum Pending {
    Input(Input),
    /// The end of an attempt, whose response also has to be passed on to the client.
    AttemptEnd(Event),
}

/// The processor of a node.
#[derive(Default)]
pub(crate) struct Processor {
    busy_until: Time,
    pending: VecDeque<Pending>,
    /// When the core's next decision is due, if that is scheduled.
    wake_at: Option<Time>,
    /// Time for which it was busy.
    pub spent: Duration,
}

impl Processor {
    /// Whether work that arrives now has to wait.
    pub fn is_busy(&self, now: Time) -> bool {
        now < self.busy_until
    }

    pub(super) fn push(&mut self, pending: Pending) {
        let is_datagram = matches!(pending, Pending::Input(Input::Datagram(..)));
        if !is_datagram || self.pending.len() < RECEIVE_BUFFER {
            self.pending.push_back(pending);
        }
    }

    fn is_woken_before(&self, at: Time) -> bool {
        self.wake_at.is_some_and(|wake_at| wake_at <= at)
    }
}

impl World {
    /// Counts the time for an input, and schedules what the core does next.
    pub(super) fn processed(&mut self, node: usize, run: Run, examined: Examined) {
        let Some(costs) = self.config.processor else {
            return;
        };
        let now = self.now;
        let slot = &mut self.nodes[node];
        let took = costs.input
            + costs.examined * examined.upstreams as u32
            + costs.checked * examined.slices as u32;
        slot.processor.spent += took;
        slot.processor.busy_until = now + took;
        let due = slot.core.as_ref().and_then(|core| core.next_due());
        self.schedule(took, Event::ProcessorFree { node, run });
        let Some(due) = due else {
            return;
        };
        let wake_at = due.max(now + took);
        let processor = &mut self.nodes[node].processor;
        if !processor.is_woken_before(wake_at) {
            processor.wake_at = Some(wake_at);
            self.schedule(wake_at.since(now), Event::DecisionDue { node, run });
        }
    }

    /// Counts the time for a request that a node passes on for another one.
    pub(super) fn passed_on(&mut self, gateway: usize) {
        let Some(costs) = self.config.processor else {
            return;
        };
        let now = self.now;
        let slot = &mut self.nodes[gateway];
        let took = costs.input * INPUTS_OF_TUNNEL;
        let busy_until = slot.processor.busy_until.max(now) + took;
        slot.processor.spent += took;
        slot.processor.busy_until = busy_until;
        let run = slot.run;
        let event = Event::ProcessorFree { node: gateway, run };
        self.schedule(busy_until.since(now), event);
    }

    /// Goes on with what waited for the processor of a node.
    pub(super) fn processor_free(&mut self, node: usize, run: Run) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        if slot.run != run || now < slot.processor.busy_until {
            return;
        }
        match slot.processor.pending.pop_front() {
            Some(Pending::Input(input)) => self.input_now(node, run, input),
            Some(Pending::AttemptEnd(event)) => self.take_attempt_end(event),
            None => {}
        }
        let processor = &self.nodes[node].processor;
        if now >= processor.busy_until && !processor.pending.is_empty() {
            // What was taken no longer concerned the node.
            self.schedule(Duration::ZERO, Event::ProcessorFree { node, run });
        }
    }

    /// Wakes a core for a decision that is due, as the loop of a process does.
    pub(super) fn decision_due(&mut self, node: usize, run: Run) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        if slot.run != run {
            return;
        }
        slot.processor.wake_at = None;
        let due = slot.core.as_ref().and_then(|core| core.next_due());
        if due.is_some_and(|due| due <= now) {
            self.input(node, run, Input::Tick);
        }
    }
}
