//! All upstreams of a zone crash at once under ordinary load and restart cold.
//!
//! Guards against a suspicion cost that grows with the load: 156 crashes of one service's
//! upstreams within half a minute left 5,632 suspected requests, which all nodes sent to all
//! others, and a dozen of 79 nodes wrote 62,000 log lines about them until the end of the day.
//! Each request in flight during a crash is suspected, although nearly all are harmless, and
//! each node logged each suspicion and sent it at once in its own datagram. At the higher of
//! the two loads below, all nodes would have written 5,328 lines; with the bounds they write
//! 210.

use beamtray_routersim::{Fault, FaultKind, FaultPlan, Outcome, WorldConfig, run_plan};
use beamtray_types::Time;
use std::time::Duration;

const NODES: usize = 24;
const SEEDS: u64 = 2;
/// Number of crashes of the zone.
const ENDS: u64 = 4;
const PAUSE_MS: u64 = 3_500;
/// Maximum log lines per node for each crash of the zone.
const NOTICES_A_NODE: usize = 20;
/// Maximum suspicions that one node may receive for each crash of the zone: twenty datagrams.
const TOLD_A_NODE: usize = 1_200;

/// Maximum fingerprints that one node may remember.
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

/// All upstreams of the third zone crash at the same moment and are back after 0.6 s.
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
