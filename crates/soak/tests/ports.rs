//! Port allocation of concurrent runs.

use beamtray_soak::{Ports, Size};
use std::collections::BTreeSet;

/// So many that a block chosen without regard to them would overlap with some.
const SMALL_RUNS: usize = 150;

/// Guards against two runs with the same ports, where upstreams of one answered requests of
/// the other.
#[test]
fn runs_at_the_same_time_have_ports_of_their_own() {
    let runs: Vec<Ports> = (0..3)
        .map(|_| Ports::claim(Size::SMALL).expect("there are enough"))
        .collect();
    let mut addresses = BTreeSet::new();
    for ports in &runs {
        for _ in 0..20 {
            let address = ports.free_address().expect("some are free");
            assert!(addresses.insert(address), "{address} twice");
        }
    }
}

/// Guards against a larger run whose ports reach into those of a smaller one.
#[test]
fn runs_of_different_sizes_have_ports_of_their_own() {
    let sizes = std::iter::repeat_n(Size::SMALL, SMALL_RUNS).chain([Size::LARGE]);
    let runs: Vec<(Size, Ports)> = sizes
        .map(|size| (size, Ports::claim(size).expect("there are enough")))
        .collect();
    let mut addresses = BTreeSet::new();
    for (size, ports) in &runs {
        for _ in 0..size.routers * 4 + size.upstreams() {
            let address = ports.free_address().expect("some are free");
            assert!(addresses.insert(address), "{address} twice");
        }
    }
}
