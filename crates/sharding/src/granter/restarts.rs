//! Upstreams that start again under their names.
//!
//! A restart has forgotten all tokens, so it would take any old order that still comes to
//! its address under its name, also of keys that the one before had given back. Invariant:
//! it gets no keys before it has answered a release of all of them under a fresh token.
//! Keys that the one before held are taken back from it as from any upstream that left:
//! who answers at its address is the restart, and it answers at once.

use super::{Candidate, Granter};
use crate::range::KeyRange;
use crate::slice::Slice;
use beamtray_catalog::{UpstreamId, UpstreamName};
use beamtray_types::Time;
use std::collections::BTreeMap;

impl Granter {
    /// Fences those of the next candidates that have started again.
    pub(super) fn fence_restarts(&mut self, now: Time, next: &BTreeMap<UpstreamId, Candidate>) {
        let is_new = |id: &&UpstreamId| !self.candidates.contains_key(*id);
        let new: Vec<&UpstreamId> = next.keys().filter(is_new).collect();
        if new.is_empty() || !self.timing.guards.fences_lost_holders {
            return;
        }
        let known = self.known_by_name();
        let is_restart = |id: &&UpstreamId| {
            let before = known.get(&id.name);
            before.is_some_and(|before| before.iter().any(|one| id.is_restart_of(one)))
        };
        let restarted = new.into_iter().filter(is_restart);
        let restarted: Vec<UpstreamId> = restarted.cloned().collect();
        for id in restarted {
            let token = self.next_token();
            self.lost_holders.add(now, &id, KeyRange::ALL, token);
            self.dirty = true;
        }
    }

    /// All incarnations that hold keys, did of late, or could have.
    fn known_by_name(&self) -> BTreeMap<&UpstreamName, Vec<&UpstreamId>> {
        let holders = self.slices.values().filter_map(Slice::current);
        let known = self.candidates.keys().chain(self.contacts.keys());
        let known = known.chain(holders).chain(self.lost_holders.upstreams());
        let mut by_name: BTreeMap<&UpstreamName, Vec<&UpstreamId>> = BTreeMap::new();
        for id in known {
            by_name.entry(&id.name).or_default().push(id);
        }
        by_name
    }

    /// Ends the fences of the incarnations before one that has answered for all keys.
    pub(super) fn end_earlier_fences(&mut self, fenced: &UpstreamId) {
        let candidates = &self.candidates;
        self.lost_holders
            .end(|id| fenced.is_restart_of(id) && !candidates.contains_key(id));
    }
}
