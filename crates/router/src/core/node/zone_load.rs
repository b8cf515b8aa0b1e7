//! What a zone tells the others of requests under way, where there are few nodes.
//!
//! One node of each zone, the first one alive, sums what the zone has under way
//! and tells one node of each other zone, which passes it on. So bytes between
//! zones grow with the zones and not with the pairs of nodes.
//!
//! Weighed: every node tells every other (78 pairs between zones at 11 nodes
//! instead of 6, and the larger part of all bytes between zones).

use super::NodeCore;
use crate::core::membership::Audience;
use crate::core::message::{Datagram, Output};
use beamtray_types::Time;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A node that was not heard for this long does not lead its zone.
const ZONE_LEADER_TIMEOUT: Duration = Duration::from_millis(250);

impl NodeCore {
    /// Tells the other zones, if this node leads its own.
    pub(super) fn report_zone(&mut self, now: Time) {
        if !self.is_zone_leader(now) {
            // Whoever leads tells of the answers.
            self.reports.pending_answers.clear();
            return;
        }
        if now < self.reports.zone_at {
            return;
        }
        let timing = self.config.timing;
        let contacts = self.zone_contacts(now);
        let sums = self.dispatcher.load_sum(false);
        let is_empty = sums.iter().all(|sum| sum.in_flight.is_empty());
        let quiet = is_empty && self.reports.reported_zone_idle;
        self.reports.reported_zone_idle = is_empty;
        self.reports.zone_at = now
            + if quiet {
                timing.idle_report_interval
            } else {
                timing.direct_zone_report_interval
            };
        if contacts.is_empty() {
            return;
        }
        let zone = xxh3_64(self.config.control.record.zone.as_bytes()) as u32;
        for sum in sums {
            let datagram = Datagram::ZoneLoad(zone, sum);
            self.outputs.push(Output::Send(datagram, contacts.clone()));
        }
        if now >= self.reports.answers_at {
            self.send_answers(now, &contacts);
        }
    }

    /// Whether no node of this zone comes before this one that is alive.
    fn is_zone_leader(&self, now: Time) -> bool {
        let own = self.config.control.record.peers;
        let near = self.membership.peers(Audience::SameZone).into_iter();
        let mut before = near.filter(|address| *address < own);
        !before.any(|address| self.is_alive(now, address))
    }

    fn is_alive(&self, now: Time, address: SocketAddr) -> bool {
        self.membership
            .heard_within(now, &address, ZONE_LEADER_TIMEOUT)
    }

    /// Whom to tell in the other zones: those who told of theirs of late, or
    /// everybody in a zone that is silent.
    fn zone_contacts(&self, now: Time) -> Vec<SocketAddr> {
        let near: BTreeSet<SocketAddr> = self
            .membership
            .peers(Audience::SameZone)
            .into_iter()
            .collect();
        let far: Vec<SocketAddr> = self
            .membership
            .peers(Audience::All)
            .into_iter()
            .filter(|address| !near.contains(address))
            .collect();
        let reported = |address: &SocketAddr| {
            let reported = self.reports.zone_reporters.get(address);
            reported.is_some_and(|reported| now.since(*reported) < ZONE_LEADER_TIMEOUT * 2)
        };
        let reached: BTreeSet<&String> = far
            .iter()
            .filter(|address| reported(address))
            .filter_map(|address| self.membership.zone(address))
            .collect();
        let is_contact = |address: &SocketAddr| {
            let zone = self.membership.zone(address);
            reported(address) || zone.is_none_or(|zone| !reached.contains(zone))
        };
        far.iter().copied().filter(is_contact).collect()
    }

    /// Notes who told of another zone, and passes it on in this one.
    pub(super) fn forward_zone_load(&mut self, now: Time, from: SocketAddr, datagram: &Datagram) {
        if !self.is_small_deployment() || self.is_same_zone(from) {
            return;
        }
        self.reports.zone_reporters.insert(from, now);
        self.forward_to_zone(from, datagram);
    }

    /// Passes a word of another zone on to the nodes of this one.
    pub(super) fn forward_to_zone(&mut self, from: SocketAddr, datagram: &Datagram) {
        if !self.is_same_zone(from) {
            self.send(datagram.clone(), Audience::SameZone);
        }
    }

    fn is_same_zone(&self, address: SocketAddr) -> bool {
        self.membership.is_same_zone(&address)
    }
}
