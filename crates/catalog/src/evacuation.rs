//! Zones whose upstreams are to get nothing, by the operators' word.
//!
//! An evacuation holds from when a node hears of it until the node hears that it was taken
//! back. The upstreams may have gone cold meanwhile, and an entry that says otherwise may be
//! older than that, so all of them count as cold for a while after it.

use beamtray_types::{Time, Zone};
use std::collections::BTreeMap;

/// The evacuations that are in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuations {
    since: BTreeMap<Zone, Time>,
}

impl Evacuations {
    /// Begins one; whether it was not in force before.
    pub fn begin(&mut self, now: Time, zone: Zone) -> bool {
        let is_new = !self.since.contains_key(&zone);
        self.since.entry(zone).or_insert(now);
        is_new
    }

    /// Ends one; whether it was in force.
    pub fn end(&mut self, zone: &Zone) -> bool {
        self.since.remove(zone).is_some()
    }

    /// Since when a zone is evacuated.
    pub fn since(&self, zone: &Zone) -> Option<Time> {
        self.since.get(zone).copied()
    }
}
