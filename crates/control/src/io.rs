//! Inputs and outputs of a node's core.

use crate::event::Event;
use crate::message::PeerMessage;
use crate::operator::{OperatorAnswer, OperatorRequest};
use beamtray_keyvalue::{KeyValueRequest, KeyValueResult, Machine};
use beamtray_ownership::{GrantReply, PendingGrant};
use beamtray_routing::{Answer, CallId, CallerRequest, Forward, RequestId, UpstreamOutcome};
use beamtray_types::{Member, NodeId, ServerName};
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies a call to the key-value service; unique within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyValueCall(pub u64);

/// Identifies an operator's request; unique within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperatorCall(pub u64);

/// An input event.
#[derive(Clone, Debug)]
pub enum Input {
    /// Timer tick, expected about every 20 ms.
    Tick,
    /// A message from another node.
    Peer {
        /// The sender.
        from: Member,
        /// The message.
        message: PeerMessage,
    },
    /// A message from this node was never sent.
    Unsent {
        /// The intended recipient.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// The connection to a node broke; messages in transit may be lost.
    PeerLost {
        /// The node.
        node: NodeId,
    },
    /// A caller's request.
    Caller {
        /// Correlates the answer with the request.
        id: RequestId,
        /// The request.
        request: CallerRequest,
    },
    /// A caller disconnected.
    CallerDisconnected {
        /// Its request.
        id: RequestId,
    },
    /// A call to an upstream ended.
    CallResult {
        /// The call.
        call: CallId,
        /// Its outcome.
        outcome: UpstreamOutcome,
    },
    /// A server replied to a grant, or the grant request failed.
    Grant {
        /// The server.
        server: ServerName,
        /// Its reply; `None` if there was none.
        reply: Option<GrantReply>,
    },
    /// A call to the key-value service ended.
    KeyValue {
        /// The call.
        call: KeyValueCall,
        /// Its outcome.
        result: KeyValueResult,
    },
    /// Result of reading the machine list.
    Machines {
        /// The list; `None` if it could not be read.
        list: Option<Vec<Machine>>,
    },
    /// An operator's request.
    Operator {
        /// Correlates the answer with the request.
        call: OperatorCall,
        /// The request.
        request: OperatorRequest,
    },
    /// Begin a planned stop without interrupting requests.
    Stop,
}

/// An action for the caller to perform.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a node.
    Peer {
        /// The node.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// Give a caller its final answer.
    Answer {
        /// The request.
        id: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Call an upstream.
    Call {
        /// Identifies the call in [`Input::CallResult`].
        call: CallId,
        /// Address of the upstream.
        address: SocketAddr,
        /// The attempt to send.
        forward: Forward,
        /// Maximum duration of the call.
        timeout: Duration,
    },
    /// Send a grant to a server.
    Grant(PendingGrant),
    /// Call the key-value service.
    KeyValue {
        /// Identifies the call in [`Input::KeyValue`].
        call: KeyValueCall,
        /// The request.
        request: KeyValueRequest,
    },
    /// Read the machine list.
    ReadMachines,
    /// Answer an operator.
    OperatorAnswer {
        /// The request.
        call: OperatorCall,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Write an event to the log.
    Log(Event),
    /// The planned stop is complete and the process may exit.
    Stopped {
        /// Number of unfinished requests and attempts, whose outcome is unknown.
        cut_off: usize,
    },
}
