//! Messages between nodes.

use crate::operator::{OperatorAnswer, OperatorRequest};
use beamtray_consensus::Message;
use beamtray_routing::{AttemptId, Forward, SliceCount, UpstreamOutcome};
use beamtray_types::{Generation, GroupId, LogIndex, Member, Term, Time, Zone};
use borsh::{BorshDeserialize, BorshSerialize};

/// A message with its sender, as encoded on the wire.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    /// The control group.
    pub group: GroupId,
    /// Node and incarnation of the sender.
    pub from: Member,
    /// The message.
    pub message: PeerMessage,
}

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerMessage {
    /// A message of the consensus protocol.
    Consensus {
        /// Generation of the log.
        generation: Generation,
        /// The message.
        message: Message,
    },
    /// A node's periodic status report.
    Hello(Hello),
    /// A state update from the group's leader.
    Feed(Feed),
    /// The current leader, reported by another node.
    LeaderHint {
        /// Generation of the group.
        generation: Generation,
        /// The leader.
        leader: Member,
    },
    /// A request attempt forwarded to its gate.
    Forward(Forward),
    /// Cancels an attempt whose result is no longer needed.
    Cancel(AttemptId),
    /// The outcome of an attempt.
    Result {
        /// The attempt.
        attempt: AttemptId,
        /// Its outcome.
        outcome: UpstreamOutcome,
    },
    /// An operator's request, forwarded to the leader.
    Operator {
        /// Correlates the answer with the request.
        call: u64,
        /// The request.
        request: OperatorRequest,
    },
    /// The leader's answer to an operator's request.
    OperatorAnswer {
        /// Identifies the request.
        call: u64,
        /// The answer.
        answer: OperatorAnswer,
    },
}

/// A node's status report.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    /// Its zone.
    pub zone: Zone,
    /// Generation of its state.
    pub generation: Generation,
    /// Last log index applied to its state.
    pub applied: LogIndex,
    /// Highest generation that it has abandoned: it no longer takes part in the
    /// logs of generations up to this one.
    pub abandoned: Generation,
    /// Reading of its clock; echoed in the leader's answer.
    pub sent_at: Time,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Requests per slice since its previous report.
    pub load: Vec<SliceCount>,
}

/// A state update from the leader to a node.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Feed {
    /// Generation of the group.
    pub generation: Generation,
    /// Term of the leader.
    pub term: Term,
    /// The leader's last applied index. A node that has applied it is up to date
    /// as of the time at which it sent the report that this update answers.
    pub applied: LogIndex,
    /// `sent_at` of the report that this update answers; `None` if unsolicited.
    pub echoed: Option<Time>,
    /// The state.
    pub body: FeedBody,
}

/// The content of a state update.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum FeedBody {
    /// Consecutive log entries.
    Entries(Vec<FeedEntry>),
    /// The full state, as encoded [`beamtray_ownership::ControlState`].
    Snapshot(Vec<u8>),
}

/// A committed log entry.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct FeedEntry {
    /// Term of the entry.
    pub term: Term,
    /// Its index.
    pub index: LogIndex,
    /// Encoded [`beamtray_ownership::CommandBatch`]; empty if the entry
    /// does not change the state.
    pub command: Vec<u8>,
}
