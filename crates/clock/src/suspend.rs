//! Notices that the machine was suspended.

use crate::boot::ClockSource;
use std::time::Duration;

/// Shortest suspension that counts: a tenth of the shortest time for which another node's
/// word is trusted.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Readings that the first comparison takes the best of.
const INITIAL_READINGS: u32 = 3;

/// Compares two clocks from look to look.
#[derive(Clone, Copy, Debug)]
pub struct SuspendDetector {
    offset: Duration,
}

impl SuspendDetector {
    /// Compares from now on.
    pub fn new(source: &impl ClockSource) -> Self {
        // The process may be interrupted between two readings, which shows too little.
        let readings = (0..INITIAL_READINGS).map(|_| clock_offset(source));
        Self {
            offset: readings.max().unwrap_or_default(),
        }
    }

    /// For how long the machine was suspended since the last look, if it was.
    pub fn suspended_for(&mut self, source: &impl ClockSource) -> Option<Duration> {
        let offset = clock_offset(source);
        let suspended = offset
            .checked_sub(self.offset)
            .filter(|suspended| *suspended >= MIN_SUSPENSION)?;
        self.offset = offset;
        Some(suspended)
    }
}

/// How much more the boot clock has counted, at least: it is read first, so that a pause
/// between the two readings does not look like a suspension.
fn clock_offset(source: &impl ClockSource) -> Duration {
    let boot = source.boot();
    boot.saturating_sub(source.monotonic())
}
