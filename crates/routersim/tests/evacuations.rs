//! A zone is evacuated and readmitted.
//!
//! Seen: thousands of requests went to upstreams of a zone whose evacuation the store had
//! acknowledged more than five seconds before. Cause: no node read evacuations. Proof: the
//! promise breaks in each history below for nodes that take no notice of them.

use beamtray_routersim::{Fault, FaultPlan, Trouble, WorldConfig, play};
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

fn evacuation(zone: &'static str, millis: u64, lasts: u64) -> Fault {
    Fault {
        at: Time(millis * 1_000),
        lasts: Duration::from_millis(lasts),
        trouble: Trouble::ZoneEvacuation { zone },
    }
}

/// What is broken, and the histories in which less than that part is served.
fn broken(faults: &[Fault], least_served_percent: usize) -> Vec<String> {
    let mut all = Vec::new();
    for seed in 0..SEEDS {
        let plan = FaultPlan {
            faults: faults.to_vec(),
        };
        let outcome = play(config(seed), plan, None);
        let violations = outcome.violations.iter();
        all.extend(violations.map(|one| format!("seed {seed}: {one}")));
        let (served, asked) = (outcome.served, outcome.asked);
        if served * 100 < asked * least_served_percent {
            all.push(format!("seed {seed}: {served} of {asked} served"));
        }
    }
    all
}

#[test]
fn a_zone_that_is_evacuated_gets_nothing_and_its_keys_go_to_others() {
    let broken = broken(&[evacuation("b", 8_000, 12_000)], 90);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn zones_are_evacuated_one_after_the_other() {
    let faults = [
        evacuation("a", 7_000, 6_000),
        evacuation("b", 14_000, 6_000),
        evacuation("c", 21_000, 4_000),
    ];
    let broken = broken(&faults, 85);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The granter is lost right when keys are to move, and the next one knows of the
/// evacuation from its own copy.
#[test]
fn an_evacuation_outlives_the_granter() {
    let killed = Fault {
        at: Time(8_050_000),
        lasts: Duration::from_millis(4_000),
        trouble: Trouble::NodeKill { node: None },
    };
    let broken = broken(&[evacuation("b", 8_000, 12_000), killed], 75);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The entry stays while nodes lose the store and all that they knew.
#[test]
fn an_evacuation_outlives_all_nodes() {
    let killed = Fault {
        at: Time(10_000_000),
        lasts: Duration::from_millis(500),
        trouble: Trouble::KillAll,
    };
    let broken = broken(&[evacuation("b", 8_000, 14_000), killed], 70);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
