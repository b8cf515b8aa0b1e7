//! A back end of a pool: slots, a cold start, shedding and draining.

use beamtray_types::Time;
use std::time::Duration;

/// How a back end behaves.
#[derive(Clone, Copy, Debug)]
pub struct BackendConfig {
    /// Requests it runs at once.
    pub slots: u32,
    /// Time that a request takes when warm.
    pub service_time: Duration,
    /// For how long after its start it is slow.
    pub cold_for: Duration,
    /// How many times slower it then is.
    pub cold_factor: u32,
}

/// One run of a back end.
#[derive(Clone, Debug)]
pub struct Backend {
    config: BackendConfig,
    started: Time,
    running: u32,
    served: u64,
    /// Whether it asks to be left alone.
    pub drains: bool,
    /// Whether it refuses all requests as over its limit.
    pub sheds: bool,
    /// What its health endpoint says, whatever is true.
    pub reported_health: Option<bool>,
}

impl Backend {
    /// A run that starts cold.
    pub fn new(config: BackendConfig, now: Time) -> Self {
        Self {
            config,
            started: now,
            running: 0,
            served: 0,
            drains: false,
            sheds: false,
            reported_health: None,
        }
    }

    /// Takes a slot; the time that the request will take, or none when the
    /// back end sheds it.
    pub fn begin(&mut self, now: Time) -> Option<Duration> {
        if self.sheds || self.running >= self.config.slots {
            return None;
        }
        self.running += 1;
        let cold = now.since(self.started) < self.config.cold_for;
        let factor = if cold {
            self.config.cold_factor.max(1)
        } else {
            1
        };
        Some(self.config.service_time * factor)
    }

    /// Ends a request; how many it has served.
    pub fn finish(&mut self) -> u64 {
        self.running = self.running.saturating_sub(1);
        self.served += 1;
        self.served
    }

    /// What the health endpoint says.
    pub fn health(&self) -> bool {
        self.reported_health.unwrap_or(!self.drains)
    }

    /// What the load endpoint says: requests running.
    pub fn load(&self) -> u32 {
        self.running
    }
}
