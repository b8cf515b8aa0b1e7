//! An order that is left lying while the store goes back to an older copy.

use beamtray_routersim::{WorldSize, run_seed_extended};

/// A grant was given up on while the store was away, all processes were killed, and the store
/// came back from before: no record told of the grant, and it was taken after its keys went on.
#[test]
fn unrecorded_grant_is_not_accepted_after_its_keys_moved() {
    let outcome = run_seed_extended(WorldSize::Drawn, 9_000_118);
    assert_eq!(outcome.violations, []);
}

/// The same in another history: the granter and the store were away when it was given up on.
#[test]
fn nor_is_one_of_a_term_whose_records_went_back() {
    let outcome = run_seed_extended(WorldSize::Drawn, 9_000_482);
    assert_eq!(outcome.violations, []);
}

/// A term that doubted an older record was told that keys had gone on, and ended before its own
/// record said so; the next one, 0.4 s later, took the record for proven and gave the keys away.
#[test]
fn keys_of_a_doubted_record_stay_doubted_at_a_successor() {
    let outcome = run_seed_extended(WorldSize::Drawn, 9_100_653);
    assert_eq!(outcome.violations, []);
}
