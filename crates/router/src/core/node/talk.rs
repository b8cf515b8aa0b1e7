//! What a node tells other nodes, and what it asks of them.

use super::{NodeCore, TROUBLE_TOLD};
use crate::core::membership::Audience;
use crate::core::message::{Datagram, Output};
use crate::core::views::{StoreContact, ViewName};
use beamtray_metastore::Revision;
use beamtray_types::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Most datagrams a second of one sort: with many nodes each hears less often.
const DATAGRAMS_A_SECOND: u32 = 300;
/// How long a node that has just started waits for the store before it asks the seeds:
/// where all nodes start together the few seeds would be asked by all of them.
const SEED_PATIENCE: Duration = Duration::from_millis(500);
/// How often word of a change is repeated at once: datagrams get lost.
const HEADS_REPEATED: u32 = 2;

/// When the newest changes are told next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeadsSchedule {
    /// To nodes of the same zone and the relays.
    near_at: Time,
    /// To all nodes.
    far_at: Time,
    /// Repetitions of the last change that are left.
    left: u32,
    /// What was told last.
    told: [Revision; ViewName::ALL.len()],
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
    pub(super) fn news_audience(&self) -> Vec<SocketAddr> {
        if self.are_few() {
            return self.membership.peers(Audience::All);
        }
        let mut audience = self.near_relays();
        audience.extend(self.other_relays());
        audience.extend(self.passed_on_to());
        audience
    }

    /// Whom this node passes other nodes' news on to, as a relay of many.
    pub(super) fn passed_on_to(&self) -> Vec<SocketAddr> {
        if self.is_relay() && !self.are_few() {
            return self.membership.peers(Audience::Near);
        }
        Vec::new()
    }

    /// Tells of a change at once, if others rely on this node for it.
    pub(super) fn tell_changes(&mut self, now: Time) {
        let latest = self.views.own_heads(None).latest;
        if latest != self.heads.told && self.is_told_by() {
            self.heads.told = latest;
            self.heads.left = HEADS_REPEATED;
            self.heads.near_at = now;
            self.tell_heads(now);
        }
    }

    /// Whether other nodes rely on the word of this one.
    fn is_told_by(&self) -> bool {
        self.tells_as_relay() || self.was_granter.is_some()
    }

    /// Whether other nodes may rely on this one for the store.
    fn tells_as_relay(&self) -> bool {
        self.acts_as_relay || (self.is_relay() && self.views.follows())
    }

    pub(super) fn tell_heads(&mut self, now: Time) {
        if !self.is_told_by() || now < self.heads.near_at {
            return;
        }
        let timing = self.config.timing;
        let all = self.membership.count(Audience::All);
        if all == 0 {
            return;
        }
        let audience = if now >= self.heads.far_at {
            self.heads.far_at = now + timing.far_heads.max(bounded(all));
            Audience::All
        } else {
            Audience::NearAndRelays
        };
        let pause = if self.heads.left > 0 {
            timing.repeat
        } else {
            timing.heads
        };
        self.heads.left = self.heads.left.saturating_sub(1);
        let near = self.membership.count(Audience::NearAndRelays);
        self.heads.near_at = now + pause.max(bounded(near));
        let heads = self.views.own_heads(self.contact(now));
        self.send(Datagram::Heads(heads), audience);
    }

    /// How this node stands with the store, if others may rely on it.
    fn contact(&self, now: Time) -> Option<StoreContact> {
        if !self.tells_as_relay() {
            return None;
        }
        if !self.views.follows() {
            let relayed = self.relayed_contact(now)?;
            let trouble = relayed.trouble_age.filter(|age| *age < TROUBLE_TOLD);
            return Some(StoreContact::new(relayed.age, trouble));
        }
        let sound_at = self.control.store_sound_at()?;
        let trouble = self.trouble_at.map(|at| now.since(at));
        let trouble = trouble.filter(|age| *age < TROUBLE_TOLD);
        Some(StoreContact::new(now.since(sound_at), trouble))
    }

    pub(super) fn report_keys(&mut self, now: Time) {
        if now < self.key_report_at {
            return;
        }
        self.key_report_at = now + self.config.timing.key_report;
        let report = self.dispatcher.key_report();
        if report.keys.is_empty() {
            return;
        }
        if self.control.is_granter(now) {
            self.control.report(&report);
        } else if let Some(granter) = &self.views.granter {
            let peers = vec![granter.peer_address];
            self.outputs
                .push(Output::Send(Datagram::Keys(report), peers));
        }
    }

    /// While the store does not answer, other nodes may know more.
    pub(super) fn ask_peers(&mut self, now: Time) {
        if now < self.ask_at || !self.views.is_troubled(now) {
            return;
        }
        let mut peers = self.knowing_peers();
        let started = self.started_at.unwrap_or(now);
        if peers.is_empty() && now.since(started) < SEED_PATIENCE {
            return;
        }
        self.ask_at = now + self.config.timing.ask_peers;
        if peers.is_empty() {
            let own = self.config.control.record.peers;
            peers.extend(self.config.seeds.iter().filter(|seed| **seed != own));
        }
        if peers.is_empty() {
            return;
        }
        let peer = peers[self.asked % peers.len()];
        self.asked += 1;
        self.fetch(now, peer, &ViewName::ALL);
    }

    /// Whom to ask for copies: the relays, those of the same zone first, or
    /// anybody where this node is a relay itself.
    fn knowing_peers(&self) -> Vec<SocketAddr> {
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
pub(super) fn bounded(nodes: usize) -> Duration {
    Duration::from_secs(1) * nodes as u32 / DATAGRAMS_A_SECOND
}
