//! Histories of fixed seeds keep every promise.

use beamtray_routersim::{WorldSize, explore};

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
