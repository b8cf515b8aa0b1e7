//! Zones that operators have evacuated, whose upstreams receive no requests.
//!
//! An evacuation is in force from when a node learns of it until the node learns of its end.
//! Upstreams may have gone cold during it, and an entry that claims otherwise may predate
//! it, so all upstreams of the zone are treated as cold for some time afterwards.

use beamtray_types::{Time, Zone};
use std::collections::BTreeMap;

/// The evacuations in force, by zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuations {
    since: BTreeMap<Zone, Time>,
}

impl Evacuations {
    /// Begins the evacuation of a zone. Returns whether it was not yet in force.
    pub fn begin(&mut self, now: Time, zone: Zone) -> bool {
        let is_new = !self.since.contains_key(&zone);
        self.since.entry(zone).or_insert(now);
        is_new
    }

    /// Ends the evacuation of a zone. Returns whether it was in force.
    pub fn end(&mut self, zone: &Zone) -> bool {
        self.since.remove(zone).is_some()
    }

    /// Returns when the evacuation of a zone began, if one is in force.
    pub fn since(&self, zone: &Zone) -> Option<Time> {
        self.since.get(zone).copied()
    }
}
