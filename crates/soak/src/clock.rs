//! The system's monotonic clock, which all processes of a run share.

use beamtray_types::Time;
use nix::time::{ClockId, clock_gettime};

/// The current monotonic time, or zero if the clock cannot be read.
pub fn now() -> Time {
    let reading = clock_gettime(ClockId::CLOCK_MONOTONIC);
    reading.map_or(Time::ZERO, |reading| {
        let micros = reading.tv_sec() as u64 * 1_000_000 + reading.tv_nsec() as u64 / 1_000;
        Time(micros)
    })
}
