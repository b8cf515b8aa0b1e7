//! Until when the configuration of this node is known to have been the newest one.
//!
//! Invariant: every configuration that the store acknowledged before that time is known here. Where
//! keys must stop everywhere in time, requests with keys are rejected once this is too long ago: a
//! node that is cut off cannot know which keys have been taken away since.

use super::NodeCore;
use crate::core::views::ViewName;
use beamtray_types::Time;

impl NodeCore {
    /// Updates the confirmation by this node's contact with the store, or by that of a relay.
    pub(super) fn confirm_configuration(&mut self, now: Time) {
        if self.views.is_behind(ViewName::Operator) {
            return;
        }
        let confirmed = if self.views.follows_store() {
            let is_failing = self.views.replica(ViewName::Operator).is_failing();
            self.control
                .last_store_contact()
                .filter(|_| !is_failing && !self.path_failed)
        } else {
            self.views.relays.latest_contact(now)
        };
        if let Some(confirmed) = confirmed {
            self.dispatcher.confirm_configuration(confirmed);
        }
    }
}
