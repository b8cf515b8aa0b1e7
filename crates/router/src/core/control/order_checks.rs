//! When a granter checks which orders are due, and what the checks cost.

use beamtray_types::Time;
use std::time::Duration;

/// Interval of the check for due orders, when nothing requires an earlier one.
const ORDER_INTERVAL: Duration = Duration::from_millis(10);

/// Checks for due orders so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCheckWork {
    /// Number of checks.
    pub checks: u64,
    /// Slices examined by them.
    pub slices: u64,
}

/// The schedule of checks for due orders.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OrderChecks {
    due: Time,
    work: OrderCheckWork,
}

impl OrderChecks {
    /// Whether a check is due.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.due
    }

    /// Records a check of that many slices.
    pub fn checked(&mut self, now: Time, slices: usize) {
        self.due = now + ORDER_INTERVAL;
        self.work.checks += 1;
        self.work.slices += slices as u64;
    }

    /// Has the next check follow as soon as possible: an order may be due sooner than usual.
    pub fn hasten(&mut self, now: Time) {
        self.due = now;
    }

    /// The checks so far.
    pub fn work(&self) -> OrderCheckWork {
        self.work
    }
}
