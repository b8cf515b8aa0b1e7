//! Detection of machine suspensions.

use crate::boot::ClockSource;
use std::time::Duration;

/// Shortest suspension that is reported: a tenth of the shortest time for which information
/// from another node is considered valid.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Number of initial readings, of which the largest offset is used as the baseline.
const INITIAL_READINGS: u32 = 3;

/// Detects suspensions by comparing the boot clock with the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct SuspendDetector {
    offset: Duration,
}

impl SuspendDetector {
    /// Creates a detector whose baseline is the current offset between the clocks.
    pub fn new(source: &impl ClockSource) -> Self {
        // A preemption between the two clock readings makes the offset too small.
        let readings = (0..INITIAL_READINGS).map(|_| clock_offset(source));
        Self {
            offset: readings.max().unwrap_or_default(),
        }
    }

    /// Returns how long the machine was suspended since the last reported suspension or the
    /// creation of the detector, or `None` if that is below the reporting threshold.
    pub fn suspended_for(&mut self, source: &impl ClockSource) -> Option<Duration> {
        let offset = clock_offset(source);
        let suspended = offset
            .checked_sub(self.offset)
            .filter(|suspended| *suspended >= MIN_SUSPENSION)?;
        self.offset = offset;
        Some(suspended)
    }
}

/// Returns a lower bound of the boot clock's lead over the monotonic clock. The boot clock is
/// read first, so that a preemption between the readings does not look like a suspension.
fn clock_offset(source: &impl ClockSource) -> Duration {
    let boot = source.boot();
    boot.saturating_sub(source.monotonic())
}
