//! The store is away for a moment and comes back from an older copy of itself.
//!
//! Seen: nodes acted by a configuration that was two versions old, since their copies refused
//! every reading of the new store, whose revisions were lower; and after all nodes had been
//! killed, holders that had given keys back got them again beside those who had them, since
//! the record of the grants had gone back and nobody had written it again. Proof: histories
//! below break their promises for nodes that take no notice of the store's era.

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

/// What is broken first of each promise in each history.
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

/// Guards against copies that refuse what a store says which came back from an older copy.
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

/// Guards against a granter that trusts a record which went back with the store.
#[test]
fn keys_have_one_owner_after_store_rollback_and_loss_of_all_nodes() {
    let broken = broken(&[
        Fault::new(7_000, 6_000, FaultKind::HotKey),
        goes_back(12_000, 2_000, 6_000),
        Fault::new(18_000, 2_000, FaultKind::KillAll),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The same where the granter, or all nodes, go while the store is away.
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

/// The same where another node became the granter after the copy was made.
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

/// The same where the store goes back twice, the second time behind the first.
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
