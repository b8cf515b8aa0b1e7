//! Network delay, message loss and partitions between zones. The platform with the
//! key-value service is a zone of its own.

use crate::scenario::Scenario;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// A one-way link cut that lasts until a given time.
#[derive(Clone, Copy, Debug)]
struct Cut {
    from: usize,
    to: usize,
    until: u64,
}

/// Loss, duplication and delay of messages between nodes until a given time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkConditions {
    pub(crate) until: u64,
    pub(crate) loss_percent: u8,
    pub(crate) duplicate_percent: u8,
    pub(crate) delay_micros: u64,
}

/// The simulated network.
#[derive(Debug)]
pub(crate) struct Network {
    near: u64,
    far: u64,
    zones: usize,
    cuts: Vec<Cut>,
    pub(crate) conditions: LinkConditions,
}

impl Network {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        Self {
            near: scenario.near_micros,
            far: scenario.far_micros,
            zones: scenario.zones,
            cuts: Vec::new(),
            conditions: LinkConditions::default(),
        }
    }

    /// Index of the zone that represents the platform.
    pub(crate) fn platform(&self) -> usize {
        self.zones
    }

    pub(crate) fn cut(&mut self, from: usize, to: usize, until: u64) {
        self.cuts.push(Cut { from, to, until });
    }

    /// Partitions a zone from all other zones and from the platform.
    pub(crate) fn cut_off(&mut self, zone: usize, until: u64) {
        for other in 0..=self.zones {
            if other != zone {
                self.cut(zone, other, until);
                self.cut(other, zone, until);
            }
        }
    }

    /// Returns a one-way delay, or `None` if the link is cut.
    pub(crate) fn delay(
        &self,
        rng: &mut ChaCha8Rng,
        now: u64,
        from: usize,
        to: usize,
    ) -> Option<u64> {
        let cut = self
            .cuts
            .iter()
            .any(|cut| cut.from == from && cut.to == to && now < cut.until);
        if cut {
            return None;
        }
        let base = if from == to { self.near } else { self.far };
        Some(base + rng.random_range(0..=base / 2))
    }

    /// Returns the delay of each copy of a message between nodes that is delivered.
    pub(crate) fn copies(
        &self,
        rng: &mut ChaCha8Rng,
        now: u64,
        from: usize,
        to: usize,
    ) -> Vec<u64> {
        let Some(delay) = self.delay(rng, now, from, to) else {
            return Vec::new();
        };
        let conditions = self.conditions;
        if now >= conditions.until {
            return vec![delay];
        }
        let mut copies = Vec::new();
        let wanted = 1 + usize::from(rng.random_range(0..100) < conditions.duplicate_percent);
        for _ in 0..wanted {
            if rng.random_range(0..100) >= conditions.loss_percent {
                copies.push(delay + rng.random_range(0..=conditions.delay_micros));
            }
        }
        copies
    }
}
