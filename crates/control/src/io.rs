//! What a node's core is told and what it asks for.

use crate::event::Event;
use crate::message::PeerMessage;
use crate::operator::{OperatorAnswer, OperatorRequest};
use beamtray_keyvalue::{KeyValueRequest, KeyValueResult, Machine};
use beamtray_ownership::{GrantReply, PendingGrant};
use beamtray_routing::{Answer, CallId, CallerRequest, Forward, RequestId, UpstreamOutcome};
use beamtray_types::{Member, NodeId, ServerName};
use std::net::SocketAddr;
use std::time::Duration;

/// Names a call to the key-value service; unique within one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyValueCall(pub u64);

/// Names an operator's request; unique within one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperatorCall(pub u64);

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed. To be given every 20 ms or so.
    Tick,
    /// A message of another node.
    Peer {
        /// The sender.
        from: Member,
        /// The message.
        message: PeerMessage,
    },
    /// A message of this node was never sent.
    Unsent {
        /// The node that it was for.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A connection to a node broke; messages on it may be lost.
    PeerLost {
        /// The node.
        node: NodeId,
    },
    /// A caller's request.
    Caller {
        /// Names it in the answer.
        id: RequestId,
        /// The request.
        request: CallerRequest,
    },
    /// A caller is gone.
    CallerDisconnected {
        /// Its request.
        id: RequestId,
    },
    /// A call to an upstream ended.
    CallResult {
        /// The call.
        call: CallId,
        /// How.
        outcome: UpstreamOutcome,
    },
    /// A server answered a grant, or did not.
    Grant {
        /// The server.
        server: ServerName,
        /// Its answer.
        reply: Option<GrantReply>,
    },
    /// A call to the key-value service ended.
    KeyValue {
        /// The call.
        call: KeyValueCall,
        /// How.
        result: KeyValueResult,
    },
    /// The machine list, when it could be read.
    Machines {
        /// The list.
        list: Option<Vec<Machine>>,
    },
    /// An operator's request.
    Operator {
        /// Names it in the answer.
        call: OperatorCall,
        /// The request.
        request: OperatorRequest,
    },
    /// Stop, without cutting anything off.
    Stop,
}

/// Something to do.
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
        /// Names the call in [`Input::CallResult`].
        call: CallId,
        /// Where.
        address: SocketAddr,
        /// What.
        forward: Forward,
        /// For how long.
        timeout: Duration,
    },
    /// Send a grant to a server.
    Grant(PendingGrant),
    /// Call the key-value service.
    KeyValue {
        /// Names the call in [`Input::KeyValue`].
        call: KeyValueCall,
        /// What.
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
    /// The planned stop is complete: the process may end.
    Stopped {
        /// Requests that are not concluded; nobody knows what becomes of them.
        cut_off: usize,
    },
}
