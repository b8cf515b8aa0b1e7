//! Keeps a lease in the store alive.
//!
//! Invariant: `valid_until` is never later than the expiry of the lease in the store. The
//! store counts from the arrival of a call, the keeper from before the call is sent, so a
//! lease that expires unnoticed has already ended locally.

use crate::call::{LeaseId, StoreCall, StoreOutcome};
use beamtray_types::Time;
use std::time::Duration;

/// Delay after the first failed call. It doubles with each further failure, up to half of the
/// renewal interval: at a constant delay, a store that rejects the calls of a third of 300
/// nodes would receive 700 calls per second from them.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Number of failures after which the delay no longer doubles.
const MAX_DOUBLINGS: u32 = 5;
/// Share of a lease's time to live that is used, in percent, as a margin for clock drift.
const USABLE_TTL_PERCENT: u32 = 97;

/// Timing parameters of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// Time to live of the lease without renewal.
    pub ttl: Duration,
    /// Interval between renewals.
    pub renewal: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    lease: LeaseId,
    valid_until: Time,
}

/// Acquires a lease and keeps it alive.
#[derive(Clone, Debug)]
pub struct LeaseKeeper {
    timing: LeaseTiming,
    held: Option<Held>,
    due: Time,
    failures: u32,
}

impl LeaseKeeper {
    /// Creates a keeper that has no lease yet.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            held: None,
            due: Time::ZERO,
            failures: 0,
        }
    }

    /// Returns the lease if it is valid at `now`.
    pub fn lease(&self, now: Time) -> Option<LeaseId> {
        self.held
            .filter(|held| now < held.valid_until)
            .map(|held| held.lease)
    }

    /// Returns when the lease ends unless it is renewed.
    pub fn valid_until(&self) -> Option<Time> {
        self.held.map(|held| held.valid_until)
    }

    /// Returns the call that is due, if any.
    pub fn poll(&mut self, now: Time) -> Option<StoreCall> {
        if now < self.due {
            return None;
        }
        self.due = now + self.timing.renewal;
        Some(match self.held {
            // A lease past `valid_until` is renewed too: success means that it never expired.
            Some(held) => StoreCall::KeepLease { lease: held.lease },
            None => StoreCall::GrantLease {
                ttl: self.timing.ttl,
            },
        })
    }

    /// Handles the outcome of a call that was sent at `sent`.
    pub fn handle(&mut self, now: Time, sent: Time, outcome: &StoreOutcome) {
        match (outcome, self.held) {
            (StoreOutcome::Leased { lease, ttl }, held) => {
                let Some(lease) = lease.or(held.map(|held| held.lease)) else {
                    return;
                };
                let valid_until = sent + *ttl * USABLE_TTL_PERCENT / 100;
                self.failures = 0;
                self.held = Some(Held { lease, valid_until });
                self.due = sent + self.timing.renewal;
            }
            (StoreOutcome::Absent, Some(_)) => {
                self.held = None;
                self.due = now;
            }
            _ => {
                let backoff = INITIAL_RETRY_DELAY * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
                self.failures += 1;
                self.due = now
                    + backoff
                        .min(self.timing.renewal / 2)
                        .max(INITIAL_RETRY_DELAY);
            }
        }
    }

    /// Changes the renewal interval. A shorter interval also applies to the pending renewal.
    pub fn set_renewal(&mut self, renewal: Duration) {
        if renewal < self.timing.renewal {
            let shorter_by = self.timing.renewal - renewal;
            self.due = self.due - shorter_by;
        }
        self.timing.renewal = renewal;
    }

    /// Gives up the lease and returns the call that revokes it.
    pub fn resign(&mut self) -> Option<StoreCall> {
        let held = self.held.take()?;
        Some(StoreCall::RevokeLease { lease: held.lease })
    }

    /// Returns the time of the next call.
    pub fn due(&self) -> Time {
        self.due
    }
}
