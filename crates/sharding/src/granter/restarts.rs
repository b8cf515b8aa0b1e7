//! Upstreams that restart under their name.
//!
//! A restarted process knows no tokens, so it accepts any old order that still reaches its
//! address under its name, even for keys that its predecessor had returned. Invariant: it
//! gets no keys before it has answered a release of the whole key space under a fresh token.
//! Keys that the predecessor held are revoked as from any upstream that left: the restarted
//! process answers at its address, and it answers at once.
//!
//! Therefore every upstream that was registered is remembered for as long as old orders to it
//! may still arrive. Otherwise, when an upstream returned its keys, vanished and was up again
//! a second later, nothing named its predecessor, so the restarted process was sent no token
//! for three seconds.

use super::{Candidate, Granter};
use crate::lost_holders::FORGET_AFTER;
use crate::range::KeyRange;
use crate::slice::Slice;
use beamtray_catalog::{UpstreamId, UpstreamName};
use beamtray_types::Time;
use std::collections::BTreeMap;

impl Granter {
    /// Remembers upstreams that are not among the next candidates.
    pub(super) fn record_departures(&mut self, now: Time, next: &BTreeMap<UpstreamId, Candidate>) {
        self.departed_at
            .retain(|id, at| now.since(*at) < FORGET_AFTER && !next.contains_key(id));
        let gone = self.candidates.keys().filter(|id| !next.contains_key(*id));
        self.departed_at.extend(gone.map(|id| (id.clone(), now)));
    }

    /// Fences those of the next candidates that are restarts.
    pub(super) fn fence_restarts(&mut self, now: Time, next: &BTreeMap<UpstreamId, Candidate>) {
        let is_new = |id: &&UpstreamId| !self.candidates.contains_key(*id);
        let new: Vec<&UpstreamId> = next.keys().filter(is_new).collect();
        if new.is_empty() || !self.timing.guards.fences_lost_holders {
            return;
        }
        let known = self.known_incarnations();
        let is_restart = |id: &&UpstreamId| {
            let before = known.get(&id.name);
            before.is_some_and(|before| before.iter().any(|id_before| id.is_restart_of(id_before)))
        };
        let restarted = new.into_iter().filter(is_restart);
        let restarted: Vec<UpstreamId> = restarted.cloned().collect();
        for id in restarted {
            let token = self.next_token();
            self.lost_holders.add(now, &id, KeyRange::ALL, token);
            self.dirty = true;
        }
    }

    /// All incarnations that hold keys, recently did, or may have.
    fn known_incarnations(&self) -> BTreeMap<&UpstreamName, Vec<&UpstreamId>> {
        let holders = self.slices.values().filter_map(Slice::current_holder);
        let known = self.candidates.keys().chain(self.contacts.keys());
        let known = known.chain(holders).chain(self.departed_at.keys());
        let known = known.chain(self.lost_holders.upstreams());
        let mut by_name: BTreeMap<&UpstreamName, Vec<&UpstreamId>> = BTreeMap::new();
        for id in known {
            by_name.entry(&id.name).or_default().push(id);
        }
        by_name
    }

    /// Stops fencing earlier incarnations of an upstream that has confirmed the release of
    /// all keys.
    pub(super) fn end_earlier_fences(&mut self, fenced: &UpstreamId) {
        let candidates = &self.candidates;
        self.lost_holders
            .remove_terminated(|id| fenced.is_restart_of(id) && !candidates.contains_key(id));
    }
}
