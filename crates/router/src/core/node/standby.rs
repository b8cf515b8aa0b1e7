//! Standbys: choosing them, leases and reports, and this node's own standby role.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use crate::core::records::NodeRecord;
use crate::core::standby::STANDBY_TERM;
use crate::core::standby_leases::choose_standbys;
use beamtray_sharding::StandbyId;
use beamtray_types::Time;
use std::time::Duration;

/// A node that was not heard for this long can't become a standby.
const STANDBY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A granter that was not heard for this long is considered silent.
const GRANTER_TIMEOUT: Duration = Duration::from_millis(700);

impl NodeCore {
    /// As the granter, sends leases to the standbys.
    pub(super) fn poll_standby_leases(&mut self, now: Time) {
        if !self.control.is_granter(now) {
            return;
        }
        let wanted = self.wanted_standbys(now);
        let leases = self.control.poll_standby_leases(now, &self.views, &wanted);
        for (address, lease) in leases {
            let datagram = Datagram::StandbyLease(lease);
            self.outputs.push(Output::Send(datagram, vec![address]));
        }
    }

    /// The nodes that are to be standbys; none in a large deployment. In a deployment of 78
    /// machines, keys of unreachable upstreams waited 15 s for standbys after each election, for a
    /// reason not yet known.
    fn wanted_standbys(&self, now: Time) -> Vec<StandbyId> {
        if !self.is_small_deployment() {
            return Vec::new();
        }
        let is_heard = |node: &&NodeRecord| {
            !node.declines_standby
                && self
                    .membership
                    .heard_within(now, &node.peers, STANDBY_TIMEOUT)
        };
        let heard: Vec<&NodeRecord> = self.views.nodes.values().filter(is_heard).collect();
        choose_standbys(&self.config.control.record, &heard)
    }

    /// As a standby, reports the known records to the granter.
    pub(super) fn report_as_standby(&mut self, now: Time, changed: bool) {
        let Some(granter) = &self.views.granter else {
            return;
        };
        let address = granter.peer_address;
        let report = self.standby.report(now, &self.views.assignments, changed);
        if let Some(report) = report {
            let datagram = Datagram::StandbyReport(report);
            self.outputs.push(Output::Send(datagram, vec![address]));
        }
    }

    /// As a standby, declines if another granter can be elected.
    pub(super) fn update_standby(&mut self, now: Time) {
        let granter = self.views.granter.as_ref();
        let is_heard = granter.is_some_and(|granter| {
            self.membership
                .heard_within(now, &granter.peer_address, GRANTER_TIMEOUT)
        });
        let is_heard = is_heard || self.control.is_granter(now);
        let last_contact = self.control.last_store_contact();
        self.standby.update_declined(now, last_contact, is_heard);
        self.control.set_declines_standby(self.standby.declines());
        let state = self.standby.state(now);
        if state != self.standby_state {
            self.standby_state = state;
            self.outputs.push(Output::Standby(state));
        }
    }

    /// As a standby, prolongs holds while there is no granter.
    pub(super) fn prolong_holds(&mut self, now: Time) {
        if self.control.is_granter(now) {
            return;
        }
        let addresses = self.control.addresses();
        let own_term = self.control.epoch();
        let tasks = self
            .standby
            .poll(now, own_term, &self.views.assignments, addresses);
        let orders = tasks
            .into_iter()
            .map(|task| Output::Order(task, STANDBY_TERM));
        self.outputs.extend(orders);
    }
}
