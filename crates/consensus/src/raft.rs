//! A member's state, its public operations and its timers.

use crate::config::{ELECTION_TIMEOUT_SPREAD, RaftConfig};
use crate::log::{Entry, Log, Payload, Snapshot};
use crate::membership::Membership;
use crate::message::{Body, Message};
use crate::progress::Progress;
use beamtray_types::{LogIndex, Member, Term, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// What a member currently does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Writes the log.
    Leader,
}

/// What the owner of a [`Raft`] must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send(Message),
    /// Apply a committed entry; entries come in order, each once.
    Apply(Entry),
    /// Replace the state by a snapshot.
    Restore(Snapshot),
}

/// The operation needs the leader, and this member is not it.
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
    /// Last word from a leader. Starts at creation: a member that does not yet
    /// know whether a leader holds a lease must assume so.
    pub(crate) last_leader_contact: Time,
    pub(crate) election_deadline: Time,
    pub(crate) next_heartbeat_at: Time,
    pub(crate) votes: BTreeSet<Member>,
    pub(crate) progress: BTreeMap<Member, Progress>,
    /// Index of this leader's first entry; until it is committed the leader
    /// may not know of everything that is.
    pub(crate) first_index_of_term: LogIndex,
    /// When this leader was elected.
    pub(crate) elected_at: Time,
    pub(crate) transfer_started_at: Option<Time>,
    pub(crate) outputs: Vec<Output>,
    rng: ChaCha8Rng,
}

impl Raft {
    /// Starts a member from a snapshot, which names the founding members.
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

    /// Takes what must be sent and applied, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// This member's identity.
    pub fn me(&self) -> Member {
        self.me
    }

    /// What the member currently does.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The member's term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader of the term, when known.
    pub fn leader(&self) -> Option<Member> {
        self.leader
    }

    /// Highest index known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Last index of the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Number of entries kept behind the snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// The members in force.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Whether the last change of members is committed.
    pub fn is_membership_committed(&self) -> bool {
        self.log.membership().0 <= self.commit
    }

    /// Whether this member has a vote.
    pub fn is_voter(&self) -> bool {
        self.membership().voters.contains(&self.me)
    }

    /// When this leader was elected, on its own clock.
    pub fn elected_at(&self) -> Time {
        self.elected_at
    }

    /// Highest index that `member` is known to hold. Leader only.
    pub fn match_index(&self, member: Member) -> Option<LogIndex> {
        self.progress
            .get(&member)
            .map(|progress| progress.match_index)
    }

    /// When `member` last answered, by the sending time of what it answered.
    pub fn last_acknowledged(&self, member: Member) -> Option<Time> {
        self.progress.get(&member)?.last_acknowledged
    }

    /// Whether this member leads, knows all that is committed, and no other
    /// member can have been elected by `now`.
    ///
    /// Invariant: a voter that answered an append sent at `t` withholds its
    /// vote until `t + election`, and `election` exceeds the lease stretched
    /// by the drift. Without withholding, a cut-off leader and its successor
    /// would both pass this check.
    pub fn has_lease(&self, now: Time) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// End of the lease, when this member leads and has had one.
    pub fn lease_until(&self) -> Option<Time> {
        if self.role != Role::Leader
            || self.transfer_started_at.is_some()
            || self.commit < self.first_index_of_term
        {
            return None;
        }
        Some(self.quorum_acknowledged_at()? + self.config.lease_duration)
    }

    /// Adds a command to the log.
    ///
    /// # Errors
    /// [`NotLeader`] when this member does not lead or hands leadership over.
    pub fn propose(&mut self, now: Time, command: Vec<u8>) -> Result<LogIndex, NotLeader> {
        if self.role != Role::Leader || self.transfer_started_at.is_some() {
            return Err(NotLeader);
        }
        let index = self.log.push(self.term, Payload::Command(command));
        self.replicate_all(now);
        Ok(index)
    }

    /// Changes the members by one voter, or any learners.
    ///
    /// # Errors
    /// [`NotLeader`] when this member does not lead, the change before is not
    /// committed, this term has committed nothing yet, or the step is too long.
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

    /// Hands leadership to `to` and gives up the lease at once.
    ///
    /// # Errors
    /// [`NotLeader`] when this member does not lead or `to` has no vote.
    pub fn transfer_leadership(&mut self, now: Time, to: Member) -> Result<(), NotLeader> {
        if self.role != Role::Leader || !self.membership().voters.contains(&to) || to == self.me {
            return Err(NotLeader);
        }
        self.transfer_started_at = Some(now);
        self.send(to, Body::TimeoutNow);
        Ok(())
    }

    /// Drops the log up to `index`, which `data` replaces.
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

    /// Runs whatever is due.
    pub fn tick(&mut self, now: Time) {
        match self.role {
            Role::Leader => self.tick_leader(now),
            _ if now >= self.election_deadline && self.is_voter() => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Takes one message in.
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

    /// Messages that must not raise this member's term: a pre-vote never does,
    /// nor does a vote asked for while a leader may hold its lease.
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
