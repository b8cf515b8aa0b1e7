//! Group membership: voters and learners.

use beamtray_types::Member;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeSet;

/// The voters and learners of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Membership {
    /// Members whose votes and acknowledgements count towards a quorum.
    pub voters: BTreeSet<Member>,
    /// Members that receive the log without a vote, to catch up before they
    /// become voters.
    pub learners: BTreeSet<Member>,
}

impl Membership {
    /// Creates a membership without learners.
    pub fn of_voters(voters: impl IntoIterator<Item = Member>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns an iterator over voters and learners.
    pub fn all(&self) -> impl Iterator<Item = Member> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns whether `next` differs by at most one voter. Then every majority
    /// of one membership shares a voter with every majority of the other
    /// (Ongaro's dissertation, section 4.1).
    pub fn is_single_step_to(&self, next: &Self) -> bool {
        self.voters.symmetric_difference(&next.voters).count() <= 1
    }
}
