//! The granter's interface to its standbys.

use super::Granter;
use crate::standby::{StandbyId, StandbyStatus};
use beamtray_types::Time;

impl Granter {
    /// Sets which nodes are to be standbys.
    pub fn set_standbys(&mut self, now: Time, wanted: &[StandbyId]) {
        self.dirty |= self.standbys.set_wanted(now, wanted, self.next_sequence);
    }

    /// The standbys that the next record names.
    pub fn standbys(&self) -> Vec<StandbyId> {
        self.standbys.ids()
    }

    /// Standbys that are due an authorization, which lets them extend grants for a limited
    /// time.
    pub fn standbys_to_authorize(&self, now: Time) -> Vec<StandbyId> {
        self.standbys.to_authorize(now, self.durable_sequence)
    }

    /// Records that a standby is sent an authorization. Must be called only with authority to
    /// grant, and for every service.
    pub fn standby_authorized(&mut self, now: Time, id: &StandbyId) {
        self.standbys.mark_authorized(now, id);
    }

    /// Handles a report of a standby.
    pub fn standby_reported(&mut self, now: Time, id: &StandbyId, status: StandbyStatus) {
        self.standbys.apply_status(now, id, status);
    }

    /// Records that the process of a standby has terminated.
    pub fn standby_terminated(&mut self, now: Time, id: &StandbyId) {
        self.standbys.mark_terminated(now, id);
    }
}
