//! Notices that the machine was suspended.

use crate::boot::ClockSource;
use std::time::Duration;

/// Shortest suspension that counts. Reading two clocks one after the other may be
/// interrupted for some milliseconds; no lease or bound of trust is within an order of
/// this.
const LEAST: Duration = Duration::from_millis(50);

/// Compares two clocks from look to look.
#[derive(Clone, Copy, Debug)]
pub struct SleepWatch {
    ahead: Duration,
}

impl SleepWatch {
    /// Compares from now on.
    pub fn new(source: &impl ClockSource) -> Self {
        Self {
            ahead: ahead(source),
        }
    }

    /// For how long the machine was suspended since the last look, if it was.
    pub fn asleep(&mut self, source: &impl ClockSource) -> Option<Duration> {
        let ahead = ahead(source);
        let asleep = ahead
            .checked_sub(self.ahead)
            .filter(|asleep| *asleep >= LEAST)?;
        self.ahead = ahead;
        Some(asleep)
    }
}

/// How much more the boot clock has counted.
fn ahead(source: &impl ClockSource) -> Duration {
    let steady = source.steady();
    source.boot().saturating_sub(steady)
}
