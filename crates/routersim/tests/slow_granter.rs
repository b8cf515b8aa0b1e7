//! Nodes that send orders slowly still grant all keys.

use beamtray_routersim::{Fault, FaultKind, FaultPlan, Invariant, Outcome, WorldConfig, run_plan};
use beamtray_types::Time;
use std::time::Duration;

/// All nodes need `order_ms` per order and are killed at 9 s, so the next granter has to renew
/// every key at once.
fn run(seed: u64, order_ms: u64) -> Outcome {
    let config = WorldConfig {
        keyed: 6,
        ..WorldConfig::drawn(seed)
    };
    let fault = |at_ms: u64, kind| Fault {
        at: Time(at_ms * 1_000),
        duration: Duration::from_secs(30),
        kind,
    };
    let nodes = 0..config.nodes;
    let mut faults: Vec<Fault> = nodes
        .map(|node| {
            let node = Some(node);
            fault(8_000, FaultKind::NodeSlow { node, order_ms })
        })
        .collect();
    faults.push(Fault {
        duration: Duration::from_secs(2),
        ..fault(9_000, FaultKind::KillAll)
    });
    run_plan(config, FaultPlan { faults }, None)
}

const SEEDS: u64 = 6;

/// 48 slices take 720 ms, longer than the response timeout.
#[test]
fn all_keys_are_granted_again_after_loss_of_all_nodes() {
    for seed in 0..SEEDS {
        let outcome = run(seed, 15);
        assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
        assert!(
            outcome.served * 100 >= outcome.requests * 85,
            "seed {seed}: {} of {} served",
            outcome.served,
            outcome.requests
        );
    }
}

/// 48 slices take 1.4 s, half of a hold. Less than half of the requests was served when the
/// granter mistook its own delay for unresponsive holders.
#[test]
fn delayed_granter_serves_most_requests() {
    let (mut asked, mut served) = (0, 0);
    for seed in 0..SEEDS {
        let outcome = run(seed, 30);
        let mut violations = outcome.violations.iter();
        let only_served_less = violations.all(|one| one.invariant == Invariant::Recovery);
        assert!(only_served_less, "{:?}", outcome.violations);
        asked += outcome.requests;
        served += outcome.served;
    }
    assert!(served * 100 >= asked * 70, "{served} of {asked} served");
}
