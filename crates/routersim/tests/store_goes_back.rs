//! The store has a short outage and resumes from an older snapshot.
//!
//! Guards against nodes that ignore the store's era. Nodes used a configuration two versions
//! old, because their replicas rejected every reading of the restored store, whose revisions
//! were lower. After all nodes had been killed, holders that had released keys got them again
//! beside the current holders, because the record of the grants had been rolled back and not
//! rewritten. Histories below violate their invariants for nodes that ignore the era.

use beamtray_routersim::{Fault, FaultKind, FaultPlan, Invariant, WorldConfig, run_plan};

const SEEDS: u64 = 24;

fn config(seed: u64) -> WorldConfig {
    WorldConfig {
        keyed: 6,
        rate: 60,
        ..WorldConfig::drawn(seed)
    }
}

fn goes_back(millis: u64, duration: u64, back_ms: u64) -> Fault {
    Fault::new(millis, duration, FaultKind::StoreGoesBack { back_ms })
}

/// First violation of each invariant in each history.
fn broken(faults: &[Fault]) -> Vec<String> {
    let mut all = Vec::new();
    for seed in 0..SEEDS {
        let plan = FaultPlan {
            faults: faults.to_vec(),
        };
        let outcome = run_plan(config(seed), plan, None);
        let mut told: Vec<Invariant> = Vec::new();
        for violation in outcome.violations {
            if !told.contains(&violation.invariant) {
                told.push(violation.invariant);
                all.push(format!("seed {seed}: {violation}"));
            }
        }
    }
    all
}

/// Guards against replicas that reject readings of a store that has been rolled back.
#[test]
fn configuration_is_in_force_in_time_after_a_store_rollback() {
    let broken = broken(&[
        Fault::new(7_000, 8_000, FaultKind::HotKey),
        Fault::new(14_800, 0, FaultKind::Configure),
        goes_back(15_000, 1_000, 9_000),
        Fault::new(17_000, 0, FaultKind::Configure),
        Fault::new(17_500, 0, FaultKind::Configure),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a granter that trusts a record that was rolled back with the store.
#[test]
fn keys_have_one_owner_after_store_rollback_and_loss_of_all_nodes() {
    let broken = broken(&[
        Fault::new(7_000, 6_000, FaultKind::HotKey),
        goes_back(12_000, 2_000, 6_000),
        Fault::new(18_000, 2_000, FaultKind::KillAll),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The granter, or all nodes, are killed during the store outage.
#[test]
fn keys_have_one_owner_after_granter_loss_during_store_rollback() {
    let faults = [
        Fault::new(7_000, 6_000, FaultKind::HotKey),
        goes_back(12_000, 2_000, 5_000),
        Fault::new(12_500, 2_500, FaultKind::NodeKill { node: None }),
    ];
    let mut broken_in = broken(&faults);
    let faults = [
        Fault::new(7_000, 6_000, FaultKind::HotKey),
        goes_back(12_000, 2_500, 5_000),
        Fault::new(12_500, 2_000, FaultKind::KillAll),
    ];
    broken_in.extend(broken(&faults));
    assert!(broken_in.is_empty(), "{}", broken_in.join("\n"));
}

/// Another node has become the granter since the snapshot.
#[test]
fn tokens_rise_if_a_granter_began_after_the_snapshot() {
    let broken = broken(&[
        Fault::new(7_000, 9_000, FaultKind::HotKey),
        Fault::new(9_000, 1_500, FaultKind::NodeKill { node: None }),
        goes_back(14_000, 1_500, 6_000),
        Fault::new(17_000, 1_500, FaultKind::NodeKill { node: None }),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The store rolls back twice, the second time to before the first snapshot.
#[test]
fn invariants_hold_after_two_store_rollbacks() {
    let broken = broken(&[
        Fault::new(7_000, 9_000, FaultKind::HotKey),
        goes_back(10_000, 1_500, 4_000),
        Fault::new(12_500, 0, FaultKind::Configure),
        goes_back(14_000, 1_500, 2_000),
        Fault::new(17_500, 0, FaultKind::Configure),
        Fault::new(18_000, 1_500, FaultKind::NodeKill { node: None }),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
