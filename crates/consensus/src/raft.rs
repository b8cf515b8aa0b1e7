//! State, public operations and timers of a member.

use crate::config::{ELECTION_TIMEOUT_SPREAD, RaftConfig};
use crate::log::{Entry, Log, Payload, Snapshot};
use crate::membership::Membership;
use crate::message::{Body, Message};
use crate::progress::Progress;
use beamtray_types::{LogIndex, Member, Term, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Appends entries to the log and replicates them.
    Leader,
}

/// An action for the code that drives a [`Raft`].
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message; delivery is not required.
    Send(Message),
    /// Apply a committed entry. Entries are emitted in log order, each once.
    Apply(Entry),
    /// Replace the application state with a snapshot.
    Restore(Snapshot),
}

/// The member is not the leader, or cannot perform the operation now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader;

/// One member of a replicated log.
#[derive(Debug)]
pub struct Raft {
    pub(crate) config: RaftConfig,
    pub(crate) me: Member,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<Member>,
    pub(crate) role: Role,
    pub(crate) leader: Option<Member>,
    pub(crate) log: Log,
    pub(crate) commit: LogIndex,
    applied: LogIndex,
    /// Time of the last message from a leader. Initialized to the creation
    /// time, because a new member must assume that a leader holds a lease.
    pub(crate) last_leader_contact: Time,
    pub(crate) election_deadline: Time,
    pub(crate) next_heartbeat_at: Time,
    pub(crate) votes: BTreeSet<Member>,
    pub(crate) progress: BTreeMap<Member, Progress>,
    /// Index of this leader's first entry. Until that entry is committed, the
    /// leader may not know of all committed entries.
    pub(crate) first_index_of_term: LogIndex,
    /// When this leader was elected.
    pub(crate) elected_at: Time,
    pub(crate) transfer_started_at: Option<Time>,
    pub(crate) outputs: Vec<Output>,
    rng: ChaCha8Rng,
}

impl Raft {
    /// Creates a member from a snapshot that contains the initial membership.
    pub fn new(config: RaftConfig, me: Member, snapshot: Snapshot, now: Time) -> Self {
        let mut raft = Self {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            config,
            me,
            term: snapshot.term,
            voted_for: None,
            role: Role::Follower,
            leader: None,
            commit: snapshot.index,
            applied: snapshot.index,
            log: Log::new(snapshot),
            last_leader_contact: now,
            election_deadline: now,
            next_heartbeat_at: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            first_index_of_term: LogIndex(0),
            elected_at: now,
            transfer_started_at: None,
            outputs: Vec::new(),
        };
        raft.reset_election_timer(now);
        raft
    }

    /// Returns and clears the pending outputs, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns this member's identity.
    pub fn me(&self) -> Member {
        self.me
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<Member> {
        self.leader
    }

    /// Returns the highest index known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the last index of the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the number of entries after the snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Returns the effective membership.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Returns whether the last membership change is committed.
    pub fn is_membership_committed(&self) -> bool {
        self.log.membership().0 <= self.commit
    }

    /// Returns whether this member is a voter.
    pub fn is_voter(&self) -> bool {
        self.membership().voters.contains(&self.me)
    }

    /// Returns when this leader was elected, on its own clock.
    pub fn elected_at(&self) -> Time {
        self.elected_at
    }

    /// Returns the highest index known to be replicated to `member`; `None`
    /// if this member is not the leader or does not track `member`.
    pub fn match_index(&self, member: Member) -> Option<LogIndex> {
        self.progress
            .get(&member)
            .map(|progress| progress.match_index)
    }

    /// Returns the send time of the latest message that `member` acknowledged.
    pub fn last_acknowledged(&self, member: Member) -> Option<Time> {
        self.progress.get(&member)?.last_acknowledged
    }

    /// Returns whether this member is the leader, knows all committed entries,
    /// and no other member can have been elected by `now`.
    ///
    /// Invariant: a voter that acknowledged entries sent at `t` withholds its
    /// vote until `t + election_timeout`, and `election_timeout` exceeds the
    /// lease duration extended by the clock drift. If voters did not withhold
    /// votes, a partitioned leader and its successor could both pass this
    /// check.
    pub fn has_lease(&self, now: Time) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Returns the end of the lease, if this member is the leader and a
    /// majority has acknowledged it.
    pub fn lease_until(&self) -> Option<Time> {
        if self.role != Role::Leader
            || self.transfer_started_at.is_some()
            || self.commit < self.first_index_of_term
        {
            return None;
        }
        Some(self.quorum_acknowledged_at()? + self.config.lease_duration)
    }

    /// Appends a command to the log.
    ///
    /// # Errors
    /// [`NotLeader`] if this member is not the leader or a leadership transfer
    /// is in progress.
    pub fn propose(&mut self, now: Time, command: Vec<u8>) -> Result<LogIndex, NotLeader> {
        if self.role != Role::Leader || self.transfer_started_at.is_some() {
            return Err(NotLeader);
        }
        let index = self.log.push(self.term, Payload::Command(command));
        self.replicate_all(now);
        Ok(index)
    }

    /// Changes the membership by at most one voter and any number of learners.
    ///
    /// # Errors
    /// [`NotLeader`] if this member is not the leader, a leadership transfer is
    /// in progress, the previous change is not committed, no entry of this term
    /// is committed yet, `next` has no voters, or the change affects more than
    /// one voter.
    pub fn propose_membership(&mut self, now: Time, next: Membership) -> Result<(), NotLeader> {
        let ready = self.role == Role::Leader
            && self.transfer_started_at.is_none()
            && self.commit >= self.first_index_of_term
            && self.is_membership_committed()
            && !next.voters.is_empty()
            && self.membership().is_single_step_to(&next);
        if !ready {
            return Err(NotLeader);
        }
        self.log.push(self.term, Payload::Membership(next));
        self.refresh_progress();
        self.replicate_all(now);
        Ok(())
    }

    /// Transfers leadership to `to` and gives up the lease immediately.
    ///
    /// # Errors
    /// [`NotLeader`] if this member is not the leader, or `to` is this member
    /// or not a voter.
    pub fn transfer_leadership(&mut self, now: Time, to: Member) -> Result<(), NotLeader> {
        if self.role != Role::Leader || !self.membership().voters.contains(&to) || to == self.me {
            return Err(NotLeader);
        }
        self.transfer_started_at = Some(now);
        self.send(to, Body::TimeoutNow);
        Ok(())
    }

    /// Replaces the log up to `index` with a snapshot that contains `data`.
    /// Does nothing if `index` is not applied yet or already compacted.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        if index <= self.log.snapshot.index || index > self.applied {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let membership = self.log.membership_at(index);
        self.log.compact(Snapshot {
            index,
            term,
            membership,
            data,
        });
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Time) {
        match self.role {
            Role::Leader => self.tick_leader(now),
            _ if now >= self.election_deadline && self.is_voter() => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Handles a message from another member.
    pub fn handle(&mut self, now: Time, message: Message) {
        if message.to != self.me {
            return;
        }
        if message.term > self.term && !self.ignores_term(now, &message.body) {
            self.become_follower(now, message.term);
        }
        let (from, term) = (message.from, message.term);
        match message.body {
            Body::PreVote {
                last_index,
                last_term,
            } => self.on_pre_vote(now, from, term, last_index, last_term),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(now, from, term, granted),
            Body::RequestVote {
                last_index,
                last_term,
                transfer,
            } => self.on_vote(now, from, term, (last_term, last_index), transfer),
            Body::VoteReply { granted } => self.on_vote_reply(now, from, term, granted),
            Body::AppendEntries {
                previous_index,
                previous_term,
                entries,
                commit,
                sent_at,
            } => {
                if self.accept_leader(now, from, term, sent_at) {
                    let previous = (previous_index, previous_term);
                    self.on_append(from, previous, entries, commit, sent_at);
                }
            }
            Body::AppendReply {
                accepted,
                match_index,
                echoed_sent_at,
            } => self.on_append_reply(now, from, term, (accepted, match_index), echoed_sent_at),
            Body::InstallSnapshot { snapshot, sent_at } => {
                if self.accept_leader(now, from, term, sent_at) {
                    self.on_install(from, snapshot, sent_at);
                }
            }
            Body::TimeoutNow => self.on_timeout_now(now, term),
        }
    }

    /// Returns whether a message must not raise this member's term. Pre-vote
    /// requests and granted pre-votes never do, nor does a vote request while a
    /// leader may hold a lease.
    fn ignores_term(&self, now: Time, body: &Body) -> bool {
        match body {
            Body::PreVote { .. } => true,
            Body::PreVoteReply { granted } => *granted,
            Body::RequestVote { transfer, .. } => !transfer && self.withholds_votes(now),
            _ => false,
        }
    }

    pub(crate) fn become_follower(&mut self, now: Time, term: Term) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.leader = None;
        }
        if self.role == Role::Leader {
            self.leader = None;
        }
        self.role = Role::Follower;
        self.transfer_started_at = None;
        self.progress.clear();
        self.reset_election_timer(now);
    }

    pub(crate) fn reset_election_timer(&mut self, now: Time) {
        let factor = 1.0 + self.rng.random_range(0.0..ELECTION_TIMEOUT_SPREAD);
        self.election_deadline = now + self.config.election_timeout.mul_f64(factor);
    }

    pub(crate) fn send(&mut self, to: Member, body: Body) {
        self.send_with_term(to, self.term, body);
    }

    pub(crate) fn send_with_term(&mut self, to: Member, term: Term, body: Body) {
        self.outputs.push(Output::Send(Message {
            from: self.me,
            to,
            term,
            body,
        }));
    }

    pub(crate) fn advance_commit(&mut self, commit: LogIndex) {
        self.commit = self.commit.max(commit.min(self.log.last_index()));
        while self.applied < self.commit {
            let next = self.applied.next();
            let Some(entry) = self.log.get(next).cloned() else {
                return;
            };
            self.applied = next;
            self.outputs.push(Output::Apply(entry));
        }
    }

    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log = Log::new(snapshot.clone());
        self.outputs.push(Output::Restore(snapshot));
    }
}
