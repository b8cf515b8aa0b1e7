//! Registrations of upstreams in the store: heartbeats, expiry and removal.

use super::network::Event;
use super::upstreams::{MISSED_HEARTBEATS, key_of};
use super::{HEARTBEAT, World};
use beamtray_catalog::{UpstreamId, UpstreamRecord, UpstreamState as Announced};
use beamtray_dialect::Dialect;
use rand::RngExt;

impl World {
    /// Writes registrations that are due and removes expired ones.
    pub(super) fn heartbeats(&mut self) {
        for index in 0..self.upstreams.len() {
            self.heartbeat(index);
        }
    }

    fn heartbeat(&mut self, index: usize) {
        let now = self.now;
        let Some(upstream) = &self.upstreams[index] else {
            return;
        };
        let key = key_of(&upstream.config.id);
        let mut record = upstream.record();
        let state = &mut self.upstream_state[index];
        record.warm_up_left = state.cold_until.since(now);
        if let Some(since) = state.cut_since {
            let missed = now.since(since) >= HEARTBEAT * MISSED_HEARTBEATS;
            if missed && !self.store_state.down && self.store.get(&key).is_some() {
                self.store.delete(now, &key);
            }
            return;
        }
        if state.withdrawn || now < state.next_heartbeat || self.store_state.down {
            return;
        }
        state.next_heartbeat = now + HEARTBEAT;
        if self.registered_as(&key).as_ref() != Some(&record.id) {
            let value = self.dialect.encode_upstream(record);
            self.store.put(now, &key, value);
        }
    }

    /// Identity of the upstream registered under a key.
    fn registered_as(&self, key: &str) -> Option<UpstreamId> {
        let item = self.store.get(key)?;
        let record = self.dialect.decode_upstream(key, &item.value);
        Some(record.expect("the world wrote it").id)
    }

    /// Removes the registration of an upstream that has ended, unless another incarnation has
    /// registered under the same key.
    pub(super) fn remove_registration(&mut self, id: &UpstreamId) {
        let key = key_of(id);
        if self.registered_as(&key).as_ref() == Some(id) {
            self.store.delete(self.now, &key);
        }
    }

    /// Removes registrations whose leases expire during an outage.
    pub(super) fn lapse_registrations(&mut self) {
        for index in 0..self.upstreams.len() {
            if self.random.random_bool(0.2) {
                continue;
            }
            let id = self.upstreams[index].as_ref().map(|u| u.config.id.clone());
            if let Some(id) = id {
                self.store.delete(self.now, &key_of(&id));
                self.upstream_state[index].next_heartbeat = self.now + HEARTBEAT;
            }
        }
    }

    /// Live upstreams repeat their registrations; those of others are removed.
    pub(super) fn write_registrations_again(&mut self) {
        let now = self.now;
        let mut living = Vec::new();
        for index in 0..self.upstreams.len() {
            let Some(upstream) = &self.upstreams[index] else {
                continue;
            };
            let state = &self.upstream_state[index];
            let is_leaver = upstream.state == Announced::Draining && state.leaves;
            if state.cut_since.is_some() || (state.withdrawn && !is_leaver) {
                continue;
            }
            let mut record = upstream.record();
            record.warm_up_left = state.cold_until.since(now);
            let key = key_of(&record.id);
            let value = self.dialect.encode_upstream(record);
            self.store.put(now, &key, value);
            living.push(key);
        }
        for key in self.store.keys_with_prefix("upstreams/") {
            if !living.contains(&key) {
                self.store.delete(now, &key);
            }
        }
    }

    pub(super) fn late_registration(&mut self, record: UpstreamRecord) {
        if self.store_state.down {
            return;
        }
        let id = record.id.clone();
        let value = self.dialect.encode_upstream(record);
        self.store.put(self.now, &key_of(&id), value);
        let vanishes = HEARTBEAT * MISSED_HEARTBEATS;
        self.schedule(vanishes, Event::StaleRegistrationEnds { id });
    }
}
