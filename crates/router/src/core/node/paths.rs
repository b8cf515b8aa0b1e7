//! The network paths from this node to upstreams.

use super::NodeCore;
use crate::core::message::Output;
use beamtray_catalog::UpstreamId;
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

    /// Reports changes of the paths.
    pub(super) fn poll_paths(&mut self) {
        let notices = self.dispatcher.take_path_notices();
        self.outputs.extend(notices.into_iter().map(Output::Path));
    }
}
