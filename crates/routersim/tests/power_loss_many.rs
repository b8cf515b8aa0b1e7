//! Power loss of all nodes with the upstreams of a zone, in a deployment of 79 nodes with a tenth of
//! a processor core each.

use beamtray_routersim::{Fault, FaultKind, FaultPlan, WorldConfig, WorldSize, run_plan};

const BEGIN_MS: u64 = 8_000;
const LENGTH_MS: u64 = 2_000;

fn violations(seed: u64, faults: Vec<Fault>) -> Vec<String> {
    let config = WorldConfig::sized(WorldSize::Loaded, seed);
    let violations = run_plan(config, FaultPlan { faults }, None).violations;
    let told = |violation| format!("seed {seed}: {violation}");
    violations.iter().map(told).collect()
}

fn power_loss(at_ms: u64, zone: usize) -> Fault {
    Fault::new(at_ms, LENGTH_MS, FaultKind::PowerLoss { zone })
}

/// Power is lost twice, and the store loses answers in between.
fn two_power_losses() -> Vec<Fault> {
    let lost = FaultKind::StoreLost {
        percent: 30,
        late: true,
    };
    vec![
        power_loss(BEGIN_MS, 0),
        Fault::new(BEGIN_MS + LENGTH_MS, 1_500, lost),
        power_loss(BEGIN_MS + 2 * LENGTH_MS, 1),
    ]
}

// Guards against granters that use up their processor time with checks of what is due, each of
// which loses its lease before the keys have owners.
#[test]
fn keys_have_owners_again_after_a_power_loss_of_many_nodes() {
    let found = violations(1, vec![power_loss(BEGIN_MS, 0)]);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

// Guards against the same where the store is slow to come back and power is lost again.
#[test]
fn keys_have_owners_again_after_two_power_losses_of_many_nodes() {
    let found = violations(2, two_power_losses());
    assert!(found.is_empty(), "{}", found.join("\n"));
}

// Guards against the same in a history whose last granter was the first relay of its zone, which
// left it little processor time for the keys.
#[test]
fn keys_have_owners_again_whichever_nodes_are_granters() {
    let found = violations(7, two_power_losses());
    assert!(found.is_empty(), "{}", found.join("\n"));
}
