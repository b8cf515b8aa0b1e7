//! Requests that end upstreams, in drawn histories.

use beamtray_routersim::{WorldSize, explore};

/// A request that had ended three upstreams ended a seventh one, when all nodes had had the
/// time to hear of it.
#[test]
fn a_request_that_ends_upstreams_is_kept_off_in_a_drawn_history() {
    let outcome = explore(WorldSize::Drawn, 7_411_455);
    assert_eq!(outcome.violations, []);
}
