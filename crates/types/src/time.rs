//! A reading of one process's monotonic clock.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds on one process's monotonic clock, counted from an arbitrary start.
///
/// Two readings are comparable only when the same incarnation of the same
/// process took both. Comparing across processes is the mistake that the grant
/// protocol exists to avoid.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
    Serialize,
    Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The earliest reading.
    pub const ZERO: Time = Time(0);

    /// Time that passed since `earlier`; zero when `earlier` is in the future.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Milliseconds since the clock's start.
    pub fn as_millis(self) -> u64 {
        self.0 / 1_000
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(duration.as_micros() as u64))
    }
}
