//! Each guard of the granter is necessary: without it the search finds a history that violates
//! sole ownership, and with it none in the same scope.

mod common;

use beamtray_grantsearch::{Faults, Invariant, Scope};
use beamtray_sharding::GranterGuards;
use common::{assert_kept, find, plain_close, reset};

/// Asserts that the scope has a violation under `guards`, and none with all guards enabled.
fn assert_needed(scope: &Scope, depth: usize, guards: GranterGuards) {
    let mut without = *scope;
    without.timing.guards = guards;
    find(&without, depth);
    assert_kept(scope, depth);
}

const CUT: Faults = Faults {
    cuts: 1,
    delayed_messages: 0,
    deferred_orders: 0,
    upstream_pauses: 0,
    restarts_same_id: 0,
    restarts_new_id: 0,
    drains: 0,
    granter_exits: 0,
    granter_pauses: 0,
    store_outages: 0,
    rollbacks: 0,
};

#[test]
fn keys_of_a_silent_holder_must_wait_until_its_grants_ran_out() {
    let guards = GranterGuards {
        waits_for_lapse: false,
        ..GranterGuards::default()
    };
    assert_needed(&reset().with(CUT), 8, guards);
}

#[test]
fn a_grant_without_an_answer_must_count() {
    let faults = Faults {
        delayed_messages: 1,
        ..CUT
    };
    let guards = GranterGuards {
        counts_unanswered: false,
        ..GranterGuards::default()
    };
    assert_needed(&reset().with(faults), 9, guards);
}

#[test]
fn a_successor_must_count_the_grants_of_the_one_before() {
    let faults = Faults {
        granter_exits: 1,
        ..CUT
    };
    let guards = GranterGuards {
        respects_predecessor: false,
        ..GranterGuards::default()
    };
    assert_needed(&reset().with(faults), 8, guards);
}

#[test]
fn keys_must_wait_until_no_standby_can_prolong_the_hold() {
    let mut scope = reset().with(CUT);
    scope.standby = true;
    let guards = GranterGuards {
        waits_for_standbys: false,
        ..GranterGuards::default()
    };
    assert_needed(&scope, 10, guards);
}

#[test]
fn a_record_must_be_durable_before_its_grants() {
    let faults = Faults {
        granter_exits: 1,
        store_outages: 1,
        ..CUT
    };
    let guards = GranterGuards {
        records_first: false,
        ..GranterGuards::default()
    };
    assert_needed(&reset().with(faults), 12, guards);
}

/// A reset does not undo an order that the upstream has already received.
#[test]
fn keys_must_wait_for_a_grant_that_may_lie_with_their_holder() {
    let faults = Faults {
        deferred_orders: 1,
        ..CUT
    };
    let guards = GranterGuards {
        waits_for_doubt: false,
        ..GranterGuards::default()
    };
    assert_needed(&reset().with(faults), 12, guards);
}

/// No wait is long enough for a process that may be paused for any time.
#[test]
fn a_grant_must_go_to_a_process_only_that_has_just_answered() {
    let faults = Faults {
        cuts: 0,
        upstream_pauses: 1,
        ..CUT
    };
    let without = reset().with(faults);
    let mut with = without;
    with.probe_before_grant = true;
    find(&without, 14);
    assert_kept(&with, 14);
}

/// Neither the expiry of all holds nor a reset is enough, because a paused granter closes
/// no connection.
#[test]
fn a_holder_that_lost_its_keys_must_be_told_until_it_answers() {
    let guards = GranterGuards {
        fences_lost_holders: false,
        ..GranterGuards::default()
    };
    assert_needed(&plain_close().with(CUT), 12, guards);
    let faults = Faults {
        granter_pauses: 1,
        ..CUT
    };
    assert_needed(&reset().with(faults), 12, guards);
}

/// Each invariant is checked on its own: the first two when a
/// grant is accepted, the third after half a second has passed.
#[test]
fn each_sentence_of_the_rule_is_checked() {
    let mut scope = plain_close().with(Faults {
        delayed_messages: 2,
        ..CUT
    });
    scope.timing.guards.waits_for_lapse = false;
    let invariants = [
        Invariant::SoleOwner,
        Invariant::RisingTokens,
        Invariant::ShortOverlap,
    ];
    for invariant in invariants {
        scope.only_invariant = Some(invariant);
        let case = find(&scope, 12);
        assert_eq!(case.violation.invariant, invariant, "{case}");
    }
}
