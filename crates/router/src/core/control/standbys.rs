//! Standbys in the control plane: issuing leases and handling reports while this node is the
//! granter, and whether it declines to be a standby itself.

use super::Control;
use crate::core::standby::{StandbyLease, StandbyReport};
use crate::core::views::Views;
use beamtray_sharding::{Granter, StandbyId};
use beamtray_types::Time;
use std::net::SocketAddr;

impl Control {
    /// Sets whether this node declines to be a standby, which its registration announces.
    pub fn set_declines_standby(&mut self, declines: bool) {
        self.registrar.set_declines_standby(declines);
    }

    /// The standby leases that are due. `wanted` are the nodes chosen as standbys.
    pub fn poll_standby_leases(
        &mut self,
        now: Time,
        views: &Views,
        wanted: &[StandbyId],
    ) -> Vec<(SocketAddr, StandbyLease)> {
        let Some(authority) = self.election.authority(now) else {
            return Vec::new();
        };
        let own = StandbyId {
            address: self.config.record.peers,
            run: self.config.record.run,
        };
        let all = self.term.as_mut().and_then(|term| term.grants.as_mut());
        let Some(all) = all else {
            return Vec::new();
        };
        let granters = all.values_mut().map(|grants| &mut grants.granter);
        let mut granters: Vec<&mut Granter> = granters.collect();
        self.standbys
            .poll(now, authority.epoch.0, own, &mut granters, views, wanted)
    }

    /// Handles a standby's report.
    pub fn handle_standby_report(&mut self, now: Time, from: SocketAddr, report: &StandbyReport) {
        let all = self.term.as_mut().and_then(|term| term.grants.as_mut());
        if let Some(all) = all {
            self.standbys.handle_report(now, from, report, all);
        }
    }
}
