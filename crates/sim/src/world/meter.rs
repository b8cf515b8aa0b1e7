//! What control costs each node, counted where messages leave and arrive.
//!
//! Sizes are those of the real encodings: borsh frames between nodes, JSON with
//! HTTP framing to servers. Processor time is that of the host, taken around
//! each step of a node's actor.

use beamtray_control::{Envelope, PeerMessage};
use beamtray_ownership::{GrantReply, GrantRequest};
use beamtray_types::{GroupId, Member};
use std::time::Duration;

/// Length and version before each frame.
const FRAME_BYTES: u64 = 6;
/// Request line and headers of a grant, as `ureq` writes them.
const GRANT_HEAD_BYTES: u64 = 130;
/// Status line and headers of its answer, as `tiny_http` writes them.
const REPLY_HEAD_BYTES: u64 = 110;

/// Counters of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeMeter {
    /// Control messages sent.
    pub messages_out: u64,
    /// Control messages received.
    pub messages_in: u64,
    /// Bytes of control sent.
    pub bytes_out: u64,
    /// Bytes of control received.
    pub bytes_in: u64,
    /// Bytes of grants and their answers, part of the above.
    pub grant_bytes: u64,
    /// Bytes of reports and state, part of the above.
    pub view_bytes: u64,
    /// Bytes of the replicated log, part of the above.
    pub log_bytes: u64,
    /// Processor time of all steps.
    pub processor: Duration,
    /// Steps.
    pub steps: u64,
}

/// Counters of all nodes, while metering is on.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// By position of the node.
    pub nodes: Vec<NodeMeter>,
    /// Whether anything is counted.
    pub on: bool,
}

impl Meter {
    pub(crate) fn peer(&mut self, from: usize, to: usize, member: Member, message: &PeerMessage) {
        if !self.on || is_data(message) {
            return;
        }
        let envelope = Envelope {
            group: GroupId(0),
            from: member,
            message: message.clone(),
        };
        let length = borsh::object_length(&envelope).unwrap_or(0) as u64 + FRAME_BYTES;
        for (node, outgoing) in [(from, true), (to, false)] {
            let meter = &mut self.nodes[node];
            meter.add(outgoing, length);
            match message {
                PeerMessage::Consensus { .. } => meter.log_bytes += length,
                _ => meter.view_bytes += length,
            }
        }
    }

    pub(crate) fn grant(&mut self, node: usize, request: &GrantRequest) {
        if self.on {
            let body = serde_json::to_vec(request).map_or(0, |body| body.len() as u64);
            self.nodes[node].add(true, body + GRANT_HEAD_BYTES);
            self.nodes[node].grant_bytes += body + GRANT_HEAD_BYTES;
        }
    }

    pub(crate) fn grant_reply(&mut self, node: usize, reply: &GrantReply) {
        if self.on {
            let body = serde_json::to_vec(reply).map_or(0, |body| body.len() as u64);
            self.nodes[node].add(false, body + REPLY_HEAD_BYTES);
            self.nodes[node].grant_bytes += body + REPLY_HEAD_BYTES;
        }
    }

    pub(crate) fn step(&mut self, node: usize, elapsed: Duration) {
        if self.on {
            self.nodes[node].processor += elapsed;
            self.nodes[node].steps += 1;
        }
    }
}

impl NodeMeter {
    fn add(&mut self, outgoing: bool, length: u64) {
        if outgoing {
            self.messages_out += 1;
            self.bytes_out += length;
        } else {
            self.messages_in += 1;
            self.bytes_in += length;
        }
    }
}

fn is_data(message: &PeerMessage) -> bool {
    matches!(
        message,
        PeerMessage::Forward(_) | PeerMessage::Cancel(_) | PeerMessage::Result { .. }
    )
}
