//! Requests that end upstreams, in drawn histories.

use beamtray_routersim::{WorldSize, run_seed};

/// A request that had ended three upstreams ended a seventh one, when all nodes had had the
/// time to hear of it.
#[test]
fn poison_request_is_quarantined_in_a_drawn_history() {
    let outcome = run_seed(WorldSize::Drawn, 7_411_455);
    assert_eq!(outcome.violations, []);
}
