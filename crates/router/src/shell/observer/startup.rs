//! Log line about what the process waits for after its start.

use super::Observer;
use crate::core::Waits;
use slog::info;
use std::time::Duration;

/// Written for what is not known yet.
const NONE: &str = "-";

impl Observer {
    /// What the process waits for. `late` tells how late it got its processor.
    pub fn waits(&self, waits: &Waits, late: Duration) {
        let store_age = waits.store_age;
        let store_age_ms =
            store_age.map_or_else(|| NONE.to_owned(), |age| age.as_millis().to_string());
        let epoch = waits.granter_epoch;
        let epoch = epoch.map_or_else(|| NONE.to_owned(), |epoch| epoch.to_string());
        let held = waits.held_share;
        let held = held.map_or_else(|| NONE.to_owned(), |share| format!("{share:.3}"));
        info!(self.log, "waits"; "store_age_ms" => store_age_ms, "members" => waits.has_members,
            "upstreams" => waits.has_upstreams, "configuration" => waits.has_configuration,
            "granter_epoch" => epoch, "keys_held" => held, "waiting" => waits.waiting,
            "unconnected" => self.unconnected.take(),
            "processor_late_ms" => late.as_millis() as u64);
    }
}
