//! Histories of fixed seeds keep every promise.

use beamtray_routersim::{WorldSize, explore, explore_further};

const SEEDS: u64 = 120;

#[test]
fn fixed_seeds_keep_every_promise() {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let outcome = explore(WorldSize::Drawn, seed);
        for violation in outcome.violations {
            broken.push(format!("seed {seed}: {violation}"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The same with upstreams that say that they leave or ask for rest, and a store that goes
/// back.
#[test]
fn fixed_seeds_with_further_trouble_keep_every_promise() {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let outcome = explore_further(WorldSize::Drawn, seed);
        for violation in outcome.violations {
            broken.push(format!("seed {seed}: {violation}"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Histories of many nodes that once broke a promise.
const ONCE_BROKEN_WITH_MANY: [u64; 2] = [5043, 29];

#[test]
fn histories_that_once_broke_a_promise_keep_it() {
    for seed in ONCE_BROKEN_WITH_MANY {
        let outcome = explore(WorldSize::Many, seed);
        let broken: Vec<String> = outcome
            .violations
            .iter()
            .map(|one| one.to_string())
            .collect();
        assert!(broken.is_empty(), "seed {seed}: {}", broken.join("\n"));
    }
}
