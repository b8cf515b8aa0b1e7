//! Announcements of the own term, and queries for processes that observed an earlier one.

use super::NodeCore;
use crate::core::membership::Audience;
use crate::core::message::{Datagram, Output};
use beamtray_metastore::Epoch;
use beamtray_types::Time;
use std::net::SocketAddr;

impl NodeCore {
    /// As the granter, announces the term; if it did not observe the preceding one, asks other
    /// nodes whether they did.
    pub(super) fn exchange_observed_terms(&mut self, now: Time) {
        if let Some(epoch) = self.control.poll_term_announcement(now) {
            self.send(Datagram::TermObserved(epoch.0), Audience::SameZoneAndRelays);
        }
        if let Some(epoch) = self.control.poll_observer_query(now) {
            self.send(Datagram::TermQuery(epoch.0), Audience::SameZoneAndRelays);
        }
    }

    /// Answers such a query if this process observed the term.
    pub(super) fn answer_term_query(&mut self, from: SocketAddr, epoch: Epoch) {
        if self.control.has_observed(epoch) {
            let datagram = Datagram::TermObserved(epoch.0);
            self.outputs.push(Output::Send(datagram, vec![from]));
        }
    }
}
