//! The actor that owns a node's core.
//!
//! The same actor runs on sockets and in the simulator: it reads the time from
//! `stakker`, passes inputs to the core and forwards what the core asks for.
//! It decides nothing and does no I/O.

use beamtray_control::{ControlConfig, Input, NodeCore, Output};
use beamtray_types::Time;
use stakker::{CX, Fwd};
use std::time::{Duration, Instant};

/// Time between ticks that the owner of a [`NodeActor`] should keep.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// Where the clock starts.
    pub epoch: Instant,
    /// Deviation of its rate, in parts per million. A process uses 0; the
    /// simulator gives each node its own.
    pub deviation_ppm: i64,
}

impl ProcessClock {
    /// The clock's reading at `instant`.
    pub fn read(&self, instant: Instant) -> Time {
        let elapsed = instant.saturating_duration_since(self.epoch).as_micros() as i64;
        let deviation = elapsed / 1_000 * self.deviation_ppm / 1_000;
        Time((elapsed + deviation) as u64)
    }
}

/// Owns a node's core.
pub struct NodeActor {
    core: NodeCore,
    clock: ProcessClock,
    outputs: Fwd<Output>,
}

impl NodeActor {
    /// Starts a node that knows of no group yet.
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

    /// Takes one input.
    pub fn input(&mut self, cx: CX![], input: Input) {
        let now = self.clock.read(cx.now());
        for output in self.core.handle(now, input) {
            self.outputs.fwd(output);
        }
    }

    /// Lets the owner look at the core.
    pub fn inspect(&mut self, _: CX![], look: Box<dyn FnOnce(&NodeCore)>) {
        look(&self.core);
    }
}
