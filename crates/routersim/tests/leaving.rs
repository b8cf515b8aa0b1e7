//! Upstreams announce in their responses that they are leaving while they cannot update the
//! store.
//!
//! Guards against nodes that learn of leaving upstreams only from the store: two of eleven
//! nodes sent requests to an upstream 2.6 and 3.2 s after they had forwarded a response that
//! announced its departure, and all went on at their usual rate until the store was back, 12 s
//! later. Each history below violates the invariant for nodes that ignore such responses.

use beamtray_routersim::{Fault, FaultKind, FaultPlan, WorldConfig, run_plan};

const SEEDS: u64 = 16;

fn config(seed: u64) -> WorldConfig {
    WorldConfig {
        keyed: 5,
        pool: 4,
        rate: 60,
        ..WorldConfig::drawn(seed)
    }
}

/// Violations, and the histories in which less than `least_served_percent` is served.
fn broken(faults: &[Fault], least_served_percent: usize) -> Vec<String> {
    let mut all = Vec::new();
    for seed in 0..SEEDS {
        let plan = FaultPlan {
            faults: faults.to_vec(),
        };
        let outcome = run_plan(config(seed), plan, None);
        let violations = outcome.violations.iter().take(1);
        all.extend(violations.map(|one| format!("seed {seed}: {one}")));
        let (served, asked) = (outcome.served, outcome.requests);
        if served * 100 < asked * least_served_percent {
            all.push(format!("seed {seed}: {served} of {asked} served"));
        }
    }
    all
}

/// Guards against requests to an upstream that has announced its departure in responses but not
/// in the store.
#[test]
fn upstream_announcing_departure_gets_no_more_requests() {
    let faults = [
        Fault::new(8_000, 6_000, FaultKind::UpstreamLeaves { upstream: 0 }),
        Fault::new(9_000, 7_000, FaultKind::UpstreamLeaves { upstream: 6 }),
    ];
    let broken = broken(&faults, 95);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// During a store outage the upstream's keys cannot move, so their requests are refused.
#[test]
fn leaving_upstreams_get_no_more_requests_during_store_outage() {
    let faults = [
        Fault::new(7_900, 8_000, FaultKind::StoreDown { lapse: false }),
        Fault::new(8_000, 6_000, FaultKind::UpstreamLeaves { upstream: 0 }),
        Fault::new(9_000, 6_000, FaultKind::UpstreamLeaves { upstream: 6 }),
    ];
    let broken = broken(&faults, 80);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Nodes are killed, partitioned and restarted meanwhile.
#[test]
fn leaving_upstreams_get_no_more_requests_while_nodes_are_lost() {
    let faults = [
        Fault::new(8_000, 9_000, FaultKind::UpstreamLeaves { upstream: 0 }),
        Fault::new(8_500, 9_000, FaultKind::UpstreamLeaves { upstream: 6 }),
        Fault::new(9_000, 1_000, FaultKind::NodeKill { node: None }),
        Fault::new(9_500, 5_000, FaultKind::PeerCut { node: 1 }),
        Fault::new(11_000, 2_000, FaultKind::NodeFreeze { node: Some(0) }),
        Fault::new(12_000, 1_500, FaultKind::NodeKill { node: Some(0) }),
    ];
    let broken = broken(&faults, 75);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
