//! Histories of fixed seeds satisfy all invariants.

use beamtray_routersim::{WorldSize, run_seed, run_seed_extended};

const SEEDS: u64 = 120;

#[test]
fn fixed_seeds_satisfy_all_invariants() {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let outcome = run_seed(WorldSize::Drawn, seed);
        for violation in outcome.violations {
            broken.push(format!("seed {seed}: {violation}"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Adds upstreams that announce leaving or send retry-after periods, and store rollbacks.
#[test]
fn fixed_seeds_with_extended_faults_satisfy_all_invariants() {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let outcome = run_seed_extended(WorldSize::Drawn, seed);
        for violation in outcome.violations {
            broken.push(format!("seed {seed}: {violation}"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Histories of many nodes that once violated an invariant.
const ONCE_BROKEN_WITH_MANY: [u64; 2] = [5043, 29];

#[test]
fn formerly_failing_histories_satisfy_all_invariants() {
    for seed in ONCE_BROKEN_WITH_MANY {
        let outcome = run_seed(WorldSize::Many, seed);
        let broken: Vec<String> = outcome
            .violations
            .iter()
            .map(|one| one.to_string())
            .collect();
        assert!(broken.is_empty(), "seed {seed}: {}", broken.join("\n"));
    }
}
