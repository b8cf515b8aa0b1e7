//! Drawn histories that violated an invariant when they were first run, and have no test of
//! their own.

use beamtray_routersim::{Violation, WorldSize, run_seed, run_seed_extended};

fn violations(seed: u64) -> Vec<Violation> {
    run_seed_extended(WorldSize::Drawn, seed).violations
}

/// Guards against a grant written before a partition: the granter ended 0.1 s after the
/// partition, and a retransmission delivered the grant before any successor began.
#[test]
fn a_grant_from_before_a_partition_is_refused_although_its_granter_ends() {
    let outcome = run_seed(WorldSize::Drawn, 7_412_432);
    assert_eq!(outcome.violations, []);
}

/// Guards against the same in another history, with the extended faults.
#[test]
fn nor_is_it_accepted_in_a_history_with_extended_faults() {
    assert_eq!(violations(9_420_756), []);
}

/// Guards against the renewal, under an older record, of a holder that lost its keys while it
/// was unresponsive: it refuses no old token, and accepts them beside their later holder.
#[test]
fn a_holder_that_lost_its_keys_in_silence_is_not_renewed_under_an_older_record() {
    assert_eq!(violations(9_201_977), []);
}

/// Guards against two owners after a rollback of the store.
#[test]
fn keys_have_one_owner_in_histories_that_formerly_had_two() {
    for seed in [9_420_454, 9_421_528, 9_421_544, 9_200_993] {
        assert_eq!(violations(seed), [], "seed {seed}");
    }
}

/// Guards against requests to an upstream seconds after it left.
#[test]
fn an_upstream_that_left_gets_no_requests() {
    for seed in [9_311_354, 9_311_362, 9_311_904, 9_421_890] {
        assert_eq!(violations(seed), [], "seed {seed}");
    }
}

/// Guards against requests to an upstream that removed its registration, after a rollback of the
/// store restored it.
#[test]
fn an_upstream_that_left_before_a_rollback_gets_no_requests() {
    assert_eq!(violations(9_801_634), []);
}

/// Guards against requests to an upstream seconds after it told the node that it leaves.
#[test]
fn an_upstream_that_announced_leaving_gets_no_requests() {
    for seed in [9_420_591, 9_420_909, 9_421_921, 9_200_703] {
        assert_eq!(violations(seed), [], "seed {seed}");
    }
}

/// Guards against a deployment that serves too little after the faults.
#[test]
fn requests_are_served_again_after_faults_of_a_drawn_history() {
    assert_eq!(violations(9_311_512), []);
}

/// The same with many nodes.
#[test]
fn requests_are_served_again_after_faults_of_a_history_of_many_nodes() {
    let outcome = run_seed_extended(WorldSize::Many, 9_900_235);
    assert_eq!(outcome.violations, []);
}

/// Guards against a deployment that serves too little after grants that were executed late, two
/// losses of all processes and upstreams that ended meanwhile.
#[test]
fn requests_are_served_again_after_two_losses_of_all_processes() {
    for seed in [9_701_719, 9_701_826] {
        assert_eq!(violations(seed), [], "seed {seed}");
    }
}

/// Guards against requests to an upstream eight seconds after it left.
#[test]
fn an_upstream_that_left_long_ago_gets_no_requests() {
    assert_eq!(violations(9_701_736), []);
}

/// The same as for drawn histories, with many nodes.
#[test]
fn requests_are_served_again_after_faults_of_another_history_of_many_nodes() {
    let outcome = run_seed_extended(WorldSize::Many, 9_960_332);
    assert_eq!(outcome.violations, []);
}
