//! A delayed order during a rollback of the store.

use beamtray_routersim::{WorldSize, run_seed_extended};

/// A grant timed out during a store outage, all processes were killed and the store rolled
/// back. No record contained the grant, and it was accepted after its keys had moved.
#[test]
fn unrecorded_grant_is_not_accepted_after_its_keys_moved() {
    let outcome = run_seed_extended(WorldSize::Drawn, 9_000_118);
    assert_eq!(outcome.violations, []);
}

/// Another history: the granter and the store were both down when the grant timed out.
#[test]
fn nor_is_one_of_a_term_whose_records_went_back() {
    let outcome = run_seed_extended(WorldSize::Drawn, 9_000_482);
    assert_eq!(outcome.violations, []);
}

/// A term that doubted an older record learned that keys had moved, and ended before its own
/// record said so. The next term, 0.4 s later, trusted the record and granted the keys to
/// another upstream.
#[test]
fn keys_of_a_doubted_record_stay_doubted_at_a_successor() {
    let outcome = run_seed_extended(WorldSize::Drawn, 9_100_653);
    assert_eq!(outcome.violations, []);
}
