//! What a node tells other nodes, and what it asks of them.

use super::{NodeCore, STORE_FAILURE_REPORT_WINDOW};
use crate::core::membership::Audience;
use crate::core::message::{Datagram, Output};
use crate::core::views::{StoreContact, ViewName};
use beamtray_metastore::Revision;
use beamtray_types::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Most datagrams a second of one sort: with many nodes each hears less often.
const MAX_DATAGRAMS_PER_SECOND: u32 = 300;
/// How long a node that has just started waits for the store before it asks the seeds:
/// where all nodes start together the few seeds would be asked by all of them.
const SEED_QUERY_DELAY: Duration = Duration::from_millis(500);
/// How often word of a change is repeated at once: datagrams get lost.
const CHANGE_REPEATS: u32 = 2;

/// When the newest changes are told next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RevisionsSchedule {
    /// To nodes of the same zone and the relays.
    near_at: Time,
    /// To all nodes.
    far_at: Time,
    /// Repetitions of the last change that are left.
    repeats_left: u32,
    /// What was told last.
    last_sent: [Revision; ViewName::ALL.len()],
}

impl NodeCore {
    pub(super) fn send(&mut self, datagram: Datagram, audience: Audience) {
        let peers = self.membership.peers(audience);
        if !peers.is_empty() {
            self.outputs.push(Output::Send(datagram, peers));
        }
    }

    /// Whom this node tells of what it has found out itself, for all to know: all where there
    /// are few, else the relays, which pass it on.
    pub(super) fn broadcast_targets(&self) -> Vec<SocketAddr> {
        if self.is_small_deployment() {
            return self.membership.peers(Audience::All);
        }
        let mut audience = self.zone_relays();
        audience.extend(self.relays_of_other_zones());
        audience.extend(self.forward_targets());
        audience
    }

    /// Whom this node passes other nodes' news on to, as a relay of many.
    pub(super) fn forward_targets(&self) -> Vec<SocketAddr> {
        if self.is_relay() && !self.is_small_deployment() {
            return self.membership.peers(Audience::SameZone);
        }
        Vec::new()
    }

    /// Tells of a change at once, if others rely on this node for it.
    pub(super) fn announce_changes(&mut self, now: Time) {
        let latest = self.views.own_revisions(None).latest;
        if latest != self.revisions.last_sent && self.is_relied_on() {
            self.revisions.last_sent = latest;
            self.revisions.repeats_left = CHANGE_REPEATS;
            self.revisions.near_at = now;
            self.send_revisions(now);
        }
    }

    /// Whether other nodes rely on the word of this one.
    fn is_relied_on(&self) -> bool {
        self.serves_as_relay() || self.was_granter.is_some()
    }

    /// Whether other nodes may rely on this one for the store.
    fn serves_as_relay(&self) -> bool {
        self.acts_as_relay || (self.is_relay() && self.views.follows_store())
    }

    pub(super) fn send_revisions(&mut self, now: Time) {
        if !self.is_relied_on() || now < self.revisions.near_at {
            return;
        }
        let timing = self.config.timing;
        let all = self.membership.count(Audience::All);
        if all == 0 {
            return;
        }
        let audience = if now >= self.revisions.far_at {
            self.revisions.far_at = now + timing.far_revisions_interval.max(min_interval(all));
            Audience::All
        } else {
            Audience::SameZoneAndRelays
        };
        let pause = if self.revisions.repeats_left > 0 {
            timing.repeat_interval
        } else {
            timing.revisions_interval
        };
        self.revisions.repeats_left = self.revisions.repeats_left.saturating_sub(1);
        let near = self.membership.count(Audience::SameZoneAndRelays);
        self.revisions.near_at = now + pause.max(min_interval(near));
        let revisions = self.views.own_revisions(self.contact(now));
        self.send(Datagram::LatestRevisions(revisions), audience);
    }

    /// How this node stands with the store, if others may rely on it.
    fn contact(&self, now: Time) -> Option<StoreContact> {
        if !self.serves_as_relay() {
            return None;
        }
        if !self.views.follows_store() {
            let relayed = self.relayed_contact(now)?;
            let failure = relayed
                .failure_age
                .filter(|age| *age < STORE_FAILURE_REPORT_WINDOW);
            return Some(StoreContact::new(relayed.age, failure));
        }
        let last_contact = self.control.last_store_contact()?;
        let failure = self.store_failed_at.map(|at| now.since(at));
        let failure = failure.filter(|age| *age < STORE_FAILURE_REPORT_WINDOW);
        Some(StoreContact::new(now.since(last_contact), failure))
    }

    pub(super) fn report_keys(&mut self, now: Time) {
        if now < self.key_report_at {
            return;
        }
        self.key_report_at = now + self.config.timing.key_report_interval;
        let report = self.dispatcher.key_report();
        if report.keys.is_empty() {
            return;
        }
        if self.control.is_granter(now) {
            self.control.add_key_report(&report);
        } else if let Some(granter) = &self.views.granter {
            let peers = vec![granter.peers];
            self.outputs
                .push(Output::Send(Datagram::KeyReport(report), peers));
        }
    }

    /// While the store does not answer, other nodes may know more.
    pub(super) fn query_peers(&mut self, now: Time) {
        if now < self.next_peer_query || !self.views.is_disconnected(now) {
            return;
        }
        let mut peers = self.snapshot_sources();
        let started = self.started_at.unwrap_or(now);
        if peers.is_empty() && now.since(started) < SEED_QUERY_DELAY {
            return;
        }
        self.next_peer_query = now + self.config.timing.peer_query_interval;
        if peers.is_empty() {
            let own = self.config.control.record.peers;
            peers.extend(self.config.seeds.iter().filter(|seed| **seed != own));
        }
        if peers.is_empty() {
            return;
        }
        let peer = peers[self.peer_query_count % peers.len()];
        self.peer_query_count += 1;
        self.fetch(now, peer, &ViewName::ALL);
    }

    /// Whom to ask for copies: the relays, those of the same zone first, or
    /// anybody where this node is a relay itself.
    fn snapshot_sources(&self) -> Vec<SocketAddr> {
        if self.is_relay() {
            return self.membership.peers(Audience::All);
        }
        let own = &self.config.control.record;
        let relays = self.views.nodes.values();
        let relays = relays.filter(|node| self.membership.relays().contains(&node.peers));
        let (near, far): (Vec<_>, Vec<_>) = relays.partition(|node| node.zone == own.zone);
        let relays = near.into_iter().chain(far).map(|node| node.peers);
        relays.filter(|address| *address != own.peers).collect()
    }
}

/// Least pause between datagrams to so many nodes.
pub(super) fn min_interval(nodes: usize) -> Duration {
    Duration::from_secs(1) * nodes as u32 / MAX_DATAGRAMS_PER_SECOND
}
