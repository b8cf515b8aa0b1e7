//! A model of a pool back end: slots, a cold start, load shedding and draining.

use beamtray_types::Time;
use std::time::Duration;

/// Configuration of a back end.
#[derive(Clone, Copy, Debug)]
pub struct BackendConfig {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Service time of a request when warm.
    pub service_time: Duration,
    /// How long the cold start lasts.
    pub cold_for: Duration,
    /// Factor on the service time during the cold start.
    pub cold_factor: u32,
}

/// One process lifetime of a back end.
#[derive(Clone, Debug)]
pub struct Backend {
    config: BackendConfig,
    started: Time,
    running: u32,
    served: u64,
    /// Whether it is draining and reports itself as unhealthy.
    pub drains: bool,
    /// Whether it rejects all requests as overload.
    pub sheds: bool,
    /// Overrides the health endpoint's answer, if set.
    pub reported_health: Option<bool>,
}

impl Backend {
    /// Creates a back end that starts cold at `now`.
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

    /// Occupies a slot and returns the request's service time, or `None` if the
    /// back end sheds the request.
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

    /// Completes a request and returns the number served so far.
    pub fn finish(&mut self) -> u64 {
        self.running = self.running.saturating_sub(1);
        self.served += 1;
        self.served
    }

    /// Returns whether the health endpoint reports healthy.
    pub fn health(&self) -> bool {
        self.reported_health.unwrap_or(!self.drains)
    }

    /// Returns the number of running requests, which the load endpoint reports.
    pub fn load(&self) -> u32 {
        self.running
    }
}
