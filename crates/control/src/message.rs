//! Messages between nodes.

use crate::operator::{OperatorAnswer, OperatorRequest};
use beamtray_consensus::Message;
use beamtray_routing::{AttemptId, Forward, SliceCount, UpstreamOutcome};
use beamtray_types::{Generation, GroupId, LogIndex, Member, Term, Time, Zone};
use borsh::{BorshDeserialize, BorshSerialize};

/// A message with its sender, as it goes over the wire.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    /// The control group.
    pub group: GroupId,
    /// The sending run.
    pub from: Member,
    /// What it says.
    pub message: PeerMessage,
}

/// What a node says to another.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerMessage {
    /// The replicated log's.
    Consensus {
        /// Generation of the group whose log it is.
        generation: Generation,
        /// The message.
        message: Message,
    },
    /// A node reports itself.
    Hello(Hello),
    /// The group's state, from its leader.
    Feed(Feed),
    /// Who leads, from a node that does not.
    LeaderHint {
        /// Generation of the group.
        generation: Generation,
        /// The leader.
        leader: Member,
    },
    /// A try on its way to its gate.
    Forward(Forward),
    /// A try that is no longer wanted.
    Cancel(AttemptId),
    /// How a try ended.
    Result {
        /// The try.
        attempt: AttemptId,
        /// How.
        outcome: UpstreamOutcome,
    },
    /// An operator's request for the leader.
    Operator {
        /// Names it in the answer.
        call: u64,
        /// The request.
        request: OperatorRequest,
    },
    /// The leader's answer.
    OperatorAnswer {
        /// The request.
        call: u64,
        /// The answer.
        answer: OperatorAnswer,
    },
}

/// What a node reports of itself.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    /// Its zone.
    pub zone: Zone,
    /// Generation of the state that it has.
    pub generation: Generation,
    /// Last index of the state that it has.
    pub applied: LogIndex,
    /// Highest generation in whose log it will take no part any more.
    pub abandoned: Generation,
    /// Its clock; returned in the leader's answer.
    pub sent_at: Time,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Requests counted since its last report.
    pub load: Vec<SliceCount>,
}

/// State from a leader to a node.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Feed {
    /// Generation of the group.
    pub generation: Generation,
    /// Term of the leader.
    pub term: Term,
    /// The leader's last applied index: a node that has applied it is up to
    /// date as of the sending of what this answers.
    pub applied: LogIndex,
    /// `sent_at` of the report that this answers; none when it answers none.
    pub echoed: Option<Time>,
    /// The state.
    pub body: FeedBody,
}

/// How state is sent.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum FeedBody {
    /// Entries that follow an index without a gap.
    Entries(Vec<FeedEntry>),
    /// Everything, as encoded [`beamtray_ownership::ControlState`].
    Snapshot(Vec<u8>),
}

/// A committed entry.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct FeedEntry {
    /// Term of the entry.
    pub term: Term,
    /// Its index.
    pub index: LogIndex,
    /// Encoded [`beamtray_ownership::CommandBatch`]; empty when the entry
    /// changes nothing of the state.
    pub command: Vec<u8>,
}
