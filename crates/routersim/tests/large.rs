//! A deployment of hundreds of nodes satisfies all invariants.

use beamtray_routersim::{WorldSize, run_seed};

/// Seeds whose faults affect the granter, other nodes, the store and upstreams.
const SEEDS: [u64; 1] = [1];

#[test]
fn three_hundred_nodes_satisfy_all_invariants() {
    for seed in SEEDS {
        let outcome = run_seed(WorldSize::Large, seed);
        let broken: Vec<String> = outcome
            .violations
            .iter()
            .map(|one| one.to_string())
            .collect();
        assert!(broken.is_empty(), "seed {seed}: {}", broken.join("\n"));
        assert!(
            outcome.served * 10 >= outcome.requests * 6,
            "seed {seed}: {} of {} served",
            outcome.served,
            outcome.requests
        );
    }
}
