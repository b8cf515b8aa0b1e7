//! Combines the ingress and gate roles and defines their inputs and outputs.

use crate::gate::Gate;
use crate::gates::GateMap;
use crate::ingress::Ingress;
use crate::load::SliceCount;
use crate::message::{
    Answer, AttemptId, CallId, CallerRequest, Forward, RequestId, UpstreamOutcome,
};
use beamtray_ownership::ControlState;
use beamtray_types::{Member, NodeId, Time};
use std::net::SocketAddr;
use std::time::Duration;

/// The control state that a routing decision uses.
#[derive(Clone, Copy, Debug)]
pub struct RoutingView<'a> {
    /// This node and its incarnation.
    pub me: Member,
    /// The control group's state as replicated to this node.
    pub state: &'a ControlState,
    /// The gate of each upstream, computed from `state`.
    pub gates: &'a GateMap,
    /// Whether the state is recent enough to route by.
    pub fresh: bool,
}

/// Settings of a [`Router`].
#[derive(Clone, Copy, Debug)]
pub struct RouterConfig {
    /// Seed of the random generator for backend selection.
    pub seed: u64,
    /// Whether an attempt without a complete answer counts as possibly run.
    /// Always on in production; tests turn it off to show the failure it
    /// prevents.
    pub track_unknown_outcomes: bool,
    /// Whether a gate drops duplicates of an attempt. Always on in production;
    /// tests turn it off to show the failure it prevents.
    pub drop_duplicate_attempts: bool,
}

/// An action for the code that drives a [`Router`].
#[derive(Clone, Debug, PartialEq)]
pub enum RouterOutput {
    /// Send an attempt to its gate.
    Forward {
        /// Node that is the gate.
        to: NodeId,
        /// The attempt.
        forward: Forward,
    },
    /// Tell a gate that an attempt's result is no longer needed.
    Cancel {
        /// Node that is the gate.
        to: NodeId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send the outcome of an attempt to its ingress.
    Result {
        /// Ingress that sent the attempt.
        to: Member,
        /// The attempt.
        attempt: AttemptId,
        /// Outcome of the attempt.
        outcome: UpstreamOutcome,
    },
    /// Send a request to an upstream.
    Call {
        /// Identifies the call in [`Router::on_call_result`].
        call: CallId,
        /// Address of the upstream.
        address: SocketAddr,
        /// The attempt to send.
        forward: Forward,
        /// Timeout of the call.
        timeout: Duration,
    },
    /// Return the final answer to a caller.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
}

/// The ingress and gate roles of one node.
#[derive(Debug)]
pub struct Router {
    ingress: Ingress,
    gate: Gate,
}

impl Router {
    /// Creates a router without pending requests.
    pub fn new(config: RouterConfig) -> Self {
        Self {
            ingress: Ingress::new(config),
            gate: Gate::new(config.drop_duplicate_attempts),
        }
    }

    /// Returns whether neither role has pending requests, queued attempts or
    /// running calls.
    pub fn is_idle(&self) -> bool {
        self.ingress.is_idle() && self.gate.is_idle()
    }

    /// Returns the number of callers' requests without a final answer.
    pub fn pending(&self) -> usize {
        self.ingress.pending()
    }

    /// Returns the number of attempts in this node's gate queues.
    pub fn queued(&self) -> usize {
        self.gate.queued()
    }

    /// Returns the number of upstream calls in progress at this node's gates.
    pub fn running(&self) -> usize {
        self.gate.running()
    }

    /// Returns and resets the request counts per slice.
    pub fn take_load(&mut self) -> Vec<SliceCount> {
        self.gate.load.take()
    }

    /// Refuses new requests from now on; pending requests continue.
    pub fn stop(&mut self) {
        self.ingress.stop();
    }

    /// Handles a request from a caller.
    pub fn on_request(
        &mut self,
        now: Time,
        view: &RoutingView,
        id: RequestId,
        request: CallerRequest,
    ) -> Vec<RouterOutput> {
        let mut outputs = Vec::new();
        self.ingress
            .on_request(now, view, id, request, &mut outputs);
        self.deliver_local(now, view, outputs)
    }

    /// Handles the disconnection of a caller.
    pub fn on_caller_disconnected(
        &mut self,
        now: Time,
        view: &RoutingView,
        id: RequestId,
    ) -> Vec<RouterOutput> {
        let mut outputs = Vec::new();
        self.ingress.on_caller_disconnected(now, id, &mut outputs);
        self.deliver_local(now, view, outputs)
    }

    /// Handles an attempt sent by an ingress.
    pub fn on_forward(
        &mut self,
        now: Time,
        view: &RoutingView,
        origin: Member,
        forward: Forward,
    ) -> Vec<RouterOutput> {
        let mut outputs = Vec::new();
        self.gate
            .on_forward(now, view, origin, forward, &mut outputs);
        self.deliver_local(now, view, outputs)
    }

    /// Handles the cancellation of an attempt by its ingress.
    pub fn on_cancel(&mut self, attempt: AttemptId) {
        self.gate.cancel(attempt);
    }

    /// Handles the outcome of an attempt from its gate.
    pub fn on_result(
        &mut self,
        now: Time,
        view: &RoutingView,
        attempt: AttemptId,
        outcome: UpstreamOutcome,
    ) -> Vec<RouterOutput> {
        let mut outputs = Vec::new();
        self.ingress
            .on_result(now, view, attempt, outcome, &mut outputs);
        self.deliver_local(now, view, outputs)
    }

    /// Handles the outcome of an upstream call.
    pub fn on_call_result(
        &mut self,
        now: Time,
        view: &RoutingView,
        call: CallId,
        outcome: UpstreamOutcome,
    ) -> Vec<RouterOutput> {
        let mut outputs = Vec::new();
        self.gate
            .on_call_result(now, view, call, outcome, &mut outputs);
        self.deliver_local(now, view, outputs)
    }

    /// Handles the loss of the connection to a node: attempts sent to it are
    /// treated as lost.
    pub fn on_node_disconnected(
        &mut self,
        now: Time,
        view: &RoutingView,
        node: NodeId,
    ) -> Vec<RouterOutput> {
        let mut outputs = Vec::new();
        self.ingress
            .on_node_disconnected(now, view, node, &mut outputs);
        self.deliver_local(now, view, outputs)
    }

    /// Processes deadlines and delays that are due. Must also be called when
    /// the view has changed.
    pub fn tick(&mut self, now: Time, view: &RoutingView) -> Vec<RouterOutput> {
        let mut outputs = Vec::new();
        self.gate.tick(now, view, &mut outputs);
        self.ingress.tick(now, view, &mut outputs);
        self.deliver_local(now, view, outputs)
    }

    /// Delivers messages between the two roles of this node directly and
    /// returns the outputs that remain.
    fn deliver_local(
        &mut self,
        now: Time,
        view: &RoutingView,
        outputs: Vec<RouterOutput>,
    ) -> Vec<RouterOutput> {
        let mut remote = Vec::new();
        let mut local = outputs;
        while !local.is_empty() {
            let mut next = Vec::new();
            for output in local {
                match output {
                    RouterOutput::Forward { to, forward } if to == view.me.node => {
                        self.gate.on_forward(now, view, view.me, forward, &mut next);
                    }
                    RouterOutput::Cancel { to, attempt } if to == view.me.node => {
                        self.gate.cancel(attempt);
                    }
                    RouterOutput::Result {
                        to,
                        attempt,
                        outcome,
                    } if to == view.me => {
                        self.ingress
                            .on_result(now, view, attempt, outcome, &mut next);
                    }
                    other => remote.push(other),
                }
            }
            local = next;
        }
        remote
    }
}
