//! When a granter checks which orders are due, and what the checks cost.
//!
//! Invariant: checks take a bounded share of the node's processor time, however many slices there
//! are and however many replies arrive. All keys wait for the granter, and its lease is renewed
//! by the same thread: if the checks used up its processor time, it lost its lease, and its
//! successor began the same work anew.

use beamtray_types::Time;
use std::time::Duration;

/// Interval of the check for due orders, when nothing requires an earlier one.
const ORDER_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval of checks, so that replies that arrive together cause one.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
/// Slices whose check costs as much processor time as an order.
const SLICES_AN_ORDER: u32 = 200;

/// Checks for due orders so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCheckWork {
    /// Number of checks.
    pub checks: u64,
    /// Slices examined by them.
    pub slices: u64,
}

/// The schedule of checks for due orders.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderChecks {
    /// Minimum average time between two orders of this node, as far as its processor is concerned.
    min_order_interval: Duration,
    /// When the next check is due.
    due: Time,
    /// Earliest time of the next check.
    not_before: Time,
    work: OrderCheckWork,
}

impl OrderChecks {
    pub fn new(min_order_interval: Duration) -> Self {
        Self {
            min_order_interval,
            due: Time::ZERO,
            not_before: Time::ZERO,
            work: OrderCheckWork::default(),
        }
    }

    /// Whether a check is due.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.due
    }

    /// Records a check of that many slices.
    pub fn checked(&mut self, now: Time, slices: usize) {
        let pause = self.min_order_interval * (slices as u32) / SLICES_AN_ORDER;
        self.not_before = now + pause.max(MIN_INTERVAL);
        self.due = now + pause.max(ORDER_INTERVAL);
        self.work.checks += 1;
        self.work.slices += slices as u64;
    }

    /// Has the next check follow as soon as possible: an order may be due sooner than usual.
    pub fn hasten(&mut self, now: Time) {
        self.due = self.not_before.max(now);
    }

    /// The checks so far.
    pub fn work(&self) -> OrderCheckWork {
        self.work
    }
}
