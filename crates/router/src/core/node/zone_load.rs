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
const LEAD_SILENCE: Duration = Duration::from_millis(250);

impl NodeCore {
    /// Tells the other zones, if this node leads its own.
    pub(super) fn report_zone(&mut self, now: Time) {
        if !self.leads_zone(now) {
            // Whoever leads tells of the answers.
            self.reports.untold.clear();
            return;
        }
        if now < self.reports.zone_at {
            return;
        }
        let timing = self.config.timing;
        let contacts = self.contacts(now);
        let sums = self.dispatcher.load_sum(false);
        let is_empty = sums.iter().all(|sum| sum.in_flight.is_empty());
        let quiet = is_empty && self.reports.zone_told_empty;
        self.reports.zone_told_empty = is_empty;
        self.reports.zone_at = now
            + if quiet {
                timing.idle_report
            } else {
                timing.few_zone_report
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
            self.tell_answers(now, &contacts);
        }
    }

    /// Whether no node of this zone comes before this one that is alive.
    fn leads_zone(&self, now: Time) -> bool {
        let own = self.config.control.record.peers;
        let near = self.membership.peers(Audience::Near).into_iter();
        let mut before = near.filter(|address| *address < own);
        !before.any(|address| self.was_heard(now, address))
    }

    fn was_heard(&self, now: Time, address: SocketAddr) -> bool {
        self.membership.is_heard(now, &address, LEAD_SILENCE)
    }

    /// Whom to tell in the other zones: those who told of theirs of late, or
    /// everybody in a zone that is silent.
    fn contacts(&self, now: Time) -> Vec<SocketAddr> {
        let near: BTreeSet<SocketAddr> =
            self.membership.peers(Audience::Near).into_iter().collect();
        let far: Vec<SocketAddr> = self
            .membership
            .peers(Audience::All)
            .into_iter()
            .filter(|address| !near.contains(address))
            .collect();
        let told = |address: &SocketAddr| {
            let told = self.reports.zones_told.get(address);
            told.is_some_and(|told| now.since(*told) < LEAD_SILENCE * 2)
        };
        let reached: BTreeSet<&String> = far
            .iter()
            .filter(|address| told(address))
            .filter_map(|address| self.membership.zone(address))
            .collect();
        let is_contact = |address: &SocketAddr| {
            let zone = self.membership.zone(address);
            told(address) || zone.is_none_or(|zone| !reached.contains(zone))
        };
        far.iter().copied().filter(is_contact).collect()
    }

    /// Notes who told of another zone, and passes it on in this one.
    pub(super) fn take_zone_word(&mut self, now: Time, from: SocketAddr, datagram: &Datagram) {
        if !self.are_few() || self.is_near(from) {
            return;
        }
        self.reports.zones_told.insert(from, now);
        self.pass_on_near(from, datagram);
    }

    /// Passes a word of another zone on to the nodes of this one.
    pub(super) fn pass_on_near(&mut self, from: SocketAddr, datagram: &Datagram) {
        if !self.is_near(from) {
            self.send(datagram.clone(), Audience::Near);
        }
    }

    fn is_near(&self, address: SocketAddr) -> bool {
        self.membership.is_near(&address)
    }
}
