//! Overloaded upstreams advertise a rate limit that applies to all nodes together.
//!
//! Guards against nodes that ignore advertised rates or apply them individually: two holders of
//! keys advertised 4.5 requests per second each and kept receiving 12, from all of eleven nodes
//! that had forwarded such a response, each of which sent 1 to 8 in four seconds. If each node
//! applied the limit alone, eleven nodes would send eleven times as much. Without permits 41 of
//! the 48 histories below violate the invariant, with up to 84 requests where 26 are allowed;
//! with permits none does.

use beamtray_routersim::{Fault, FaultKind, FaultPlan, WorldConfig, WorldSize, run_plan, run_seed};
use beamtray_types::Time;
use std::time::Duration;

const SEEDS: u64 = 12;
/// Rate limit of an overloaded upstream in requests per 1,000 seconds; the offered load is
/// three times as high.
const RATE_MILLI: u32 = 3_500;

fn config(seed: u64) -> WorldConfig {
    WorldConfig {
        nodes: 8,
        keyed: 4,
        pool: 4,
        rate: 60,
        ..WorldConfig::drawn(seed)
    }
}

fn in_need(upstream: usize, millis: u64, duration: u64) -> Fault {
    Fault {
        at: Time(millis * 1_000),
        duration: Duration::from_millis(duration),
        kind: FaultKind::UpstreamInNeed {
            upstream,
            rate_milli: RATE_MILLI,
        },
    }
}

fn fault(millis: u64, duration: u64, kind: FaultKind) -> Fault {
    Fault {
        at: Time(millis * 1_000),
        duration: Duration::from_millis(duration),
        kind,
    }
}

/// Histories in which an invariant is violated.
fn broken(faults: &[Fault]) -> Vec<String> {
    let mut all = Vec::new();
    for seed in 0..SEEDS {
        let plan = FaultPlan {
            faults: faults.to_vec(),
        };
        let violations = run_plan(config(seed), plan, None).violations;
        all.extend(violations.first().map(|one| format!("seed {seed}: {one}")));
    }
    all
}

#[test]
fn advertised_rate_of_a_key_holder_is_respected() {
    let broken = broken(&[in_need(0, 8_000, 10_000)]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn advertised_rates_of_two_unsharded_upstreams_are_respected() {
    let broken = broken(&[in_need(4, 8_000, 10_000), in_need(5, 8_000, 10_000)]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Requests of killed or partitioned nodes are not counted; those of other nodes are.
#[test]
fn advertised_rate_is_respected_while_nodes_are_lost() {
    let broken = broken(&[
        in_need(0, 8_000, 12_000),
        in_need(4, 8_000, 12_000),
        fault(10_000, 3_000, FaultKind::NodeKill { node: Some(1) }),
        fault(11_000, 4_000, FaultKind::PeerCut { node: 2 }),
        fault(12_500, 3_000, FaultKind::NodeKill { node: None }),
        fault(13_000, 2_000, FaultKind::NodeFreeze { node: Some(3) }),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The invariant also holds for repeated overload.
#[test]
fn advertised_rate_is_respected_in_repeated_overload() {
    let again: Vec<Fault> = (0..3)
        .map(|time| in_need(0, 8_000 + 4_500 * time, 4_000))
        .collect();
    let broken = broken(&again);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// An overloaded holder accepts a third of the requests for its keys. The keys move to holders
/// with spare capacity before requests are refused for lack of permits.
#[test]
fn keys_of_an_overloaded_holder_move() {
    let (mut served, mut asked) = (0, 0);
    for seed in 0..SEEDS {
        let plan = FaultPlan {
            faults: vec![in_need(0, 8_000, 12_000)],
        };
        let outcome = run_plan(config(seed), plan, None);
        served += outcome.served;
        asked += outcome.requests;
    }
    assert!(served * 100 >= asked * 97, "{served} of {asked} served");
}

/// Guards against a checker that keeps using an upstream's first rate after it has advertised a
/// higher one: it reported 19 requests in four seconds although 27 are allowed.
#[test]
fn checker_uses_a_raised_rate() {
    let outcome = run_seed(WorldSize::Drawn, 40_047);
    let violations: Vec<String> = outcome
        .violations
        .iter()
        .map(|one| one.to_string())
        .collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
