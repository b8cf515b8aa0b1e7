//! Orders that upstreams leave lying and carry out seconds later.
//!
//! An upstream that leaves grants and releases lying can't be told of a higher token before
//! its keys go on, and may take an old grant after that. Whether the order of tokens is to
//! hold there too is an open question to the platform; that two holders never both run
//! requests on a key is not.

use beamtray_routersim::{
    Fault, FaultKind, FaultPlan, Invariant, WorldConfig, WorldSize, run_plan, run_seed,
};
use beamtray_types::Time;
use std::time::Duration;

const SEEDS: u64 = 24;

#[test]
fn delayed_orders_do_not_cause_two_owners() {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        for percent in [20, 60, 95] {
            let late = Fault {
                at: Time(8_000_000),
                duration: Duration::from_secs(8),
                kind: FaultKind::OrdersLate { percent },
            };
            let plan = FaultPlan { faults: vec![late] };
            let outcome = run_plan(WorldConfig::drawn(seed), plan, None);
            let violations = outcome.violations.into_iter();
            let two_owners = violations.filter(|one| one.invariant == Invariant::SoleOwner);
            broken.extend(two_owners.map(|one| format!("seed {seed}, {percent}: {one}")));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// A drawn history in which an upstream is cut off with an order that it left lying, and
/// carries it out after its keys went to another.
///
/// Seen: two upstreams held the same keys for 1.4 s, one of them under a token 36 lower.
/// How: a renewal was left lying at 8.88 s. From 9.60 s on the upstream answered ten more,
/// all under the same token, so it never saw a higher one. It was cut off from 16.38 s to
/// 21.09 s, its keys went to another at 19.34 s, and at 19.74 s it took the renewal from 10.9 s
/// before. Cause: the granter used a token again under which an order had no answer. The
/// orders that the simulator printed show it: eleven under 16777255, the first one unanswered.
#[test]
fn delayed_order_of_a_partitioned_upstream_is_harmless() {
    let outcome = run_seed(WorldSize::Many, 4);
    assert_eq!(outcome.violations, []);
}

/// Seeds 2540 and 2688 broke the order of tokens in the same way, among fewer nodes.
#[test]
fn delayed_orders_keep_token_order_in_two_histories_with_fewer_nodes() {
    for seed in [2_540, 2_688] {
        let outcome = run_seed(WorldSize::Drawn, seed);
        assert_eq!(outcome.violations, [], "seed {seed}");
    }
}

/// A drawn history in which an upstream is cut off before it answers the order after the one
/// that it left lying: that one was written at 17.06 s and given up on at 17.56 s, the cut
/// began at 17.43 s, and at 22.69 s the upstream took it, 0.7 s after its keys went on. What
/// the search found in eight steps. `lying_order_before_cut.rs` has the same by its moments.
#[test]
fn delayed_order_without_later_responses_is_harmless() {
    let outcome = run_seed(WorldSize::Drawn, 1_312);
    assert_eq!(outcome.violations, []);
}

/// Found among fresh seeds; the code before it broke the same way. Orders were left lying up to
/// 15.6 s, the granter was killed at 12.5 s, and the upstream was cut off from 15.7 s to
/// 22.4 s. At 21.6 s it took keys under a token of the granter before, which another upstream
/// had under a higher one: the doubt of the granter before was in no record.
#[test]
fn delayed_order_of_a_killed_granter_is_harmless() {
    let outcome = run_seed(WorldSize::Drawn, 70_188);
    assert_eq!(outcome.violations, []);
}

/// Found among fresh histories of many nodes; the code before it broke the same way, at the
/// same moments. Orders were left lying from 10.2 s to 15.3 s, and the upstream was cut off
/// from 10.8 s to 18.3 s; at 15.3 s and 16.0 s it took two of them after its keys went on.
/// By its faults the same as the drawn history before.
#[test]
fn delayed_orders_are_harmless_with_many_nodes() {
    let outcome = run_seed(WorldSize::Many, 61_091);
    assert_eq!(outcome.violations, []);
}
