//! Relays lose the store while an upstream leaves.
//!
//! Guards against treating the loss of one relay's connection as a store outage: connected
//! nodes sent a request to an upstream 2.02 s after its registration was gone, 20 ms too late.
//! The store rejected the first relays of two zones. Their nodes learned of the removal from
//! the relay of a third zone, 0.4 s late, and then applied the grace period for re-registration
//! after a store outage, although another relay's calls were all answered. The histories below
//! violate the invariant if one relay's fault counts as a store outage.

use beamtray_router::core::{NodeRecord, Relays};
use beamtray_routersim::{
    Fault, FaultKind, FaultPlan, Invariant, WorldConfig, default_settings, run_plan,
};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

const NODES: usize = 9;
const UPSTREAM: usize = 1;

/// Relays of the first two zones.
fn relays() -> Vec<usize> {
    let record = |node| {
        let settings = default_settings(node);
        let config = settings.core_config(1);
        (settings.node, config.control.record)
    };
    let records: BTreeMap<String, NodeRecord> = (0..NODES).map(record).collect();
    let relays = Relays::choose(&records);
    let is_relay = |node: &usize| relays.contains(&default_settings(*node).listen.peers);
    (0..NODES).filter(is_relay).take(2).collect()
}

/// Two relays lose the store at 8 s for 6 s, and an upstream deletes its registration
/// `leaves_after_ms` later.
fn faults(leaves_after_ms: u64) -> Vec<Fault> {
    let cut = relays().into_iter().map(|node| Fault {
        at: Time(8_000_000),
        duration: Duration::from_secs(6),
        kind: FaultKind::StoreCut { node: Some(node) },
    });
    let leaves = Fault {
        at: Time((8_000 + leaves_after_ms) * 1_000),
        duration: Duration::ZERO,
        kind: FaultKind::UpstreamDrain {
            upstream: UPSTREAM,
            abrupt: true,
        },
    };
    cut.chain([leaves]).collect()
}

#[test]
fn nodes_learn_of_a_departure_in_time() {
    let mut broken = Vec::new();
    for seed in 0..12 {
        for leaves_after_ms in [200, 500, 800, 1_100] {
            let config = WorldConfig {
                nodes: NODES,
                keyed: 4,
                pool: 4,
                ..WorldConfig::drawn(seed)
            };
            let faults = faults(leaves_after_ms);
            let outcome = run_plan(config, FaultPlan { faults }, None);
            let violations = outcome.violations.into_iter();
            let late = violations.filter(|one| one.invariant == Invariant::Drain);
            broken.extend(late.map(|one| format!("seed {seed}, {leaves_after_ms} ms: {one}")));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
