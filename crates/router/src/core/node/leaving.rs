//! Upstreams that say in their answers that they leave.

use super::NodeCore;
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;

impl NodeCore {
    /// Takes an upstream's own word that it leaves.
    pub(super) fn heard_leaving(&mut self, now: Time, upstream: &UpstreamId) {
        if self.views.says_it_leaves(now, upstream) {
            self.viewed(now);
        }
    }
}
