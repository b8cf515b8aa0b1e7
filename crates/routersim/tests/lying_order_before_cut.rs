//! An order that is left lying right before its upstream is cut off.

use beamtray_routersim::{CutFrom, Fault, FaultPlan, Promise, Trouble, WorldConfig, play};
use beamtray_types::Time;
use std::time::Duration;

const SEEDS: u64 = 60;

fn fault(at_ms: u64, lasts_ms: u64, trouble: Trouble) -> Fault {
    Fault {
        at: Time(at_ms * 1_000),
        lasts: Duration::from_millis(lasts_ms),
        trouble,
    }
}

/// An upstream left a renewal lying, was cut off before it answered the next one, and took it
/// after its keys had gone to another. The moments are those of the drawn history 1312.
#[test]
fn an_upstream_cut_off_after_it_left_a_grant_lying_takes_no_keys_that_went_on() {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let unreachable = Trouble::UpstreamUnreachable {
            upstream: 0,
            from: CutFrom::Everything,
        };
        let faults = vec![
            fault(17_000, 120, Trouble::OrdersLate { percent: 95 }),
            fault(17_430, 6_000, unreachable),
        ];
        let violations = play(WorldConfig::drawn(seed), FaultPlan { faults }, None).violations;
        let owners = violations
            .into_iter()
            .filter(|one| matches!(one.promise, Promise::SoleOwner | Promise::RisingTokens));
        broken.extend(owners.map(|one| format!("seed {seed}: {one}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
