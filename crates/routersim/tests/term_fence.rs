//! Fencing by terms that may not know all earlier grants, with fixed times: terms in a row, a
//! standby that is cut off, upstreams that are out of reach.

mod common;

use beamtray_routersim::{CutFrom, Fault, FaultKind};
use common::{NO_RECORD_MS, SEEDS, broken, goes_back, orders_late};

fn assert_none(broken: &[String]) {
    let (count, text) = (broken.len(), broken.join("\n"));
    assert!(broken.is_empty(), "{count} of {SEEDS}:\n{text}");
}

/// Guards against the second term after a rollback, which finds no record and an epoch of the new
/// era, and so takes itself for the first term ever: the first one ended before it wrote a record.
fn two_terms_without_a_record(second_kill_ms: u64) {
    assert_none(&broken(|_| {
        vec![
            orders_late(8_000, 400),
            goes_back(8_000, 1_000, NO_RECORD_MS),
            Fault::new(8_400, 1_000, FaultKind::KillAll),
            Fault::new(second_kill_ms, 500, FaultKind::KillAll),
        ]
    }));
}

#[test]
fn the_second_term_without_a_record_fences_after_an_early_end_of_the_first() {
    two_terms_without_a_record(10_500);
}

#[test]
fn the_second_term_without_a_record_fences_after_a_later_end_of_the_first() {
    two_terms_without_a_record(11_500);
}

/// Guards against a third term that does so.
#[test]
fn the_third_term_without_a_record_fences() {
    assert_none(&broken(|_| {
        vec![
            orders_late(8_000, 400),
            goes_back(8_000, 1_000, NO_RECORD_MS),
            Fault::new(8_400, 1_000, FaultKind::KillAll),
            Fault::new(10_700, 300, FaultKind::KillAll),
            Fault::new(12_500, 300, FaultKind::KillAll),
        ]
    }));
}

/// Guards against two owners with no delayed order at all: two terms in a row find no record while
/// grants are in force.
#[test]
fn two_terms_without_a_record_wait_for_grants_in_force() {
    assert_none(&broken(|_| {
        vec![
            goes_back(8_000, 600, NO_RECORD_MS),
            Fault::new(8_500, 200, FaultKind::KillAll),
            Fault::new(9_700, 200, FaultKind::KillAll),
        ]
    }));
}

/// Guards against a fence whose time ends before it begins: a standby that is cut off with an
/// upstream, and that the new term names, withholds all keys for longer. What the granter wrote to
/// that upstream before the cut arrives by retransmission.
fn standby_island(spared: usize) -> Vec<String> {
    broken(|config| {
        let mut faults = vec![
            Fault::new(7_900, 16_000, FaultKind::StandbyIsland { upstream: 0 }),
            goes_back(8_000, 1_000, NO_RECORD_MS),
        ];
        let others = (0..config.nodes).filter(|node| *node != spared);
        let kills = others.map(|node| FaultKind::NodeKill { node: Some(node) });
        faults.extend(kills.map(|kill| Fault::new(8_400, 1_000, kill)));
        faults
    })
}

#[test]
fn upstreams_are_fenced_while_a_standby_that_is_cut_off_withholds_the_keys() {
    let all = (0..3).flat_map(standby_island);
    assert_none(&all.collect::<Vec<String>>());
}

/// Guards against renewals under the tokens of an old record: their holder had lost the keys by
/// expiry while it was out of reach, and so knows no higher token. It is reached again after the
/// retransmission of what was written to it before.
#[test]
fn a_recorded_holder_that_lost_its_keys_unseen_is_not_renewed_under_the_old_token() {
    assert_none(&broken(|config| {
        let from = CutFrom::Nodes((0..config.nodes).collect());
        let unreachable = FaultKind::UpstreamUnreachable { upstream: 0, from };
        vec![
            Fault::new(7_000, 7_200, unreachable),
            goes_back(12_700, 500, 6_900),
            Fault::new(12_800, 1_600, FaultKind::KillAll),
        ]
    }));
}

/// Guards against grants that were written before a network partition and arrive after the wait
/// for the fence has ended.
#[test]
fn grants_from_before_a_long_partition_are_refused_after_it() {
    assert_none(&broken(|config| {
        let from = CutFrom::Nodes((0..config.nodes).collect());
        let unreachable = FaultKind::UpstreamUnreachable { upstream: 0, from };
        vec![
            Fault::new(7_900, 24_600, unreachable),
            goes_back(8_000, 600, NO_RECORD_MS),
            Fault::new(8_400, 1_000, FaultKind::KillAll),
        ]
    }));
}
