//! A zone of upstreams ends at once, under ordinary load, and comes back cold.
//!
//! Seen: 156 ends of one service's upstreams within half a minute left 5,632 suspected
//! requests, told by all nodes to all, and a dozen of 79 nodes wrote 62,000 lines about
//! them; it went on to the end of the day. How: each request that is under way when its
//! upstream ends is suspected, and nearly all of them are bystanders; each node wrote of
//! each that it heard of, and told it at once, in a datagram of its own. Cause: what
//! suspicion costs grew with the load. Proof: the counts below, of the same ends at two
//! loads: at the higher one all nodes would have written 5,328 lines, and write 210 now.

use beamtray_routersim::{Fault, FaultKind, FaultPlan, Outcome, WorldConfig, run_plan};
use beamtray_types::Time;
use std::time::Duration;

const NODES: usize = 24;
const SEEDS: u64 = 2;
/// How often the zone's upstreams end.
const ENDS: u64 = 4;
const PAUSE_MS: u64 = 3_500;
/// Lines that one node may write for each end of the zone.
const NOTICES_A_NODE: usize = 20;
/// Suspicions that one node may be told for each end of the zone: twenty datagrams of them.
const TOLD_A_NODE: usize = 1_200;

/// Fingerprints that one node may remember.
const MOST_REMEMBERED: usize = 1_024;

fn world(seed: u64, rate: u64) -> WorldConfig {
    WorldConfig {
        nodes: NODES,
        keyed: 90,
        pool: 90,
        rate,
        ..WorldConfig::drawn(seed)
    }
}

/// All upstreams of the third zone end at the same moment, and are back after 0.6 s.
fn zone_ends(config: &WorldConfig) -> FaultPlan {
    let ends = (0..ENDS).flat_map(|end| {
        let of_zone = (2..config.upstreams()).step_by(3);
        of_zone.map(move |upstream| Fault {
            at: Time((8_000 + end * PAUSE_MS) * 1_000),
            duration: Duration::from_millis(600),
            kind: FaultKind::UpstreamCrash {
                upstream,
                dark: false,
            },
        })
    });
    FaultPlan {
        faults: ends.collect(),
    }
}

fn outcomes(rate: u64) -> Vec<Outcome> {
    let run_plan = |seed| {
        let config = world(seed, rate);
        let plan = zone_ends(&config);
        run_plan(config, plan, None)
    };
    (0..SEEDS).map(run_plan).collect()
}

#[test]
fn suspicion_cost_is_bounded_regardless_of_load() {
    for rate in [300, 2_400] {
        for outcome in outcomes(rate) {
            let costs = outcome.suspicion;
            let each = NODES * ENDS as usize;
            assert!(
                costs.log_lines <= NOTICES_A_NODE * each,
                "{rate}: {costs:?}"
            );
            assert!(
                costs.suspicions_received <= TOLD_A_NODE * each,
                "{rate}: {costs:?}"
            );
            assert!(
                costs.peak_fingerprints <= MOST_REMEMBERED,
                "{rate}: {costs:?}"
            );
        }
    }
}

#[test]
fn ordinary_requests_are_served() {
    for outcome in outcomes(200) {
        assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
        let Outcome {
            requests: asked,
            served,
            quarantined,
            ..
        } = outcome;
        assert!(served * 100 >= asked * 90, "{served} of {asked} served");
        assert!(quarantined * 200 <= asked, "{quarantined} of {asked}");
    }
}
