//! Reading the clocks of the system.

use beamtray_types::Time;
use nix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::io;
use std::time::Duration;

/// Two clocks that both only go forward.
pub trait ClockSource {
    /// Time since the machine's start, the time in which it was suspended included.
    fn boot(&self) -> Duration;
    /// The same without that time.
    fn monotonic(&self) -> Duration;
}

/// The system's clocks.
#[derive(Debug)]
pub struct SystemClocks {
    boot: Cell<Duration>,
    monotonic: Cell<Duration>,
}

impl SystemClocks {
    /// Reads both clocks once.
    ///
    /// # Errors
    /// What the system says if it does not have one of them.
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

/// Reads a clock that could be read before. The system's only error is that it does not know
/// the clock, so the last reading stands in for what can't happen.
fn read_or_last(last: &Cell<Duration>, clock: ClockId) -> Duration {
    if let Ok(now) = read(clock) {
        last.set(now);
    }
    last.get()
}

/// Time of the process by the boot clock.
#[derive(Debug)]
pub struct BootClock<Source = SystemClocks> {
    source: Source,
    start: Duration,
}

impl<Source: ClockSource> BootClock<Source> {
    /// A clock that begins now.
    pub fn start(source: Source) -> Self {
        let start = source.boot();
        Self { source, start }
    }

    /// Time since the clock's start.
    pub fn now(&self) -> Time {
        let elapsed = self.source.boot().saturating_sub(self.start);
        Time::ZERO + elapsed
    }

    /// How long it is until then; zero when it is past.
    pub fn until(&self, time: Time) -> Duration {
        time.since(self.now())
    }

    /// The clocks that it reads.
    pub fn source(&self) -> &Source {
        &self.source
    }
}
