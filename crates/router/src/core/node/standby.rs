//! Standbys: their choice, words and reports, and what this node does as one.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use crate::core::records::NodeRecord;
use crate::core::standby::STANDBY_TERM;
use crate::core::standby_words::choose_standbys;
use beamtray_sharding::StandbyId;
use beamtray_types::Time;
use std::time::Duration;

/// A node that was not heard for this long does not become a standby.
const SILENCE: Duration = Duration::from_millis(1_000);

/// A granter that was not heard for this long is silent.
const GRANTER_SILENCE: Duration = Duration::from_millis(700);

impl NodeCore {
    /// As the granter: sends words to the standbys.
    pub(super) fn poll_standbys(&mut self, now: Time) {
        if !self.control.is_granter(now) {
            return;
        }
        let wanted = self.wanted_standbys(now);
        let words = self.control.poll_standbys(now, &self.views, &wanted);
        for (address, word) in words {
            let datagram = Datagram::StandbyWord(word);
            self.outputs.push(Output::Send(datagram, vec![address]));
        }
    }

    /// The nodes that are to be standbys; none where there are many nodes. On a
    /// deployment of 78 machines keys of dark upstreams waited for standbys for 15
    /// s after each election, for a cause that is not found yet.
    fn wanted_standbys(&self, now: Time) -> Vec<StandbyId> {
        if !self.are_few() {
            return Vec::new();
        }
        let is_heard = |node: &&NodeRecord| {
            !node.declines_standby && self.membership.is_heard(now, &node.peers, SILENCE)
        };
        let heard: Vec<&NodeRecord> = self.views.nodes.values().filter(is_heard).collect();
        choose_standbys(&self.config.control.record, &heard)
    }

    /// As a standby: tells the granter what this node knows.
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

    /// As a standby: declines where another granter can be elected.
    pub(super) fn decide_standby(&mut self, now: Time) {
        let granter = self.views.granter.as_ref();
        let is_heard = granter.is_some_and(|granter| {
            self.membership
                .is_heard(now, &granter.peer_address, GRANTER_SILENCE)
        });
        let is_heard = is_heard || self.control.is_granter(now);
        let sound_at = self.control.store_sound_at();
        self.standby.decide(now, sound_at, is_heard);
        self.control.set_declines_standby(self.standby.declines());
        let state = self.standby.state(now);
        if state != self.standby_state {
            self.standby_state = state;
            self.outputs.push(Output::Standby(state));
        }
    }

    /// As a standby: orders holders to hold on while there is no granter.
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
