//! A relay loses the store while an upstream leaves.
//!
//! Seen: nodes in touch sent a request to an upstream 2.02 s after its registration was
//! gone, 20 ms too late. How: the store turned the first relays of two zones away; their
//! nodes heard of the registration from the relay of a third zone, 0.4 s late, and then
//! gave the upstream the time to register again that an outage of the store calls for.
//! Cause: the trouble of one relay counted as trouble of the store, at every node, also
//! while another relay's calls were all answered. Proof: below, the promise breaks where
//! relays lose the store at the time.

use beamtray_router::core::{NodeRecord, Relays};
use beamtray_routersim::{
    Fault, FaultKind, FaultPlan, Invariant, WorldConfig, default_settings, run_plan,
};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

const NODES: usize = 9;
const UPSTREAM: usize = 1;

/// The relays of the first two zones.
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

/// Two relays lose the store at 8 s for 6 s, and an upstream takes its registration back
/// that much later.
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
