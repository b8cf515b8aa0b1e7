//! The two roles joined, and what they ask their owner to do.

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

/// What a node knows when it routes.
#[derive(Clone, Copy, Debug)]
pub struct RoutingView<'a> {
    /// This run of this node.
    pub me: Member,
    /// The group's state as far as this node has it.
    pub state: &'a ControlState,
    /// The gates for that state.
    pub gates: &'a GateMap,
    /// Whether the state is fresh enough to act on.
    pub fresh: bool,
}

/// Settings of a [`Router`].
#[derive(Clone, Copy, Debug)]
pub struct RouterConfig {
    /// Seed of the generator that chooses among back ends.
    pub seed: u64,
    /// Whether a try that may have run is treated as such. Only a test that
    /// shows why turns it off.
    pub track_unknown_outcomes: bool,
    /// Whether a gate drops a try that comes twice. Only a test that shows why
    /// turns it off.
    pub drop_duplicate_attempts: bool,
}

/// What the owner of a [`Router`] must do.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterOutput {
    /// Pass a try to its gate.
    Forward {
        /// The gate.
        to: NodeId,
        /// The try.
        forward: Forward,
    },
    /// Tell a gate that a try's caller is gone.
    Cancel {
        /// The gate.
        to: NodeId,
        /// The try.
        attempt: AttemptId,
    },
    /// Pass a try's result to its ingress.
    Result {
        /// The ingress.
        to: Member,
        /// The try.
        attempt: AttemptId,
        /// How it ended.
        outcome: UpstreamOutcome,
    },
    /// Call an upstream.
    Call {
        /// Names the call in [`Router::on_call_result`].
        call: CallId,
        /// Where.
        address: SocketAddr,
        /// What.
        forward: Forward,
        /// For how long.
        timeout: Duration,
    },
    /// Give a caller its final answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
}

/// Ingress and gate of one node.
#[derive(Debug)]
pub struct Router {
    ingress: Ingress,
    gate: Gate,
}

impl Router {
    /// A router with nothing in flight.
    pub fn new(config: RouterConfig) -> Self {
        Self {
            ingress: Ingress::new(config),
            gate: Gate::new(config.drop_duplicate_attempts),
        }
    }

    /// Whether nothing is in flight in either role.
    pub fn is_idle(&self) -> bool {
        self.ingress.is_idle() && self.gate.is_idle()
    }

    /// Callers' requests without a final answer.
    pub fn pending(&self) -> usize {
        self.ingress.pending()
    }

    /// Tries that wait in this node's gates.
    pub fn queued(&self) -> usize {
        self.gate.queued()
    }

    /// Calls that this node's gates have under way.
    pub fn running(&self) -> usize {
        self.gate.running()
    }

    /// Takes the requests counted per slice since the last call.
    pub fn take_load(&mut self) -> Vec<SliceCount> {
        self.gate.load.take()
    }

    /// Refuses new requests from now on; what is in flight goes on.
    pub fn stop(&mut self) {
        self.ingress.stop();
    }

    /// Takes a caller's request in.
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

    /// A caller is gone.
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

    /// Takes a try from an ingress in.
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

    /// An ingress no longer wants a try.
    pub fn on_cancel(&mut self, attempt: AttemptId) {
        self.gate.cancel(attempt);
    }

    /// Takes a try's result from its gate in.
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

    /// Takes the result of a call in.
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

    /// The connection to a node is gone: tries that it had are lost.
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

    /// Runs what is due; also to be called when the view changed.
    pub fn tick(&mut self, now: Time, view: &RoutingView) -> Vec<RouterOutput> {
        let mut outputs = Vec::new();
        self.gate.tick(now, view, &mut outputs);
        self.ingress.tick(now, view, &mut outputs);
        self.deliver_local(now, view, outputs)
    }

    /// Carries messages between the two roles of this node without the wire.
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
