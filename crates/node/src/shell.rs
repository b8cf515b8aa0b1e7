//! The actor that connects the core's actor to the outside: it performs the
//! core's outputs and delivers inputs to it.

use crate::edge::{PlatformClient, ResponderPool, UpstreamClient, operator_response};
use crate::event::{EdgeEvent, Probe, not_run_response};
use crate::logging;
use crate::metrics::Metrics;
use crate::peer::{LinkEvent, PeerLink, frame};
use beamtray_actor::{NodeActor, ProcessClock, TICK_INTERVAL};
use beamtray_control::{
    ControlConfig, Envelope, Event, Input, Level, NodeCore, OperatorCall, Output, PeerMessage,
};
use beamtray_http::{HttpResponse, Responder};
use beamtray_routing::{Answer, RequestId};
use beamtray_types::NodeId;
use slog::Logger;
use stakker::{ActorOwn, CX, actor, after, call, fwd_to, ret_nop, stop};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay before reconnecting to a peer after a link failed.
const REDIAL_DELAY: Duration = Duration::from_millis(150);

/// Dependencies of a [`Shell`].
pub(crate) struct ShellParts {
    pub(crate) control: ControlConfig,
    pub(crate) peers: BTreeMap<NodeId, SocketAddr>,
    pub(crate) upstreams: UpstreamClient,
    pub(crate) platform: PlatformClient,
    pub(crate) responders: ResponderPool,
    pub(crate) log: Logger,
}

struct Caller {
    responder: Responder,
    received_at: Instant,
}

/// Runs a node's core and performs its I/O.
pub(crate) struct Shell {
    node: ActorOwn<NodeActor>,
    config: ControlConfig,
    peers: BTreeMap<NodeId, SocketAddr>,
    links: BTreeMap<NodeId, ActorOwn<PeerLink>>,
    redial_at: BTreeMap<NodeId, Instant>,
    upstreams: UpstreamClient,
    platform: PlatformClient,
    responders: Option<ResponderPool>,
    callers: BTreeMap<RequestId, Caller>,
    operators: BTreeMap<OperatorCall, Responder>,
    next_request: u64,
    next_operator: u64,
    metrics: Rc<Metrics>,
    log: Logger,
}

impl Shell {
    pub(crate) fn init(cx: CX![], parts: ShellParts) -> Option<Self> {
        let clock = ProcessClock {
            epoch: cx.now(),
            deviation_ppm: 0,
        };
        let outputs = fwd_to!([cx], output() as (Output));
        let control = parts.control.clone();
        let node = actor!(cx, NodeActor::init(control, clock, outputs), ret_nop!());
        after!(TICK_INTERVAL, [cx], tick());
        Some(Self {
            node,
            config: parts.control,
            peers: parts.peers,
            links: BTreeMap::new(),
            redial_at: BTreeMap::new(),
            upstreams: parts.upstreams,
            platform: parts.platform,
            responders: Some(parts.responders),
            callers: BTreeMap::new(),
            operators: BTreeMap::new(),
            next_request: 0,
            next_operator: 0,
            metrics: Rc::new(Metrics::new()),
            log: parts.log,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        self.cancel_disconnected_callers();
        self.input(Input::Tick);
    }

    /// Removes callers whose connection closed and reports them to the core.
    fn cancel_disconnected_callers(&mut self) {
        let disconnected: Vec<RequestId> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.responder.is_disconnected())
            .map(|(id, _)| *id)
            .collect();
        for id in disconnected {
            self.callers.remove(&id);
            self.input(Input::CallerDisconnected { id });
        }
    }

    fn input(&mut self, input: Input) {
        call!([self.node], input(input));
    }

    /// Handles a message from an I/O thread.
    pub(crate) fn handle_edge_event(&mut self, cx: CX![], event: EdgeEvent) {
        match event {
            EdgeEvent::Input(input) => self.input(input),
            EdgeEvent::Caller(request, caller) => {
                let Some(responder) = caller.into_responder() else {
                    return;
                };
                let id = RequestId(self.next_request);
                self.next_request += 1;
                let received_at = cx.now();
                self.callers.insert(
                    id,
                    Caller {
                        responder,
                        received_at,
                    },
                );
                self.input(Input::Caller { id, request });
            }
            EdgeEvent::Operator(request, responder) => {
                let call = OperatorCall(self.next_operator);
                self.next_operator += 1;
                self.operators.insert(call, responder);
                self.input(Input::Operator { call, request });
            }
            EdgeEvent::Probe(probe, responder) => self.probe(probe, responder),
        }
    }

    fn probe(&mut self, probe: Probe, responder: Responder) {
        let metrics = Rc::clone(&self.metrics);
        let inspection = Box::new(move |core: &NodeCore| {
            let response = match probe {
                Probe::Health => HttpResponse::text(200, "ok\n"),
                Probe::Ready if core.admits() => HttpResponse::text(200, "ready\n"),
                Probe::Ready => HttpResponse::text(503, "not admitting requests\n"),
                Probe::Metrics => HttpResponse::text(200, metrics.encode(core)),
            };
            // These responses are small and go to internal addresses, so they are written
            // directly from the event loop.
            responder.respond(response);
        });
        call!([self.node], inspect(inspection));
    }

    /// Handles a message from another node.
    pub(crate) fn peer_message(&mut self, _: CX![], received: usize, envelope: Envelope) {
        self.metrics.peer_bytes_received.inc_by(received as u64);
        self.metrics.peer_messages_received.inc();
        if envelope.group != self.config.group {
            return;
        }
        self.input(Input::Peer {
            from: envelope.from,
            message: envelope.message,
        });
    }

    /// Logs an invalid frame, after which the peer's connection is closed, or a failed accept.
    pub(crate) fn peer_refused(&mut self, _: CX![], address: SocketAddr, cause: String) {
        let event = Event::new(Level::Warning, "peer_refused")
            .with("step", "read frame")
            .with("peer", address)
            .with("cause", cause);
        logging::write(&self.log, &event);
    }

    fn output(&mut self, cx: CX![], output: Output) {
        match output {
            Output::Peer { to, message } => self.send(cx, to, message),
            Output::Answer { id, answer } => self.answer(cx, id, answer),
            Output::Call {
                call,
                address,
                forward,
                timeout,
            } => self.upstreams.call(call, address, forward, timeout),
            Output::Grant(grant) => {
                self.metrics.grants_sent.inc();
                self.platform.grant(grant);
            }
            Output::KeyValue { call, request } => self.platform.call_key_value(call, request),
            Output::ReadMachines => self.platform.read_machines(),
            Output::OperatorAnswer { call, answer } => {
                if let Some(responder) = self.operators.remove(&call) {
                    self.respond(responder, operator_response(&answer));
                }
            }
            Output::Log(event) => logging::write(&self.log, &event),
            Output::Stopped { cut_off } => self.stopped(cx, cut_off),
        }
    }

    fn answer(&mut self, cx: CX![], id: RequestId, answer: Answer) {
        let Some(caller) = self.callers.remove(&id) else {
            return;
        };
        let elapsed = cx.now().saturating_duration_since(caller.received_at);
        self.metrics
            .record_answer(answer.status, answer.run_state, elapsed);
        self.respond(caller.responder, answer_response(answer));
    }

    fn respond(&self, responder: Responder, response: HttpResponse) {
        match &self.responders {
            Some(responders) if responder.may_block() => responders.respond(responder, response),
            _ => {
                responder.respond(response);
            }
        }
    }

    fn send(&mut self, cx: CX![], to: NodeId, message: PeerMessage) {
        let envelope = Envelope {
            group: self.config.group,
            from: self.config.me,
            message,
        };
        let Some(frame) = frame(&envelope) else {
            return;
        };
        let message = envelope.message;
        if !self.links.contains_key(&to) && !self.dial(cx, to) {
            return self.input(Input::Unsent { to, message });
        }
        self.metrics.peer_messages_sent.inc();
        self.metrics.peer_bytes_sent.inc_by(frame.len() as u64);
        if let Some(link) = self.links.get(&to) {
            call!([link], send(frame, message));
        }
    }

    /// Opens a link unless the redial delay after the last one has not elapsed;
    /// returns whether it was opened.
    fn dial(&mut self, cx: CX![], to: NodeId) -> bool {
        let Some(address) = self.peers.get(&to).copied() else {
            return false;
        };
        if self.redial_at.get(&to).is_some_and(|at| cx.now() < *at) {
            return false;
        }
        let events = fwd_to!([cx], link_event() as (NodeId, LinkEvent));
        let link = actor!(cx, PeerLink::init(to, address, events), ret_nop!());
        self.links.insert(to, link);
        true
    }

    fn link_event(&mut self, cx: CX![], node: NodeId, event: LinkEvent) {
        self.links.remove(&node);
        self.redial_at.insert(node, cx.now() + REDIAL_DELAY);
        match event {
            LinkEvent::NotConnected(messages) => {
                for message in messages {
                    self.input(Input::Unsent { to: node, message });
                }
            }
            LinkEvent::Broken => self.input(Input::PeerLost { node }),
        }
    }

    /// Completes the planned stop: flushes responses, then stops the event loop.
    fn stopped(&mut self, cx: CX![], cut_off: usize) {
        // If the core completed every request it received, the callers left here belong to
        // requests it has not received, and it can no longer answer them.
        if cut_off == 0 {
            self.reject_undelivered_requests();
        }
        if let Some(responders) = self.responders.take() {
            responders.finish();
        }
        stop!(cx);
    }
}

impl Shell {
    /// Answers `not-run` to callers whose requests the core has not received.
    fn reject_undelivered_requests(&mut self) {
        for (_, caller) in std::mem::take(&mut self.callers) {
            self.respond(caller.responder, not_run_response());
        }
    }
}

/// Converts a caller's answer to an HTTP response.
fn answer_response(answer: Answer) -> HttpResponse {
    let mut response = HttpResponse {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    };
    response = response.with_header("beamtray-outcome", answer.run_state.as_str());
    if let Some(after) = answer.retry_after {
        let seconds = after.as_millis().div_ceil(1_000).max(1);
        response = response
            .with_header("retry-after", seconds)
            .with_header("beamtray-retry-after-ms", after.as_millis());
    }
    response
}
