//! Actor that runs a node's core.
//!
//! The same actor runs in the real process and in the simulator. It reads the
//! time from `stakker`, passes inputs to the core and forwards the core's
//! outputs. It contains no decision logic and does no I/O.

use beamtray_control::{ControlConfig, Input, NodeCore, Output};
use beamtray_types::Time;
use stakker::{CX, Fwd};
use std::time::{Duration, Instant};

/// Interval at which the owner of a [`NodeActor`] should send ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// Instant at which the clock reads zero.
    pub epoch: Instant,
    /// Clock drift in parts per million. A real process uses 0; the simulator
    /// assigns each node its own drift.
    pub deviation_ppm: i64,
}

impl ProcessClock {
    /// Returns the clock's time at `instant`.
    pub fn read(&self, instant: Instant) -> Time {
        let elapsed = instant.saturating_duration_since(self.epoch).as_micros() as i64;
        let deviation = elapsed / 1_000 * self.deviation_ppm / 1_000;
        Time((elapsed + deviation) as u64)
    }
}

/// Actor that owns a node's core.
pub struct NodeActor {
    core: NodeCore,
    clock: ProcessClock,
    outputs: Fwd<Output>,
}

impl NodeActor {
    /// Creates a node that is not yet part of a group.
    pub fn init(
        cx: CX![],
        config: ControlConfig,
        clock: ProcessClock,
        outputs: Fwd<Output>,
    ) -> Option<Self> {
        let now = clock.read(cx.now());
        Some(Self {
            core: NodeCore::new(config, now),
            clock,
            outputs,
        })
    }

    /// Passes an input to the core and forwards its outputs.
    pub fn input(&mut self, cx: CX![], input: Input) {
        let now = self.clock.read(cx.now());
        for output in self.core.handle(now, input) {
            self.outputs.fwd(output);
        }
    }

    /// Calls a function with read access to the core.
    pub fn inspect(&mut self, _: CX![], callback: Box<dyn FnOnce(&NodeCore)>) {
        callback(&self.core);
    }
}
