//! The network paths from this node to upstreams.

use super::NodeCore;
use crate::core::message::Output;
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::ProbeTarget;
use beamtray_types::Time;
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
            self.dispatcher.connected(now, upstream);
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
            .set_gateways(others.map(|node| (node.peers, node.zone == own.zone)));
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
