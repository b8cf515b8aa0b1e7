//! Elections: pre-vote, vote, and vote withholding to protect leader leases.

use crate::log::Payload;
use crate::message::Body;
use crate::progress::Progress;
use crate::raft::{Raft, Role};
use beamtray_types::{LogIndex, Member, Term, Time};

impl Raft {
    /// Returns whether a leader may hold a lease based on this member's
    /// acknowledgements.
    pub(crate) fn withholds_votes(&self, now: Time) -> bool {
        self.config.withhold_votes
            && (now < self.last_leader_contact + self.config.election_timeout
                || (self.role == Role::Leader && self.has_lease(now)))
    }

    fn is_up_to_date(&self, last_term: Term, last_index: LogIndex) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn start_pre_vote(&mut self, now: Time) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = [self.me].into();
        self.reset_election_timer(now);
        if self.has_majority() {
            return self.start_election(now, false);
        }
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(self.term.next(), body);
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now: Time,
        from: Member,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let granted = term > self.term
            && !self.withholds_votes(now)
            && self.is_up_to_date(last_term, last_index);
        let reply_term = if granted { term } else { self.term };
        self.send_with_term(from, reply_term, Body::PreVoteReply { granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, now: Time, from: Member, term: Term, granted: bool) {
        if self.role != Role::PreCandidate || !granted || term != self.term.next() {
            return;
        }
        self.votes.insert(from);
        if self.has_majority() {
            self.start_election(now, false);
        }
    }

    pub(crate) fn start_election(&mut self, now: Time, transfer: bool) {
        self.term = self.term.next();
        self.role = Role::Candidate;
        self.voted_for = Some(self.me);
        self.leader = None;
        self.votes = [self.me].into();
        self.reset_election_timer(now);
        if self.has_majority() {
            return self.become_leader(now);
        }
        let body = Body::RequestVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        self.send_to_voters(self.term, body);
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Time,
        from: Member,
        term: Term,
        (last_term, last_index): (Term, LogIndex),
        transfer: bool,
    ) {
        let may_vote_for = self.voted_for.is_none_or(|member| member == from);
        let granted = term == self.term
            && may_vote_for
            && (transfer || !self.withholds_votes(now))
            && self.is_up_to_date(last_term, last_index);
        if granted {
            self.voted_for = Some(from);
            self.reset_election_timer(now);
        }
        self.send(from, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, now: Time, from: Member, term: Term, granted: bool) {
        if self.role != Role::Candidate || term != self.term || !granted {
            return;
        }
        self.votes.insert(from);
        if self.has_majority() {
            self.become_leader(now);
        }
    }

    pub(crate) fn on_timeout_now(&mut self, now: Time, term: Term) {
        if term == self.term && self.is_voter() && self.role != Role::Leader {
            self.start_election(now, true);
        }
    }

    fn become_leader(&mut self, now: Time) {
        self.role = Role::Leader;
        self.leader = Some(self.me);
        self.elected_at = now;
        self.transfer_started_at = None;
        self.progress.clear();
        self.first_index_of_term = self.log.push(self.term, Payload::Noop);
        self.refresh_progress();
        self.replicate_all(now);
    }

    fn has_majority(&self) -> bool {
        let membership = self.membership();
        let votes = membership.voters.intersection(&self.votes).count();
        votes >= membership.quorum()
    }

    fn send_to_voters(&mut self, term: Term, body: Body) {
        let others = self.membership().voters.clone();
        for member in others {
            if member != self.me {
                self.send_with_term(member, term, body.clone());
            }
        }
    }

    /// Tracks the progress of every member of the effective membership. Removed
    /// members stay tracked until their removal is committed, so that they
    /// receive the change and learn that they are no longer voters.
    pub(crate) fn refresh_progress(&mut self) {
        let members: Vec<Member> = self.membership().all().collect();
        if self.is_membership_committed() {
            self.progress.retain(|member, _| members.contains(member));
        }
        let last = self.log.last_index();
        for member in members {
            self.progress
                .entry(member)
                .or_insert(Progress::starting_after(last));
        }
    }
}
