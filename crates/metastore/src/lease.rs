//! Keeps one lease of the store alive.
//!
//! Invariant: `valid_until` never lies after the end of the lease in the
//! store. The store counts from the arrival of a call, the keeper from before
//! its sending, so a lease lost unseen has ended here first.

use crate::call::{LeaseId, StoreCall, StoreOutcome};
use beamtray_types::Time;
use std::time::Duration;

/// Wait after a call that failed. It doubles with each further one, up to half of the
/// time between renewals: a store that turns away a third of 300 nodes would be asked
/// by them 700 times a second.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Failures after which the wait does not double any more.
const MAX_DOUBLINGS: u32 = 5;
/// Share of a lease's life that is trusted, in percent: clocks may differ.
const USABLE_TTL_PERCENT: u32 = 97;

/// Timing of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// Life of the lease without renewal.
    pub ttl: Duration,
    /// Between renewals.
    pub renewal: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    lease: LeaseId,
    valid_until: Time,
}

/// Keeps one lease alive.
#[derive(Clone, Debug)]
pub struct LeaseKeeper {
    timing: LeaseTiming,
    held: Option<Held>,
    due: Time,
    failures: u32,
}

impl LeaseKeeper {
    /// A keeper without a lease.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            held: None,
            due: Time::ZERO,
            failures: 0,
        }
    }

    /// The lease, while it is valid.
    pub fn lease(&self, now: Time) -> Option<LeaseId> {
        self.held
            .filter(|held| now < held.valid_until)
            .map(|held| held.lease)
    }

    /// When the lease ends unless it is renewed.
    pub fn valid_until(&self) -> Option<Time> {
        self.held.map(|held| held.valid_until)
    }

    /// The call that is due.
    pub fn poll(&mut self, now: Time) -> Option<StoreCall> {
        if now < self.due {
            return None;
        }
        self.due = now + self.timing.renewal;
        Some(match self.held {
            // A renewal that succeeds late proves that the lease never ended.
            Some(held) => StoreCall::KeepLease { lease: held.lease },
            None => StoreCall::GrantLease {
                ttl: self.timing.ttl,
            },
        })
    }

    /// Takes the outcome of a call that was sent at `sent`.
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

    /// Renews that often from the next renewal on, which comes no later than
    /// that after the last one.
    pub fn set_renewal(&mut self, renewal: Duration) {
        if renewal < self.timing.renewal {
            let shorter_by = self.timing.renewal - renewal;
            self.due = self.due - shorter_by;
        }
        self.timing.renewal = renewal;
    }

    /// Gives the lease up; the call that ends it at the store.
    pub fn resign(&mut self) -> Option<StoreCall> {
        let held = self.held.take()?;
        Some(StoreCall::RevokeLease { lease: held.lease })
    }

    /// Time of the next call.
    pub fn due(&self) -> Time {
        self.due
    }
}
