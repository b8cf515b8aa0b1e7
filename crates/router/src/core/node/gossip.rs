//! Announcements of revisions to other nodes, and requests for their snapshots.

use super::{NodeCore, STORE_FAILURE_REPORT_WINDOW};
use crate::core::membership::Audience;
use crate::core::message::{Datagram, Output};
use crate::core::relays::TIERED_RELAY_MAX_AGE;
use crate::core::views::{StoreContact, ViewName};
use beamtray_metastore::Revision;
use beamtray_types::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of datagrams of one kind per second; in larger deployments each node receives
/// them less often.
const MAX_DATAGRAMS_PER_SECOND: u32 = 300;
/// Longest interval of the latest revisions to the nodes that rely on this one, in whatever number:
/// they must hear it again before they stop relying on it, also with two tiers and a lost datagram.
/// Otherwise nodes of a large zone turn to the store again and again although nothing is wrong.
const MAX_REVISIONS_INTERVAL: Duration =
    Duration::from_millis(TIERED_RELAY_MAX_AGE.as_millis() as u64 / 5);
/// How long after startup a node waits for the store before it asks the seeds: if all nodes start
/// together, all of them would ask the few seeds.
const SEED_QUERY_DELAY: Duration = Duration::from_millis(500);
/// How often the announcement of a change is repeated, since datagrams may be lost.
const CHANGE_REPEATS: u32 = 2;

/// When the latest revisions are sent next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RevisionsSchedule {
    /// To nodes of the same zone and the relays.
    near_at: Time,
    /// To all nodes.
    far_at: Time,
    /// Remaining repetitions of the last announcement.
    repeats_left: u32,
    /// The revisions announced last.
    last_sent: [Revision; ViewName::ALL.len()],
}

impl NodeCore {
    pub(super) fn send(&mut self, datagram: Datagram, audience: Audience) {
        let peers = self.membership.peers(audience);
        if !peers.is_empty() {
            self.outputs.push(Output::Send(datagram, peers));
        }
    }

    /// Recipients of news that this node found out itself and that all nodes need: all nodes in a
    /// small deployment, otherwise the relays, which forward it.
    pub(super) fn broadcast_targets(&self) -> Vec<SocketAddr> {
        if self.is_small_deployment() {
            return self.membership.peers(Audience::All);
        }
        let mut audience = self.zone_relays();
        audience.extend(self.relays_of_other_zones());
        audience.extend(self.forward_targets());
        audience
    }

    /// Recipients to which this node, as a relay in a large deployment, forwards news of other
    /// nodes.
    pub(super) fn forward_targets(&self) -> Vec<SocketAddr> {
        if self.is_relay() && !self.is_small_deployment() {
            return self.membership.peers(Audience::SameZone);
        }
        Vec::new()
    }

    /// Announces a change immediately, if other nodes rely on this node for it.
    pub(super) fn announce_changes(&mut self, now: Time) {
        let latest = self.views.own_revisions(None).latest;
        if latest != self.revisions.last_sent && self.is_relied_on() {
            self.revisions.last_sent = latest;
            self.revisions.repeats_left = CHANGE_REPEATS;
            self.revisions.near_at = now;
            self.send_revisions(now);
        }
    }

    /// Whether other nodes rely on this node's announcements.
    fn is_relied_on(&self) -> bool {
        self.serves_as_relay() || self.was_granter.is_some()
    }

    /// Whether other nodes may rely on this node for the state of the store.
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
        self.revisions.near_at = now + pause.max(min_interval(near).min(MAX_REVISIONS_INTERVAL));
        let revisions = self.views.own_revisions(self.contact(now));
        self.send(Datagram::LatestRevisions(revisions), audience);
    }

    /// This node's contact with the store, if others may rely on it.
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
            let peers = vec![granter.peer_address];
            self.outputs
                .push(Output::Send(Datagram::KeyReport(report), peers));
        }
    }

    /// Requests snapshots from another node while the store is unreachable.
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

    /// Nodes to request snapshots from: the relays, starting with those of this zone, or any node
    /// if this node is a relay itself.
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

/// Minimum interval between datagrams to the given number of nodes.
pub(super) fn min_interval(nodes: usize) -> Duration {
    Duration::from_secs(1) * nodes as u32 / MAX_DATAGRAMS_PER_SECOND
}
