//! The core of one node: dispatches inputs to its components and collects
//! their outputs.

use crate::config::ControlConfig;
use crate::event::{Event, Level};
use crate::founding::Founding;
use crate::io::{Input, KeyValueCall, Output};
use crate::leader::Leadership;
use crate::message::PeerMessage;
use crate::operator::OperatorAnswer;
use crate::peers::Peers;
use beamtray_consensus::Raft;
use beamtray_keyvalue::KeyValueRequest;
use beamtray_ownership::ControlState;
use beamtray_routing::{
    GateMap, NotRunReason, Router, RouterConfig, RouterOutput, RoutingView, UpstreamOutcome,
};
use beamtray_types::{Generation, Member, NodeId, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Purpose of a call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    ReadFounding,
    WriteFounding,
    ReadCheckpointToFound,
    ReadConfigurationToFound,
    Leader(LeaderPurpose),
}

/// Purpose of a leader's call. Results of calls from an earlier term are dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LeaderPurpose {
    ReadCheckpoint,
    WriteCheckpoint(beamtray_types::LogIndex),
    ReadConfiguration,
    WriteConfiguration(beamtray_types::OperationId),
    ReadBack(beamtray_types::OperationId),
    ReadVoters,
    WriteVoters,
}

/// An operator's request that was forwarded to the leader.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedRequest {
    pub(crate) call: crate::io::OperatorCall,
    pub(crate) expires: Time,
    /// The answer given if the leader does not reply in time.
    pub(crate) timeout_answer: OperatorAnswer,
}

/// The control state machine of one node.
#[derive(Debug)]
pub struct NodeCore {
    pub(crate) config: ControlConfig,
    pub(crate) now: Time,
    pub(crate) outputs: Vec<Output>,
    /// Generation of `state`; 0 while none is known.
    pub(crate) generation: Generation,
    pub(crate) state: ControlState,
    pub(crate) gates: GateMap,
    pub(crate) raft: Option<Raft>,
    /// Generation of the current or most recent log in `raft`. An incarnation
    /// joins the log of a generation at most once, so it never forgets a vote.
    pub(crate) raft_generation: Generation,
    pub(crate) leadership: Option<Leadership>,
    pub(crate) router: Router,
    /// Latest time on this node's clock as of which a leader confirmed that
    /// `state` was current.
    pub(crate) contact: Option<Time>,
    pub(crate) leader_hint: Option<Member>,
    pub(crate) peers: Peers,
    pub(crate) founding: Founding,
    pub(crate) calls: BTreeMap<KeyValueCall, (Time, Purpose)>,
    next_call: u64,
    pub(crate) forwarded: BTreeMap<u64, ForwardedRequest>,
    pub(crate) hello_due: Time,
    pub(crate) stopping: Option<Time>,
    stopped: bool,
    was_admitting: bool,
    pub(crate) rng: ChaCha8Rng,
}

/// How long a result of the key-value service is awaited.
pub(crate) const KEY_VALUE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a stopping node waits to be removed from the group's node list.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

impl NodeCore {
    /// Creates a node that does not know its group yet.
    pub fn new(config: ControlConfig, now: Time) -> Self {
        let router = Router::new(RouterConfig {
            seed: config.seed,
            track_unknown_outcomes: config.guards.keeps_unknown,
            drop_duplicate_attempts: config.guards.drops_duplicates,
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            config,
            now,
            outputs: Vec::new(),
            generation: Generation(0),
            state: ControlState::default(),
            gates: GateMap::default(),
            raft: None,
            raft_generation: Generation(0),
            leadership: None,
            router,
            contact: None,
            leader_hint: None,
            peers: Peers::default(),
            founding: Founding::new(now),
            calls: BTreeMap::new(),
            next_call: 0,
            forwarded: BTreeMap::new(),
            hello_due: now,
            stopping: None,
            stopped: false,
            was_admitting: false,
        }
    }

    /// Handles one input and returns the resulting outputs in order.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Peer { from, message } => self.on_peer(from, message),
            Input::Unsent { to, message } => self.on_unsent(to, message),
            Input::PeerLost { node } => {
                let outputs = self
                    .with_router(|router, now, view| router.on_node_disconnected(now, view, node));
                self.emit_router_outputs(outputs);
            }
            Input::Caller { id, request } => {
                let outputs =
                    self.with_router(|router, now, view| router.on_request(now, view, id, request));
                self.emit_router_outputs(outputs);
            }
            Input::CallerDisconnected { id } => {
                let outputs = self
                    .with_router(|router, now, view| router.on_caller_disconnected(now, view, id));
                self.emit_router_outputs(outputs);
            }
            Input::CallResult { call, outcome } => {
                let outputs = self.with_router(|router, now, view| {
                    router.on_call_result(now, view, call, outcome)
                });
                self.emit_router_outputs(outputs);
            }
            Input::Grant { server, reply } => self.on_grant_reply(&server, reply),
            Input::KeyValue { call, result } => self.on_key_value(call, result),
            Input::Machines { list } => self.on_machines(list),
            Input::Operator { call, request } => self.on_operator(call, request),
            Input::Stop => self.on_stop(),
        }
        self.process_raft_outputs();
        std::mem::take(&mut self.outputs)
    }

    /// The group's state as known to this node.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Generation of the group; 0 if unknown.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Whether this node leads its group under a valid lease.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some() && self.has_lease()
    }

    /// Whether this node is a voter.
    pub fn is_voter(&self) -> bool {
        self.raft.as_ref().is_some_and(Raft::is_voter)
    }

    /// Whether this node admits callers' requests.
    pub fn admits(&self) -> bool {
        self.is_fresh() && self.stopping.is_none()
    }

    /// Whether a leader confirmed the state within the configuration lease.
    fn is_fresh(&self) -> bool {
        let lease = self.config.timing.configuration_lease();
        let fresh = self.contact.is_some_and(|at| self.now.since(at) < lease);
        let known = self.generation > Generation(0) && self.state.revision.0 > 0;
        known && (fresh || !self.config.guards.configuration_lease)
    }

    /// The router, with its requests and attempts in flight, for metrics.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Number of upstreams for which this node is the gate.
    pub fn gate_count(&self) -> usize {
        self.gates.count(self.config.me.node)
    }

    pub(crate) fn has_lease(&self) -> bool {
        let guard = self.config.guards.leader_lease;
        self.raft.as_ref().is_some_and(|raft| {
            raft.has_lease(self.now) || (!guard && raft.lease_until().is_some())
        })
    }

    fn tick(&mut self) {
        if let Some(raft) = &mut self.raft {
            raft.tick(self.now);
        }
        self.process_raft_outputs();
        self.expire_key_value_calls();
        self.tick_contact();
        self.tick_founding();
        self.tick_leader();
        self.tick_operators();
        let outputs = self.with_router(|router, now, view| router.tick(now, view));
        self.emit_router_outputs(outputs);
        self.tick_stop();
        self.log_admission_change();
    }

    fn on_peer(&mut self, from: Member, message: PeerMessage) {
        match message {
            PeerMessage::Consensus {
                generation,
                message,
            } => self.on_consensus(generation, message),
            PeerMessage::Hello(hello) => self.on_hello(from, hello),
            PeerMessage::Feed(feed) => self.on_feed(from, feed),
            PeerMessage::LeaderHint { generation, leader } => {
                if generation >= self.generation && !self.has_recent_contact() {
                    self.leader_hint = Some(leader);
                    self.hello_due = self.now;
                }
            }
            PeerMessage::Forward(forward) => {
                let outputs = self
                    .with_router(|router, now, view| router.on_forward(now, view, from, forward));
                self.emit_router_outputs(outputs);
            }
            PeerMessage::Cancel(attempt) => self.router.on_cancel(attempt),
            PeerMessage::Result { attempt, outcome } => {
                let outputs = self
                    .with_router(|router, now, view| router.on_result(now, view, attempt, outcome));
                self.emit_router_outputs(outputs);
            }
            PeerMessage::Operator { call, request } => {
                self.on_remote_operator(from, call, request);
            }
            PeerMessage::OperatorAnswer { call, answer } => {
                if let Some(forwarded) = self.forwarded.remove(&call) {
                    self.answer_operator(forwarded.call, answer);
                }
            }
        }
    }

    /// Handles a message that was never sent: a forwarded attempt did not run.
    fn on_unsent(&mut self, to: NodeId, message: PeerMessage) {
        match message {
            PeerMessage::Forward(forward) => {
                let outcome = UpstreamOutcome::NotRun {
                    reason: NotRunReason::NotConnected,
                    retry_after_micros: None,
                };
                let outputs = self.with_router(|router, now, view| {
                    router.on_result(now, view, forward.attempt, outcome)
                });
                self.emit_router_outputs(outputs);
            }
            PeerMessage::Operator { call, .. } => {
                if let Some(forwarded) = self.forwarded.remove(&call) {
                    let reason = format!("the leader, node {to}, cannot be reached");
                    self.answer_operator(forwarded.call, OperatorAnswer::Unavailable { reason });
                }
            }
            _ => {}
        }
    }

    /// Runs `step` on the router with the current view.
    pub(crate) fn with_router(
        &mut self,
        step: impl FnOnce(&mut Router, Time, &RoutingView) -> Vec<RouterOutput>,
    ) -> Vec<RouterOutput> {
        let view = RoutingView {
            me: self.config.me,
            fresh: self.is_fresh(),
            state: &self.state,
            gates: &self.gates,
        };
        step(&mut self.router, self.now, &view)
    }

    pub(crate) fn emit_router_outputs(&mut self, outputs: Vec<RouterOutput>) {
        for output in outputs {
            let output = match output {
                RouterOutput::Forward { to, forward } => Output::Peer {
                    to,
                    message: PeerMessage::Forward(forward),
                },
                RouterOutput::Cancel { to, attempt } => Output::Peer {
                    to,
                    message: PeerMessage::Cancel(attempt),
                },
                RouterOutput::Result {
                    to,
                    attempt,
                    outcome,
                } => Output::Peer {
                    to: to.node,
                    message: PeerMessage::Result { attempt, outcome },
                },
                RouterOutput::Call {
                    call,
                    address,
                    forward,
                    timeout,
                } => Output::Call {
                    call,
                    address,
                    forward,
                    timeout,
                },
                RouterOutput::Answer { request, answer } => Output::Answer {
                    id: request,
                    answer,
                },
            };
            self.outputs.push(output);
        }
    }

    /// Must be called whenever `state` has changed.
    pub(crate) fn on_state_changed(&mut self) {
        self.gates = GateMap::from_state(&self.state);
        let outputs = self.with_router(|router, now, view| router.tick(now, view));
        self.emit_router_outputs(outputs);
    }

    pub(crate) fn call_key_value(&mut self, purpose: Purpose, request: KeyValueRequest) {
        let call = KeyValueCall(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, (self.now, purpose));
        self.outputs.push(Output::KeyValue { call, request });
    }

    /// Whether a call for `purpose` is pending.
    pub(crate) fn is_calling(&self, purpose: &Purpose) -> bool {
        self.calls.values().any(|(_, other)| other == purpose)
    }

    fn expire_key_value_calls(&mut self) {
        let now = self.now;
        let expired: Vec<KeyValueCall> = self
            .calls
            .iter()
            .filter(|(_, (since, _))| now.since(*since) > KEY_VALUE_TIMEOUT)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            let result = beamtray_keyvalue::KeyValueResult::Unavailable {
                cause: "no answer in time".to_owned(),
            };
            self.on_key_value(call, result);
        }
    }

    pub(crate) fn send(&mut self, to: NodeId, message: PeerMessage) {
        self.outputs.push(Output::Peer { to, message });
    }

    pub(crate) fn log(&mut self, event: Event) {
        self.outputs.push(Output::Log(event));
    }

    fn on_stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(self.now);
        self.router.stop();
        self.hello_due = self.now;
        self.log(Event::new(Level::Info, "stopping").with("pending", self.router.pending()));
        self.transfer_leadership_for_stop();
    }

    /// Completes a planned stop once the group no longer depends on this node and
    /// nothing is in flight, or when the stop timeout expires.
    fn tick_stop(&mut self) {
        let Some(since) = self.stopping else { return };
        if self.stopped {
            return;
        }
        let waited = self.now.since(since);
        let listed = self.state.nodes.contains_key(&self.config.me.node);
        // A voter that stops before it is replaced is a lost voter, so it stays
        // up to the stop timeout.
        let left = !self.is_voter() && (!listed || waited >= LEAVE_TIMEOUT);
        let overdue = waited >= Duration::from_millis(self.config.stop_millis);
        if (left && self.router.is_idle()) || overdue {
            self.stopped = true;
            let cut_off = self.router.pending() + self.router.running();
            let event = Event::new(Level::Info, "stopped")
                .with("waited_ms", waited.as_millis())
                .with("cut_off", cut_off);
            self.log(event);
            self.outputs.push(Output::Stopped { cut_off });
        }
    }

    fn log_admission_change(&mut self) {
        let admits = self.admits();
        if admits == self.was_admitting {
            return;
        }
        self.was_admitting = admits;
        let (level, name) = if admits {
            (Level::Info, "admitting")
        } else {
            (Level::Warning, "not_admitting")
        };
        let event = Event::new(level, name)
            .with("generation", self.generation)
            .with("revision", self.state.revision);
        self.log(event);
    }
}
