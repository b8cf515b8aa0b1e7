//! Each checker reports a history that violates its invariant.

use beamtray_ownership::GrantedSlice;
use beamtray_sim::check::{Invariant, check};
use beamtray_sim::record::{CallerView, History, OperatorView, Record, ServerRun, Timed};
use beamtray_types::{Fence, Generation, LogIndex, SliceRange, Term};

const SECOND: u64 = 1_000_000;

fn run(server: usize) -> ServerRun {
    ServerRun { server, run: 1 }
}

fn fence(index: u64) -> Fence {
    Fence::new(Generation(1), Term(1), LogIndex(index))
}

fn holds(server: usize, until: u64, index: u64) -> Record {
    Record::Holds {
        server: run(server),
        generation: 1,
        until,
        slices: vec![GrantedSlice {
            range: SliceRange::ALL,
            fence: fence(index),
        }],
    }
}

fn sent(name: &str, repeatable: bool) -> Record {
    Record::Sent {
        name: name.to_owned(),
        node: 0,
        node_run: 1,
        repeatable,
        probe: false,
        after_faults: false,
    }
}

fn effect(server: usize, name: &str, key: &str) -> Record {
    Record::Effect {
        server: run(server),
        name: name.to_owned(),
        key: key.to_owned(),
        fence: Some(fence(1)),
    }
}

fn answered(name: &str, view: CallerView) -> Record {
    Record::Answered {
        name: name.to_owned(),
        view,
    }
}

fn complete(body: &str) -> CallerView {
    CallerView::Complete {
        status: 200,
        body: body.to_owned(),
    }
}

fn history(records: Vec<(u64, Record)>) -> History {
    let records = records.into_iter().map(|(at, record)| Timed { at, record });
    History {
        records: records.collect(),
        calm_from: 0,
        end: 100 * SECOND,
    }
}

fn assert_violated(invariant: Invariant, records: Vec<(u64, Record)>) {
    let finding = check(invariant, &history(records));
    assert!(
        !finding.violations.is_empty(),
        "{invariant:?} found nothing"
    );
}

fn assert_holds(invariant: Invariant, records: Vec<(u64, Record)>) {
    let finding = check(invariant, &history(records));
    assert!(finding.violations.is_empty(), "{:?}", finding.violations);
}

#[test]
fn two_owners_at_once() {
    let overlap = vec![
        (0, holds(0, 2 * SECOND, 1)),
        (SECOND, holds(1, 3 * SECOND, 2)),
    ];
    assert_violated(Invariant::SoleOwner, overlap);
    let apart = vec![(0, holds(0, SECOND, 1)), (SECOND, holds(1, 3 * SECOND, 2))];
    assert_holds(Invariant::SoleOwner, apart);
}

#[test]
fn an_effect_under_another_owner() {
    let records = vec![
        (0, holds(1, 2 * SECOND, 2)),
        (SECOND, effect(0, "t", "key")),
    ];
    assert_violated(Invariant::SoleOwner, records);
}

#[test]
fn an_assignment_that_went_back() {
    let records = vec![
        (0, holds(0, SECOND, 5)),
        (2 * SECOND, holds(1, 3 * SECOND, 4)),
    ];
    assert_violated(Invariant::AssignmentSurvives, records);
}

#[test]
fn another_requests_answer() {
    let records = vec![
        (0, sent("mine", true)),
        (1, effect(0, "mine", "key")),
        (2, answered("mine", complete("key other"))),
    ];
    assert_violated(Invariant::OwnWholeAnswer, records);
}

#[test]
fn a_refused_request_that_ran_later() {
    let records = vec![
        (0, sent("t", false)),
        (1, answered("t", CallerView::NotRun { status: 503 })),
        (2, effect(0, "t", "key")),
    ];
    assert_violated(Invariant::RefusedNotRun, records);
}

#[test]
fn a_transfer_that_ran_twice() {
    let twice = |repeatable| {
        vec![
            (0, sent("t", repeatable)),
            (1, effect(0, "t", "key")),
            (2, effect(1, "t", "key")),
        ]
    };
    assert_violated(Invariant::AtMostOnce, twice(false));
    assert_holds(Invariant::AtMostOnce, twice(true));
}

fn confirmed(operation: u64, base: u64, drained: Vec<usize>) -> Vec<(u64, Record)> {
    let view = OperatorView::InForce(base + 1);
    vec![
        (
            0,
            Record::ConfirmSent {
                operation,
                base,
                drained,
            },
        ),
        (SECOND, Record::Confirmed { operation, view }),
    ]
}

#[test]
fn a_request_to_a_drained_server() {
    let arrival = |at| {
        let mut records = confirmed(1, 0, vec![3]);
        let name = "late".to_owned();
        let server = run(3);
        records.push((at, Record::Arrived { server, name }));
        records
    };
    assert_violated(Invariant::Drain, arrival(5 * SECOND));
    assert_holds(Invariant::Drain, arrival(3 * SECOND));
}

#[test]
fn a_request_cut_off_by_a_planned_stop() {
    let records = vec![
        (0, sent("r", true)),
        (1, Record::NodeStops { node: 0, run: 1 }),
        (2, answered("r", CallerView::NoAnswer)),
    ];
    assert_violated(Invariant::PlannedStop, records);
}

fn probe(at: u64, name: &str, operation: u64) -> Vec<(u64, Record)> {
    let sent = Record::Sent {
        name: name.to_owned(),
        node: 0,
        node_run: 1,
        repeatable: true,
        probe: true,
        after_faults: false,
    };
    let marker = format!("probe-{operation}");
    vec![
        (at, sent),
        (at + 1, effect(9, name, &marker)),
        (
            at + 2,
            answered(name, complete(&format!("{marker} {name}"))),
        ),
    ]
}

#[test]
fn an_old_configuration_long_after_acceptance() {
    let mut records = confirmed(1, 0, Vec::new());
    records.extend(confirmed(2, 1, Vec::new()));
    records.extend(probe(20 * SECOND, "p", 1));
    assert_violated(Invariant::Configuration, records);
}

#[test]
fn a_configuration_that_went_back() {
    let mut records = confirmed(1, 0, Vec::new());
    records.extend(confirmed(2, 1, Vec::new()));
    records.extend(probe(2 * SECOND, "p", 2));
    records.extend(probe(3 * SECOND, "q", 1));
    assert_violated(Invariant::Configuration, records);
}

#[test]
fn a_denied_configuration_that_is_in_force() {
    let mut records = confirmed(1, 0, Vec::new());
    let sent = Record::ConfirmSent {
        operation: 2,
        base: 1,
        drained: Vec::new(),
    };
    let view = OperatorView::Conflict;
    records.push((2 * SECOND, sent));
    records.push((3 * SECOND, Record::Confirmed { operation: 2, view }));
    records.extend(probe(4 * SECOND, "p", 2));
    assert_violated(Invariant::Configuration, records);
}

#[test]
fn a_key_that_is_never_served_again() {
    let records = vec![
        (
            0,
            Record::Sent {
                name: "last".to_owned(),
                node: 0,
                node_run: 1,
                repeatable: true,
                probe: false,
                after_faults: true,
            },
        ),
        (1, answered("last", CallerView::NotRun { status: 503 })),
    ];
    assert_violated(Invariant::Liveness, records);
    assert_violated(Invariant::Liveness, Vec::new());
}
