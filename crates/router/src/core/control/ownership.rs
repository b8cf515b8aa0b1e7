//! Ownership changes and counts for logs and metrics while this node is the granter.

use super::Control;
use crate::core::message::OwnershipNotice;
use beamtray_sharding::{Granter, UnansweredGrants};
use beamtray_types::{ServiceName, Time};

impl Control {
    /// Ownership notices of all services since the last call.
    pub fn take_ownership_notices(&mut self) -> Vec<(ServiceName, OwnershipNotice)> {
        let all = self.term.as_mut().and_then(|term| term.grants.as_mut());
        let mut notices = Vec::new();
        for (service, grants) in all.into_iter().flat_map(|all| all.iter_mut()) {
            let granter = &mut grants.granter;
            let owned = granter.take_owned_again().into_iter();
            let owned = owned.map(OwnershipNotice::OwnedAgain);
            notices.extend(owned.map(|notice| (service.clone(), notice)));
            let fences = granter.take_fence_notices().into_iter();
            let fences = fences.map(OwnershipNotice::Fence);
            notices.extend(fences.map(|notice| (service.clone(), notice)));
            let doubts = granter.take_doubt_notices().into_iter();
            let doubts = doubts.map(OwnershipNotice::Doubt);
            notices.extend(doubts.map(|notice| (service.clone(), notice)));
            let renewals = granter.take_renewal_notices().into_iter();
            let renewals = renewals.map(OwnershipNotice::Renewal);
            notices.extend(renewals.map(|notice| (service.clone(), notice)));
        }
        notices
    }

    fn granters(&self) -> impl Iterator<Item = &Granter> {
        let all = self.term.as_ref().and_then(|term| term.grants.as_ref());
        all.into_iter().flatten().map(|(_, grants)| &grants.granter)
    }

    /// Number of upstreams that lost keys and have not confirmed it yet, over all services.
    pub fn unfenced_count(&self) -> usize {
        self.granters().map(Granter::unfenced_count).sum()
    }

    /// Number of slices withheld because their last holder may still process a grant, over all
    /// services.
    pub fn doubted_count(&self) -> usize {
        self.granters().map(Granter::doubted_count).sum()
    }

    /// Number of grants of this term that were left unanswered, over all services.
    pub fn unanswered_grants(&self) -> UnansweredGrants {
        self.granters()
            .fold(UnansweredGrants::default(), |sum, granter| {
                let counts = granter.unanswered_grants();
                UnansweredGrants {
                    serving: sum.serving + counts.serving,
                    silent: sum.silent + counts.silent,
                }
            })
    }

    /// Number of slices, and how many of them are held, over all services.
    pub fn slice_counts(&self, now: Time) -> (usize, usize) {
        self.granters().fold((0, 0), |(slices, held), granter| {
            (
                slices + granter.slice_count(),
                held + granter.held_count(now),
            )
        })
    }
}
