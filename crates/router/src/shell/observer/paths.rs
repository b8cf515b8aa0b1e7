//! Log lines about the network paths from this node to upstreams.

use super::Observer;
use crate::shell::log_rate::LineKind;
use crate::shell::metrics::TunnelLabel;
use beamtray_dispatch::PathNotice;
use slog::{info, warn};
use std::net::SocketAddr;

impl Observer {
    /// Another node asked for a connection to an upstream.
    pub fn tunnel_requested(&self, address: SocketAddr, opened: bool) {
        let outcome = if opened { "opened" } else { "failed" };
        let label = TunnelLabel { outcome };
        self.metrics.tunnels.get_or_create(&label).inc();
        if !opened && let Some(suppressed) = self.admit(LineKind::Dependency) {
            info!(self.log, "tunnel_failed"; "address" => %address, suppressed);
        }
    }

    /// This node gave up the granter's role, since it can't connect to most holders.
    pub fn stepped_down(&self, broken: usize) {
        warn!(self.log, "granter_stepped_down"; "broken_paths_to_holders" => broken);
    }

    /// Whether this node can pass on nothing changed.
    pub fn isolated_changed(&self, is_isolated: bool) {
        warn!(self.log, "isolated"; "ready" => !is_isolated);
    }

    /// What this node can connect to changed.
    pub fn path_changed(&self, notice: &PathNotice) {
        match notice {
            PathNotice::Broken {
                upstream,
                failed_ago,
                ..
            } => {
                if let Some(suppressed) = self.admit(LineKind::Dependency) {
                    info!(self.log, "path_broken"; "upstream" => %upstream,
                        "failed_ms_ago" => failed_ago.as_millis() as u64, suppressed);
                }
            }
            PathNotice::Restored {
                upstream,
                failed_ago,
            } => {
                if let Some(suppressed) = self.admit(LineKind::Dependency) {
                    info!(self.log, "path_restored"; "upstream" => %upstream,
                        "failed_ms_ago" => failed_ago.as_millis() as u64, suppressed);
                }
            }
            PathNotice::CutOff {
                broken,
                connected_ago,
            } => {
                warn!(self.log, "cut_off_from_upstreams"; "broken_paths" => broken,
                    "connected_ms_ago" => connected_ago.map(|ago| ago.as_millis() as u64));
            }
            PathNotice::Reconnected { cut_off_for } => {
                info!(self.log, "reconnected_to_upstreams";
                    "cut_off_ms" => cut_off_for.as_millis() as u64);
            }
        }
    }
}
