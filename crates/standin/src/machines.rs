//! A model of the platform's machine list, which shows changes with a delay.

use beamtray_keyvalue::{Machine, MachineState};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Machines and the state that the list shows for each.
#[derive(Clone, Debug, Default)]
pub struct MachineList {
    lag: Duration,
    changes: BTreeMap<String, Vec<(Time, MachineState)>>,
}

impl MachineList {
    /// Creates an empty list that shows each change after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            changes: BTreeMap::new(),
        }
    }

    /// Records a state change of a machine.
    pub fn set(&mut self, now: Time, name: &str, state: MachineState) {
        let changes = self.changes.entry(name.to_owned()).or_default();
        changes.push((now + self.lag, state));
    }

    /// Returns the list as shown at `now`.
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
