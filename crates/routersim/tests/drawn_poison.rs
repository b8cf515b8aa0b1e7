//! Poison requests in drawn histories.

use beamtray_routersim::{WorldSize, run_seed};

/// Regression test: a request that had crashed three upstreams crashed a seventh one after all
/// nodes had had time to learn of it.
#[test]
fn poison_request_is_quarantined_in_a_drawn_history() {
    let outcome = run_seed(WorldSize::Drawn, 7_411_455);
    assert_eq!(outcome.violations, []);
}
