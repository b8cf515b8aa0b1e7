//! Upstream slots: requesting them from a relay, and assigning them to other nodes as the relay of
//! this zone.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use beamtray_dispatch::SlotRequest;
use beamtray_types::Time;
use std::net::SocketAddr;

impl NodeCore {
    /// The relay that chooses upstreams for requests without a key: the one that sends the sums of
    /// this zone. `None` in a small deployment, or if this node is that relay.
    pub(super) fn slot_relay(&self, now: Time) -> Option<SocketAddr> {
        if self.is_small_deployment() || self.is_lead_relay(now) {
            return None;
        }
        let mut relays = self.zone_relays().into_iter();
        relays.find(|relay| self.is_sending_sums(now, relay))
    }

    /// As the relay of a zone, chooses an upstream for another node's request.
    pub(super) fn assign_slot(&mut self, now: Time, from: SocketAddr, request: &SlotRequest) {
        self.handle_load(now, &request.report);
        let directory = &self.views.directory;
        let reply = self.dispatcher.allocate_slot(now, directory, request);
        let datagram = Datagram::SlotReply(reply);
        self.outputs.push(Output::Send(datagram, vec![from]));
    }
}
