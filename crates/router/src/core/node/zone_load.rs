//! Reports of requests in flight between zones in a small deployment.
//!
//! The first live node of each zone sums the requests in flight in the zone and reports them to one
//! node of each other zone, which forwards them. Traffic between zones thus grows with the number
//! of zones rather than with the number of pairs of nodes.
//!
//! Alternative considered: direct reports between all nodes. At 11 nodes these use 78 pairs of
//! nodes across zones instead of 6, and most of all traffic between zones.

use super::NodeCore;
use crate::core::membership::Audience;
use crate::core::message::{Datagram, Output};
use beamtray_types::Time;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A node that was not heard for this long can't be the leader of its zone.
const ZONE_LEADER_TIMEOUT: Duration = Duration::from_millis(250);

impl NodeCore {
    /// Reports to the other zones, if this node leads its zone.
    pub(super) fn report_zone(&mut self, now: Time) {
        if !self.is_zone_leader(now) {
            // The leader of the zone reports the response statistics.
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

    /// Whether this is the first live node of its zone.
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

    /// Recipients in other zones: nodes that recently reported their zone's load, and all nodes of
    /// zones from which nothing was heard.
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

    /// Records which node reported another zone's load, and forwards the report in this zone.
    pub(super) fn forward_zone_load(&mut self, now: Time, from: SocketAddr, datagram: &Datagram) {
        if !self.is_small_deployment() || self.is_in_own_zone(from) {
            return;
        }
        self.reports.zone_reporters.insert(from, now);
        self.forward_to_zone(from, datagram);
    }

    /// Forwards another zone's message to the nodes of this zone.
    pub(super) fn forward_to_zone(&mut self, from: SocketAddr, datagram: &Datagram) {
        if !self.is_in_own_zone(from) {
            self.send(datagram.clone(), Audience::SameZone);
        }
    }

    fn is_in_own_zone(&self, address: SocketAddr) -> bool {
        self.membership.is_same_zone(&address)
    }
}
