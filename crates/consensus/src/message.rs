//! Messages between members.

use crate::log::{Entry, Snapshot};
use beamtray_types::{LogIndex, Member, Term, Time};
use borsh::{BorshDeserialize, BorshSerialize};

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// The recipient; other runs of the same node drop the message.
    pub to: Member,
    /// The sender's term, or the proposed term in a pre-vote request.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Body {
    /// Asks whether the candidate could win an election, without raising terms.
    PreVote {
        /// Last index of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Reply to a pre-vote request. If granted, the message's term is the
    /// proposed term.
    PreVoteReply {
        /// Whether the voter would grant its vote.
        granted: bool,
    },
    /// Requests a vote.
    RequestVote {
        /// Last index of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Set if the leader started this election by a leadership transfer. It
        /// has given up its lease, so voters do not withhold their votes.
        transfer: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries; a heartbeat if there are none.
    AppendEntries {
        /// Index that precedes the first entry.
        previous_index: LogIndex,
        /// Term of the entry at `previous_index`.
        previous_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// Leader's clock when the message was sent; returned in the reply.
        sent_at: Time,
    },
    /// Reply to appended entries or a snapshot.
    AppendReply {
        /// Whether the follower's log matches the leader's up to `match_index`.
        accepted: bool,
        /// Highest index known to match. After a rejection, the highest index
        /// at which the logs could match.
        match_index: LogIndex,
        /// `sent_at` of the acknowledged message.
        echoed_sent_at: Time,
    },
    /// Sends a snapshot to a follower that needs entries already compacted by
    /// the leader.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Leader's clock when the message was sent.
        sent_at: Time,
    },
    /// Tells a voter to start an election immediately.
    TimeoutNow,
}
