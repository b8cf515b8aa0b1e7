//! Evacuation and readmission of a zone.
//!
//! Guards against nodes that do not read evacuations: thousands of requests went to upstreams
//! of a zone more than five seconds after the store had acknowledged its evacuation. Each
//! history below violates the invariant for nodes that ignore evacuations.

use beamtray_routersim::{Fault, FaultKind, FaultPlan, WorldConfig, run_plan};
use beamtray_types::Time;
use std::time::Duration;

const SEEDS: u64 = 16;

fn config(seed: u64) -> WorldConfig {
    WorldConfig {
        keyed: 6,
        pool: 6,
        ..WorldConfig::drawn(seed)
    }
}

fn evacuation(zone: &'static str, millis: u64, duration: u64) -> Fault {
    Fault {
        at: Time(millis * 1_000),
        duration: Duration::from_millis(duration),
        kind: FaultKind::ZoneEvacuation { zone },
    }
}

/// Violations, and the histories in which less than `least_served_percent` is served.
fn broken(faults: &[Fault], least_served_percent: usize) -> Vec<String> {
    let mut all = Vec::new();
    for seed in 0..SEEDS {
        let plan = FaultPlan {
            faults: faults.to_vec(),
        };
        let outcome = run_plan(config(seed), plan, None);
        let violations = outcome.violations.iter();
        all.extend(violations.map(|one| format!("seed {seed}: {one}")));
        let (served, asked) = (outcome.served, outcome.requests);
        if served * 100 < asked * least_served_percent {
            all.push(format!("seed {seed}: {served} of {asked} served"));
        }
    }
    all
}

#[test]
fn evacuated_zone_gets_no_requests_and_its_keys_move() {
    let broken = broken(&[evacuation("b", 8_000, 12_000)], 90);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn zones_are_evacuated_in_turn() {
    let faults = [
        evacuation("a", 7_000, 6_000),
        evacuation("b", 14_000, 6_000),
        evacuation("c", 21_000, 4_000),
    ];
    let broken = broken(&faults, 85);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The granter is lost just as keys are to move, and its successor knows of the evacuation from
/// its own replica.
#[test]
fn evacuation_survives_loss_of_the_granter() {
    let killed = Fault {
        at: Time(8_050_000),
        duration: Duration::from_millis(4_000),
        kind: FaultKind::NodeKill { node: None },
    };
    let broken = broken(&[evacuation("b", 8_000, 12_000), killed], 75);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The evacuation entry stays while nodes lose the store and all their state.
#[test]
fn evacuation_survives_loss_of_all_nodes() {
    let killed = Fault {
        at: Time(10_000_000),
        duration: Duration::from_millis(500),
        kind: FaultKind::KillAll,
    };
    let broken = broken(&[evacuation("b", 8_000, 14_000), killed], 70);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
