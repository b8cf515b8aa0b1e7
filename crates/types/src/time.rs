//! Timestamps of a process's monotonic clock.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Timestamp of a process's monotonic clock, in microseconds since an arbitrary start.
///
/// Two timestamps are comparable only when the same incarnation of the same
/// process took both. The grant protocol never compares timestamps of different
/// processes.
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
    /// The earliest timestamp.
    pub const ZERO: Time = Time(0);

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the milliseconds since the clock's start.
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
