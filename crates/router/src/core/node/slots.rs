//! Slots of upstreams: whom this node asks for them, and what it gives out itself as the
//! relay that its zone relies on for that.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use beamtray_dispatch::SlotRequest;
use beamtray_types::Time;
use std::net::SocketAddr;

impl NodeCore {
    /// The relay that is asked where to send requests without a key: the one that tells
    /// the sums of this zone. None where there are few nodes, or if it is this one.
    pub(super) fn slot_relay(&self, now: Time) -> Option<SocketAddr> {
        if self.is_small_deployment() || self.is_lead_relay(now) {
            return None;
        }
        let mut relays = self.zone_relays().into_iter();
        relays.find(|relay| self.is_sending_sums(now, relay))
    }

    /// As the relay of a zone: chooses an upstream for another node's request.
    pub(super) fn assign_slot(&mut self, now: Time, from: SocketAddr, request: &SlotRequest) {
        self.handle_load(now, &request.report);
        let directory = &self.views.directory;
        let reply = self.dispatcher.give_slot(now, directory, request);
        let datagram = Datagram::SlotReply(reply);
        self.outputs.push(Output::Send(datagram, vec![from]));
    }
}
