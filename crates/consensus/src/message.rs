//! Messages between members.

use crate::log::{Entry, Snapshot};
use beamtray_types::{LogIndex, Member, Term, Time};
use borsh::{BorshDeserialize, BorshSerialize};

/// One message from one member to another.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// The run for which it is meant; any other run drops it.
    pub to: Member,
    /// The sender's term; in a pre-vote the term that it would start.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Body {
    /// Asks whether an election could be won, without disturbing anyone.
    PreVote {
        /// Last index of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers a pre-vote; the message's term is the one proposed if granted.
    PreVoteReply {
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    RequestVote {
        /// Last index of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// The old leader itself asked for this election and gave up its
        /// lease, so votes are not withheld.
        transfer: bool,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries, or a heartbeat when there are none.
    AppendEntries {
        /// Index before the first entry.
        previous_index: LogIndex,
        /// Term of that index.
        previous_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The leader's clock at sending; returned in the reply.
        sent_at: Time,
    },
    /// Answers an append or a snapshot.
    AppendReply {
        /// Whether the follower's log now matches up to `match_index`.
        accepted: bool,
        /// Highest index known to match, or on refusal the highest at which
        /// the follower's log could match.
        match_index: LogIndex,
        /// `sent_at` of what is answered.
        echoed_sent_at: Time,
    },
    /// A whole state for a follower that is behind the leader's log.
    InstallSnapshot {
        /// The state.
        snapshot: Snapshot,
        /// The leader's clock at sending.
        sent_at: Time,
    },
    /// Tells a voter to start an election now.
    TimeoutNow,
}
