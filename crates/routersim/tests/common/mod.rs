//! Histories with fixed faults, shared by tests of ownership after a rollback of the store.

#![allow(dead_code, reason = "not every test file uses every helper")]

use beamtray_routersim::{Fault, FaultKind, FaultPlan, Invariant, WorldConfig, run_plan};

/// Number of histories, which differ in all that a plan does not fix.
pub const SEEDS: u64 = 24;
/// When the store knows a term, but no assignment, in milliseconds.
pub const NO_RECORD_MS: u64 = 1_500;

/// Violations of the order of tokens or of sole ownership, one for each history.
pub fn broken(faults: impl Fn(&WorldConfig) -> Vec<Fault>) -> Vec<String> {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let config = WorldConfig::drawn(seed);
        let plan = FaultPlan {
            faults: faults(&config),
        };
        let outcome = run_plan(config, plan, None);
        let first = outcome.violations.into_iter().find(|one| {
            matches!(
                one.invariant,
                Invariant::SoleOwner | Invariant::RisingTokens
            )
        });
        broken.extend(first.map(|one| format!("seed {seed}: {one}")));
    }
    broken
}

pub fn orders_late(millis: u64, duration: u64) -> Fault {
    Fault::new(millis, duration, FaultKind::OrdersLate { percent: 100 })
}

/// The store goes back to its state of that time.
pub fn goes_back(millis: u64, duration: u64, snapshot_at: u64) -> Fault {
    let back_ms = millis - snapshot_at;
    Fault::new(millis, duration, FaultKind::StoreGoesBack { back_ms })
}
