//! How many releases a term sends that may not know all earlier grants, and how long it waits.

mod common;

use beamtray_catalog::UpstreamId;
use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, Candidate, CandidateState, FencingToken, GrantOrder, GrantReply, Granter,
    KeyRange, OrderKind, SliceRecord, SliceState,
};
use common::*;

/// Upstreams and slices of a service at 300 machines.
const UPSTREAMS: usize = 480;
const SLICES: usize = 400;
/// When no grant of an earlier term can be executed or be in force any more: the transit, the
/// lifetime of orders, and a grant by a clock that is 2% slow.
const EARLIER_GRANTS_MS: u64 = 300 + 12_000 + 3_060;

fn name(number: usize) -> String {
    format!("i-{number:08x}")
}

fn candidates() -> impl Iterator<Item = Candidate> {
    (0..UPSTREAMS).map(|number| ready(&name(number), None))
}

/// A record that gives each slice to another upstream, all in turn.
fn record(slices: usize, holders: usize) -> AssignmentRecord {
    let ranges = KeyRange::ALL.divide(slices as u32).into_iter();
    let slices = ranges.enumerate().map(|(number, range)| SliceRecord {
        range,
        state: SliceState::Held {
            holder: id(&name(number % holders)),
            token: FencingToken::new(Epoch(1), 1_023),
        },
    });
    AssignmentRecord {
        epoch: Epoch(1),
        sequence: 1,
        standbys: Vec::new(),
        unfenced: Vec::new(),
        doubted: Vec::new(),
        slices: slices.collect(),
    }
}

fn doubting(record: &AssignmentRecord) -> Granter {
    let mut granter = Granter::new(at(0), timing(), Epoch(2), Some(record));
    granter.doubt_record(at(0));
    granter.mark_dirty();
    granter
}

fn is_release(order: &GrantOrder) -> bool {
    order.kind == OrderKind::Release
}

/// Guards against a takeover that sends so many releases that holders lose their grants: at
/// most one for each upstream and each gap between its slices.
#[test]
fn fencing_takes_no_more_releases_than_upstreams_and_slices() {
    let mut granter = doubting(&record(SLICES, UPSTREAMS));
    granter.set_candidates(at(0), candidates());
    let mut releases = 0;
    let mut pending: Vec<GrantOrder> = Vec::new();
    for now in (10..3_000).step_by(10) {
        for order in std::mem::take(&mut pending) {
            answer(&mut granter, at(now), &order);
        }
        pending = granter.poll(at(now));
        releases += pending.iter().filter(|order| is_release(order)).count();
        write_record(&mut granter, at(now));
    }
    assert_eq!(granter.unfenced_count(), 0);
    assert!(releases <= UPSTREAMS + SLICES, "{releases} releases");
}

/// When keys of a draining holder are granted to another upstream, while one of three
/// upstreams answers nothing.
fn moved_at(silent: &UpstreamId) -> Option<u64> {
    let record = record(8, 2);
    let mut granter = doubting(&record);
    let holder = id(&name(0));
    let slices = record.slices.iter();
    let own = slices.filter(
        |slice| matches!(&slice.state, SliceState::Held { holder: of, .. } if *of == holder),
    );
    let own: Vec<KeyRange> = own.map(|slice| slice.range).collect();
    let draining = Candidate {
        state: CandidateState::Draining,
        ..ready(&name(0), None)
    };
    let others = [1, 2].map(|number| ready(&name(number), None));
    granter.set_candidates(at(0), std::iter::once(draining).chain(others));
    for now in (10..40_000).step_by(10) {
        for order in granter.poll(at(now)) {
            if order.holder == *silent {
                granter.handle_reply(at(now), order.call, GrantReply::InDoubt);
                continue;
            }
            let is_moved = !is_release(&order) && order.holder != holder;
            if is_moved && own.contains(&order.range) {
                return Some(now);
            }
            answer(&mut granter, at(now), &order);
        }
        write_record(&mut granter, at(now));
    }
    None
}

/// Guards against keys that no upstream ever gets: a registered upstream that never replies is
/// waited for no longer than earlier grants are possible.
#[test]
fn a_silent_upstream_delays_assignment_until_earlier_grants_have_ended() {
    let moved_at = moved_at(&id(&name(2))).expect("the keys are granted again");
    let expected = EARLIER_GRANTS_MS..EARLIER_GRANTS_MS + 200;
    assert!(expected.contains(&moved_at), "moved at {moved_at}");
}

/// Guards against a wait that is the same whether upstreams reply or not.
#[test]
fn keys_move_as_soon_as_all_upstreams_have_replied() {
    let moved_at = moved_at(&id("none")).expect("the keys are granted again");
    assert!(moved_at < 200, "moved at {moved_at}");
}
