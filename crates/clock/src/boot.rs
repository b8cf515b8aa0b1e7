//! Access to the system clocks.

use beamtray_types::Time;
use nix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::io;
use std::time::Duration;

/// A pair of clocks, neither of which goes backwards.
pub trait ClockSource {
    /// Time since the machine booted, including time suspended.
    fn boot(&self) -> Duration;
    /// Time since the machine booted, excluding time suspended.
    fn monotonic(&self) -> Duration;
}

/// The system's boot and monotonic clocks.
#[derive(Debug)]
pub struct SystemClocks {
    boot: Cell<Duration>,
    monotonic: Cell<Duration>,
}

impl SystemClocks {
    /// Takes an initial reading of both clocks.
    ///
    /// # Errors
    /// Returns the system's error if either clock is unavailable.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            boot: Cell::new(read(ClockId::CLOCK_BOOTTIME)?),
            monotonic: Cell::new(read(ClockId::CLOCK_MONOTONIC)?),
        })
    }
}

impl ClockSource for SystemClocks {
    fn boot(&self) -> Duration {
        read_or_last(&self.boot, ClockId::CLOCK_BOOTTIME)
    }

    fn monotonic(&self) -> Duration {
        read_or_last(&self.monotonic, ClockId::CLOCK_MONOTONIC)
    }
}

fn read(clock: ClockId) -> io::Result<Duration> {
    Ok(Duration::from(clock_gettime(clock)?))
}

/// Reads a clock that was read successfully before. The only possible error is an unknown
/// clock id, so the fallback to the last reading is unreachable in practice.
fn read_or_last(last: &Cell<Duration>, clock: ClockId) -> Duration {
    if let Ok(now) = read(clock) {
        last.set(now);
    }
    last.get()
}

/// The process's time, measured on the boot clock from a start point.
#[derive(Debug)]
pub struct BootClock<Source = SystemClocks> {
    source: Source,
    start: Duration,
}

impl<Source: ClockSource> BootClock<Source> {
    /// Creates a clock whose zero is the current time.
    pub fn start(source: Source) -> Self {
        let start = source.boot();
        Self { source, start }
    }

    /// Returns the time elapsed since the clock was started.
    pub fn now(&self) -> Time {
        let elapsed = self.source.boot().saturating_sub(self.start);
        Time::ZERO + elapsed
    }

    /// Returns the time remaining until `time`, or zero if it has passed.
    pub fn time_until(&self, time: Time) -> Duration {
        time.since(self.now())
    }

    /// Returns the underlying clock source.
    pub fn source(&self) -> &Source {
        &self.source
    }
}
