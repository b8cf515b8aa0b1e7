//! An order that is delayed just before its upstream is partitioned.

use beamtray_routersim::{CutFrom, Fault, FaultKind, FaultPlan, Invariant, WorldConfig, run_plan};
use beamtray_types::Time;
use std::time::Duration;

const SEEDS: u64 = 60;

fn fault(at_ms: u64, duration_ms: u64, kind: FaultKind) -> Fault {
    Fault {
        at: Time(at_ms * 1_000),
        duration: Duration::from_millis(duration_ms),
        kind,
    }
}

/// An upstream delayed a renewal, was partitioned before it answered the next one, and accepted
/// the renewal after its keys had moved to another upstream. The times are those of drawn
/// history 1312.
#[test]
fn partitioned_upstream_with_a_delayed_grant_accepts_no_moved_keys() {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let unreachable = FaultKind::UpstreamUnreachable {
            upstream: 0,
            from: CutFrom::Everything,
        };
        let faults = vec![
            fault(17_000, 120, FaultKind::OrdersLate { percent: 95 }),
            fault(17_430, 6_000, unreachable),
        ];
        let violations = run_plan(WorldConfig::drawn(seed), FaultPlan { faults }, None).violations;
        let owners = violations.into_iter().filter(|one| {
            matches!(
                one.invariant,
                Invariant::SoleOwner | Invariant::RisingTokens
            )
        });
        broken.extend(owners.map(|one| format!("seed {seed}: {one}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
