//! Control-plane cost of each node, metered where messages are sent and received.
//!
//! Sizes are those of the production encodings: borsh frames between nodes, and
//! JSON with HTTP framing to servers. CPU time is host time measured around each
//! step of a node's actor.

use beamtray_control::{Envelope, PeerMessage};
use beamtray_ownership::{GrantReply, GrantRequest};
use beamtray_types::{GroupId, Member};
use std::time::Duration;

/// Size of the length and version fields that precede each frame.
const FRAME_BYTES: u64 = 6;
/// Size of the request line and headers of a grant, as `ureq` writes them.
const GRANT_HEAD_BYTES: u64 = 130;
/// Size of the status line and headers of a grant reply, as `tiny_http` writes them.
const REPLY_HEAD_BYTES: u64 = 110;

/// Counters of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeMeter {
    /// Control messages sent.
    pub messages_out: u64,
    /// Control messages received.
    pub messages_in: u64,
    /// Control bytes sent.
    pub bytes_out: u64,
    /// Control bytes received.
    pub bytes_in: u64,
    /// Part of the control bytes used for grants and their replies.
    pub grant_bytes: u64,
    /// Part of the control bytes used for reports and state.
    pub view_bytes: u64,
    /// Part of the control bytes used for the replicated log.
    pub log_bytes: u64,
    /// CPU time of all steps.
    pub processor: Duration,
    /// Number of steps.
    pub steps: u64,
}

/// Counters of all nodes, while metering is on.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Counters by node index.
    pub nodes: Vec<NodeMeter>,
    /// Whether metering is enabled.
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
