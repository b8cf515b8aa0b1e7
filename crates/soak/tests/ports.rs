//! Port allocation of concurrent runs.

use beamtray_soak::{Ports, Size};
use std::collections::BTreeSet;

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
