//! Who votes and who only listens.

use beamtray_types::Member;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeSet;

/// The voters and learners of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Membership {
    /// Members whose votes and acknowledgements count.
    pub voters: BTreeSet<Member>,
    /// Members that receive the log on their way to a vote.
    pub learners: BTreeSet<Member>,
}

impl Membership {
    /// A membership of voters only.
    pub fn of_voters(voters: impl IntoIterator<Item = Member>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// The least number of voters that is a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = Member> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether `next` differs by at most one voter, so that every majority of
    /// one shares a voter with every majority of the other (dissertation,
    /// section 4.1).
    pub fn is_single_step_to(&self, next: &Self) -> bool {
        self.voters.symmetric_difference(&next.voters).count() <= 1
    }
}
