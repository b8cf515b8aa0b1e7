//! The network paths from this node to upstreams.

use super::NodeCore;
use crate::core::control::HolderReach;
use crate::core::message::Output;
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::ProbeTarget;
use beamtray_types::{ServiceName, Time};
use std::net::SocketAddr;

impl NodeCore {
    /// Handles the result of an attempt to open a connection to an upstream.
    pub(super) fn handle_connection_tried(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        address: SocketAddr,
        began: Time,
        opened: bool,
    ) {
        if opened {
            self.dispatcher.connected(now, began, upstream);
        } else {
            self.dispatcher.connection_failed(began, upstream, address);
        }
    }

    /// Updates the nodes through which this node may send requests.
    pub(super) fn update_gateways(&mut self) {
        let own = &self.config.control.record;
        let others = self.views.nodes.values();
        let others = others.filter(|node| node.peers != own.peers);
        self.dispatcher
            .set_gateways(others.map(|node| (node.peers, node.zone.as_str().into())));
    }

    /// The upstream at an address, if this node may open a connection to it for another node.
    ///
    /// Only addresses of registered upstreams are accepted, so that a node is no way to anything
    /// else.
    pub fn tunnel_target(&self, address: SocketAddr) -> Option<UpstreamId> {
        if self.stopping || self.dispatcher.reachability().cut_off_since().is_some() {
            return None;
        }
        let mut registrations = self.views.directory.iter();
        let found = registrations.find(|one| one.record.address == address);
        found.map(|one| one.record.id.clone())
    }

    /// Checks whether this node can connect to most holders of keys.
    pub(super) fn check_reach(&mut self, now: Time) {
        let paths = self.dispatcher.reachability().failed();
        let holders: Vec<bool> = paths
            .filter(|(id, _)| self.may_hold_keys(id))
            .map(|(_, is_broken)| is_broken)
            .collect();
        let all = match holders.len() {
            0 => 0,
            _ => self.holder_count(),
        };
        let reach = HolderReach {
            all,
            failed: holders.len(),
            broken: holders.iter().filter(|is_broken| **is_broken).count(),
        };
        if self.control.set_holder_reach(now, reach) {
            let broken = reach.broken;
            self.outputs.push(Output::SteppedDown { broken });
        }
    }

    fn holder_count(&self) -> usize {
        let registrations = self.views.directory.iter();
        let holders = registrations.filter(|one| self.is_sharded(&one.record.service));
        holders.count()
    }

    fn may_hold_keys(&self, id: &UpstreamId) -> bool {
        let registration = self.views.directory.get(id);
        registration.is_some_and(|one| self.is_sharded(&one.record.service))
    }

    fn is_sharded(&self, service: &ServiceName) -> bool {
        let configuration = self.views.configuration.as_ref();
        let mut services = configuration.into_iter().flat_map(|one| &one.services);
        services.any(|one| one.sharded && one.name == *service)
    }

    /// Reports changes of the paths, and probes those that are broken.
    pub(super) fn poll_paths(&mut self, now: Time) {
        for (upstream, address) in self.dispatcher.take_path_probes(now) {
            let target = ProbeTarget { upstream, address };
            self.outputs.push(Output::ProbePath(target));
        }
        let notices = self.dispatcher.take_path_notices();
        self.outputs.extend(notices.into_iter().map(Output::Path));
    }
}
