//! What this node learns of its network paths to upstreams.

use super::Dispatcher;
use crate::reachability::{PathNotice, Reachability};
use crate::report::UpstreamHash;
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::net::SocketAddr;

impl Dispatcher {
    /// Records that a connection attempt to an upstream that began at `began` failed.
    pub fn connection_failed(&mut self, began: Time, upstream: &UpstreamId, address: SocketAddr) {
        self.reachability
            .connection_failed(began, upstream, address);
    }

    /// Records that a connection to an upstream was opened.
    pub fn connected(&mut self, now: Time, upstream: &UpstreamId) {
        self.reachability.connected(now, UpstreamHash::of(upstream));
    }

    /// Records that an upstream responded to this or another node.
    pub(super) fn upstream_responded(&mut self, now: Time, upstream: UpstreamHash) {
        self.last_answers.insert(upstream, now);
        self.reachability.responded(now, upstream);
    }

    /// The paths from this node to upstreams.
    pub fn reachability(&self) -> &Reachability {
        &self.reachability
    }

    /// Takes the changes of the paths since the last call.
    pub fn take_path_notices(&mut self) -> Vec<PathNotice> {
        self.reachability.take_notices()
    }
}
