//! Upstreams turn all requests away and ask for rest.
//!
//! Seen: holders of keys that had asked nodes for three seconds of rest got 20 requests and
//! more from single nodes in that time, second attempts 34 ms after first ones, and callers
//! were told to come back in 0.1 to 0.3 s. Cause: nobody read how long was asked for. Proof:
//! the promise breaks in each history below for nodes that take no notice of it.

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

/// What is broken first in each history.
fn broken(faults: &[Fault]) -> Vec<String> {
    let first = |(seed, outcome): (u64, Outcome)| {
        let violation = outcome.violations.first()?;
        Some(format!("seed {seed}: {violation}"))
    };
    outcomes(faults).filter_map(first).collect()
}

/// Guards against requests to a holder of keys that asked for rest.
#[test]
fn retry_after_of_a_key_holder_is_respected() {
    let broken = broken(&[rests(0, 8_000, 9_000), rests(1, 8_200, 9_000)]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The same where another upstream could take each request, and where none can.
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

/// The same while nodes are killed and cut off, and while an upstream rests that leaves and
/// names a rate.
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

/// Holders that rest lose their keys to others, sooner than their requests are refused for
/// the rest's whole length.
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
