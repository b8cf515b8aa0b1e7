//! The platform's list of machines, which lags behind reality.

use beamtray_keyvalue::{Machine, MachineState};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Machines and what the list says of them.
#[derive(Clone, Debug, Default)]
pub struct MachineList {
    lag: Duration,
    changes: BTreeMap<String, Vec<(Time, MachineState)>>,
}

impl MachineList {
    /// An empty list that shows changes `lag` late.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            changes: BTreeMap::new(),
        }
    }

    /// Records what became of a machine.
    pub fn set(&mut self, now: Time, name: &str, state: MachineState) {
        let changes = self.changes.entry(name.to_owned()).or_default();
        changes.push((now + self.lag, state));
    }

    /// What the list shows at `now`.
    pub fn list(&self, now: Time) -> Vec<Machine> {
        let machines = self.changes.iter();
        machines
            .filter_map(|(name, changes)| {
                let shown = changes.iter().rev().find(|(at, _)| *at <= now)?;
                Some(Machine {
                    name: name.clone(),
                    state: shown.1,
                })
            })
            .collect()
    }
}
