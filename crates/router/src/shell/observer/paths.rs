//! Log lines about the network paths from this node to upstreams.

use super::Observer;
use beamtray_dispatch::PathNotice;
use slog::{info, warn};

impl Observer {
    /// What this node can connect to changed.
    pub fn path_changed(&self, notice: &PathNotice) {
        match notice {
            PathNotice::Broken {
                upstream,
                failed_ago,
            } => {
                info!(self.log, "path_broken"; "upstream" => %upstream,
                    "failed_ms_ago" => failed_ago.as_millis() as u64);
            }
            PathNotice::Restored {
                upstream,
                failed_ago,
            } => {
                info!(self.log, "path_restored"; "upstream" => %upstream,
                    "failed_ms_ago" => failed_ago.as_millis() as u64);
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
