//! Log replication, snapshots, commitment and the quorum checks for the leader
//! lease.

use crate::config::MAX_APPEND_ENTRIES;
use crate::log::{Entry, Snapshot};
use crate::message::Body;
use crate::raft::{Raft, Role};
use beamtray_types::{LogIndex, Member, Term, Time};

impl Raft {
    pub(crate) fn tick_leader(&mut self, now: Time) {
        if self.has_lost_quorum(now) {
            return self.become_follower(now, self.term);
        }
        // If a transfer led to no election, this member remains the leader.
        if let Some(since) = self.transfer_started_at
            && now.since(since) > self.config.election_timeout * 2
        {
            self.transfer_started_at = None;
        }
        if now >= self.next_heartbeat_at {
            self.replicate_all(now);
        }
    }

    /// Check-quorum: a leader without acknowledgements from a majority steps
    /// down, so that its clients look for another leader.
    fn has_lost_quorum(&self, now: Time) -> bool {
        let answered = self.quorum_acknowledged_at().unwrap_or(self.elected_at);
        now.since(answered.max(self.elected_at)) > self.config.election_timeout * 2
    }

    pub(crate) fn replicate_all(&mut self, now: Time) {
        self.next_heartbeat_at = now + self.config.heartbeat_interval;
        let others: Vec<Member> = self
            .progress
            .keys()
            .copied()
            .filter(|member| *member != self.me)
            .collect();
        for member in others {
            self.replicate(now, member);
        }
        self.advance_leader_commit();
    }

    fn replicate(&mut self, now: Time, to: Member) {
        let Some(progress) = self.progress.get(&to).copied() else {
            return;
        };
        let previous_index = LogIndex(progress.next_index.0.saturating_sub(1));
        let Some(previous_term) = self.log.term_at(previous_index) else {
            let snapshot = self.log.snapshot.clone();
            let sent_at = now;
            return self.send(to, Body::InstallSnapshot { snapshot, sent_at });
        };
        let entries = self
            .log
            .entries_from(progress.next_index, MAX_APPEND_ENTRIES);
        let next = LogIndex(progress.next_index.0 + entries.len() as u64);
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.next_index = next;
        }
        let body = Body::AppendEntries {
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
            sent_at: now,
        };
        self.send(to, body);
    }

    /// Returns whether the sender is the leader of the current term. A former
    /// leader receives a rejection with the current term.
    pub(crate) fn accept_leader(
        &mut self,
        now: Time,
        from: Member,
        term: Term,
        sent_at: Time,
    ) -> bool {
        if term < self.term {
            let body = Body::AppendReply {
                accepted: false,
                match_index: LogIndex(0),
                echoed_sent_at: sent_at,
            };
            self.send(from, body);
            return false;
        }
        if self.role != Role::Follower {
            self.become_follower(now, term);
        }
        self.leader = Some(from);
        self.last_leader_contact = now;
        self.reset_election_timer(now);
        true
    }

    /// Merges a leader's entries and replies with the index up to which the
    /// logs match.
    pub(crate) fn on_append(
        &mut self,
        from: Member,
        previous: (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
        sent_at: Time,
    ) {
        let accepted = self.matches(previous);
        let match_index = if accepted {
            // Acknowledge and commit only up to the last entry covered by this
            // message: later entries in the log may come from a former leader.
            let last_verified = LogIndex(previous.0.0 + entries.len() as u64);
            self.log.merge(entries);
            self.advance_commit(commit.min(last_verified));
            last_verified
        } else {
            let before = LogIndex(previous.0.0.saturating_sub(1));
            before.min(self.log.last_index())
        };
        let body = Body::AppendReply {
            accepted,
            match_index,
            echoed_sent_at: sent_at,
        };
        self.send(from, body);
    }

    /// Log matching check: returns whether the log contains the entry that
    /// precedes a message's entries.
    fn matches(&self, (index, term): (LogIndex, Term)) -> bool {
        index < self.log.snapshot.index || self.log.term_at(index) == Some(term)
    }

    pub(crate) fn on_install(&mut self, from: Member, snapshot: Snapshot, sent_at: Time) {
        if snapshot.index > self.commit {
            self.restore(snapshot);
        }
        let body = Body::AppendReply {
            accepted: true,
            match_index: self.commit,
            echoed_sent_at: sent_at,
        };
        self.send(from, body);
    }

    pub(crate) fn on_append_reply(
        &mut self,
        now: Time,
        from: Member,
        term: Term,
        (accepted, match_index): (bool, LogIndex),
        echoed_sent_at: Time,
    ) {
        if self.role != Role::Leader || term != self.term {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_acknowledged = progress.last_acknowledged.max(Some(echoed_sent_at));
        let behind = if accepted {
            progress.match_index = progress.match_index.max(match_index.min(last));
            progress.next_index = progress.next_index.max(progress.match_index.next());
            progress.next_index <= last
        } else {
            progress.next_index = match_index.next().max(progress.match_index.next());
            true
        };
        self.advance_leader_commit();
        if behind {
            self.replicate(now, from);
        }
    }

    /// Commits up to the highest index that is replicated to a majority, if its
    /// entry is of the current term. Entries of earlier terms are committed
    /// only together with one of the current term (Raft, section 5.4.2).
    fn advance_leader_commit(&mut self) {
        let membership = self.membership();
        let mut match_indexes: Vec<LogIndex> = membership
            .voters
            .iter()
            .map(|member| self.match_index_of(*member))
            .collect();
        match_indexes.sort_unstable_by(|left, right| right.cmp(left));
        let Some(index) = match_indexes.get(membership.quorum() - 1).copied() else {
            return;
        };
        if self.log.term_at(index) == Some(self.term) {
            self.advance_commit(index);
        }
        if self.role == Role::Leader && self.is_membership_committed() {
            self.refresh_progress();
        }
        let removed = self.is_membership_committed() && !self.is_voter();
        if self.role == Role::Leader && removed {
            let (now, term) = (self.next_heartbeat_at, self.term);
            self.become_follower(now, term);
        }
    }

    fn match_index_of(&self, member: Member) -> LogIndex {
        if member == self.me {
            return self.log.last_index();
        }
        self.match_index(member).unwrap_or_default()
    }

    /// Returns the latest time such that a majority has acknowledged a message
    /// sent at or after it.
    pub(crate) fn quorum_acknowledged_at(&self) -> Option<Time> {
        let membership = self.membership();
        let mut answered: Vec<Option<Time>> = membership
            .voters
            .iter()
            .map(|member| {
                if *member == self.me {
                    return Some(Time(u64::MAX / 2));
                }
                self.last_acknowledged(*member)
            })
            .collect();
        answered.sort_unstable_by(|left, right| right.cmp(left));
        answered.get(membership.quorum() - 1).copied().flatten()
    }
}
