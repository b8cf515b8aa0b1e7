//! Upstreams reject all requests with a retry-after period.
//!
//! Guards against nodes that ignore the retry-after period: holders of keys that had requested
//! three seconds got 20 and more requests from single nodes in that time, second attempts came
//! 34 ms after first ones, and callers were told to retry after 0.1 to 0.3 s. Each history
//! below violates the invariant for nodes that ignore the period.

use beamtray_routersim::{Fault, FaultKind, FaultPlan, Outcome, WorldConfig, run_plan};

const SEEDS: u64 = 16;

fn config(seed: u64) -> WorldConfig {
    WorldConfig {
        keyed: 6,
        pool: 4,
        rate: 60,
        ..WorldConfig::drawn(seed)
    }
}

fn rests(upstream: usize, millis: u64, duration: u64) -> Fault {
    let rest_ms = 3_000;
    Fault::new(
        millis,
        duration,
        FaultKind::UpstreamRests { upstream, rest_ms },
    )
}

fn outcomes(faults: &[Fault]) -> impl Iterator<Item = (u64, Outcome)> {
    (0..SEEDS).map(|seed| {
        let plan = FaultPlan {
            faults: faults.to_vec(),
        };
        (seed, run_plan(config(seed), plan, None))
    })
}

/// First violation in each history.
fn broken(faults: &[Fault]) -> Vec<String> {
    let first = |(seed, outcome): (u64, Outcome)| {
        let violation = outcome.violations.first()?;
        Some(format!("seed {seed}: {violation}"))
    };
    outcomes(faults).filter_map(first).collect()
}

/// Guards against requests to a holder of keys during its retry-after period.
#[test]
fn retry_after_of_a_key_holder_is_respected() {
    let broken = broken(&[rests(0, 8_000, 9_000), rests(1, 8_200, 9_000)]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Covers upstreams without keys, where another upstream can serve each request and where none
/// can.
#[test]
fn retry_after_of_unsharded_upstreams_is_respected() {
    let some: Vec<Fault> = (6..8)
        .map(|upstream| rests(upstream, 8_000, 9_000))
        .collect();
    let all: Vec<Fault> = (6..10)
        .map(|upstream| rests(upstream, 8_000, 5_000))
        .collect();
    let mut broken_in = broken(&some);
    broken_in.extend(broken(&all));
    assert!(broken_in.is_empty(), "{}", broken_in.join("\n"));
}

/// Nodes are killed and partitioned, and one upstream with a retry-after period also leaves and
/// advertises a rate.
#[test]
fn retry_after_is_respected_while_nodes_are_lost() {
    let in_need = FaultKind::UpstreamInNeed {
        upstream: 0,
        rate_milli: 3_500,
    };
    let broken = broken(&[
        rests(0, 8_000, 9_000),
        rests(7, 8_000, 9_000),
        Fault::new(7_500, 9_000, in_need),
        Fault::new(9_000, 7_000, FaultKind::UpstreamLeaves { upstream: 0 }),
        Fault::new(9_500, 1_500, FaultKind::NodeKill { node: None }),
        Fault::new(10_000, 3_000, FaultKind::PeerCut { node: 1 }),
        Fault::new(11_000, 2_000, FaultKind::NodeFreeze { node: Some(0) }),
        Fault::new(11_500, 3_000, FaultKind::StoreCut { node: None }),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The keys of holders with a retry-after period move to others before requests have been
/// refused for the whole period.
#[test]
fn keys_of_holders_with_retry_after_move() {
    let faults = [rests(0, 8_000, 9_000), rests(1, 8_200, 9_000)];
    let (mut served, mut asked, mut releases) = (0, 0, 0);
    for (_, outcome) in outcomes(&faults) {
        served += outcome.served;
        asked += outcome.requests;
        releases += outcome.releases;
    }
    println!("{served} of {asked} served, {releases} releases");
    assert!(served * 1_000 >= asked * 985, "{served} of {asked} served");
}
