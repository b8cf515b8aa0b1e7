//! A granter whose machine has little processor time, so that orders and replies queue up in
//! it.

mod common;

use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, Candidate, FencingToken, GrantOrder, GrantReply, Granter, KeyRange,
    OrderKind, SliceRecord, SliceState,
};
use common::{answer, at, id, ready, timing, write_record};
use std::collections::VecDeque;
use std::time::Duration;

const HOLDERS: usize = 100;
const SLICES: u32 = 400;
/// How long a reply is waited for, in milliseconds.
const ORDER_TIMEOUT: u64 = 500;

fn holder(number: usize) -> String {
    format!("holder-{number}")
}

/// The record of a failed granter: all keys are held.
fn record() -> AssignmentRecord {
    let ranges = KeyRange::ALL.divide(SLICES).into_iter().enumerate();
    let slices = ranges.map(|(number, range)| SliceRecord {
        range,
        state: SliceState::Held {
            holder: id(&holder(number % HOLDERS)),
            token: FencingToken::new(Epoch(1), number as u64 + 1),
        },
    });
    AssignmentRecord {
        epoch: Epoch(1),
        sequence: 7,
        standbys: Vec::new(),
        unfenced: Vec::new(),
        doubted: Vec::new(),
        slices: slices.collect(),
    }
}

fn successor(now: u64) -> Granter {
    let mut timing = timing();
    timing.max_renewal = Duration::from_millis(2_000);
    Granter::new(at(now), timing, Epoch(2), Some(&record()))
}

/// All holders, each last heard from at `last_answered` by the nodes that send it requests.
fn holders(last_answered: Option<u64>) -> Vec<Candidate> {
    let all = 0..HOLDERS;
    all.map(|number| ready(&holder(number), last_answered.map(at)))
        .collect()
}

/// The granter's machine, which spends a fixed time on each order, one after the other.
struct Machine {
    millis_per_order: u64,
    busy_until: u64,
    /// Orders, when each was sent, and when its reply is read.
    queue: VecDeque<(GrantOrder, u64, u64)>,
    granted: usize,
    unanswered: usize,
}

impl Machine {
    fn new(millis_per_order: u64) -> Self {
        Self {
            millis_per_order,
            busy_until: 0,
            queue: VecDeque::new(),
            granted: 0,
            unanswered: 0,
        }
    }

    fn send(&mut self, now: u64, order: GrantOrder) {
        self.busy_until = self.busy_until.max(now) + self.millis_per_order;
        self.queue.push_back((order, now, self.busy_until));
    }

    /// Passes the replies read by `now` to the granter; orders whose replies are read too
    /// late count as given up on.
    fn deliver_replies(&mut self, now: u64, granter: &mut Granter) {
        while let Some((order, sent, read)) = self.queue.front().cloned() {
            let given_up = sent + ORDER_TIMEOUT;
            if read.min(given_up) > now {
                return;
            }
            self.queue.pop_front();
            if read > given_up {
                self.unanswered += 1;
                granter.handle_reply(at(now), order.call, GrantReply::Unanswered);
            } else {
                self.granted += usize::from(matches!(order.kind, OrderKind::Grant { .. }));
                answer(granter, at(now), &order);
            }
        }
    }
}

/// Runs a granter on such a machine while all holders respond; returns how many slices were
/// revoked.
fn run(granter: &mut Granter, machine: &mut Machine, begin: u64, end: u64) -> usize {
    let mut revoked = 0;
    for now in (begin..end).step_by(10) {
        machine.deliver_replies(now, granter);
        if now % 100 == 0 {
            granter.set_candidates(at(now), holders(Some(now)));
        }
        for order in granter.poll(at(now)) {
            machine.send(now, order);
        }
        if let Some(record) = write_record(granter, at(now)) {
            let leaving = record.slices.iter();
            revoked += leaving
                .filter(|slice| matches!(slice.state, SliceState::Leaving { .. }))
                .count();
        }
    }
    revoked
}

/// Guards against overloading the granter: a new granter on a tenth of a core sent 440 orders at
/// once, read nearly all replies too late, revoked the keys of all holders, and repeated this for
/// 20 s.
#[test]
fn a_slow_granter_limits_pending_orders_to_what_it_can_handle() {
    let mut granter = successor(10_000);
    let mut machine = Machine::new(4);
    let revoked = run(&mut granter, &mut machine, 10_000, 14_000);
    assert_eq!(revoked, 0, "slices were revoked from responsive holders");
    assert!(
        machine.unanswered < 20,
        "{} orders were given up on",
        machine.unanswered
    );
    assert!(machine.granted >= SLICES as usize, "{}", machine.granted);
}

/// A granter's own slowness says nothing about holders that answer other nodes.
#[test]
fn a_granter_that_reads_all_replies_too_late_revokes_nothing_from_responsive_holders() {
    let mut granter = successor(10_000);
    let mut machine = Machine::new(600);
    let revoked = run(&mut granter, &mut machine, 10_000, 16_000);
    assert!(machine.unanswered > 0);
    assert_eq!(revoked, 0, "slices were revoked from responsive holders");
}

/// Holders that answer neither the granter nor other nodes are unresponsive.
#[test]
fn a_slow_granter_revokes_keys_of_holders_that_answer_no_node() {
    let mut granter = successor(10_000);
    let mut machine = Machine::new(4);
    let unreachable = id(&holder(3));
    let mut was_revoked = false;
    for now in (10_000..14_000).step_by(10) {
        machine.deliver_replies(now, &mut granter);
        let mut candidates = holders(Some(now));
        candidates[3].last_answered = Some(at(9_900));
        granter.set_candidates(at(now), candidates);
        for order in granter.poll(at(now)) {
            if order.holder == unreachable {
                granter.handle_reply(at(now), order.call, GrantReply::Unanswered);
            } else {
                machine.send(now, order);
            }
        }
        if let Some(record) = write_record(&mut granter, at(now)) {
            was_revoked |= record.slices.iter().any(|slice| {
                let leaves = matches!(&slice.state, SliceState::Leaving { holder, .. }
                    if *holder == unreachable);
                leaves
            });
        }
    }
    assert!(was_revoked);
}

/// The granter can renew 83 grants a second, while 94 are needed for all of them: it keeps
/// what it can and revokes nothing.
#[test]
fn a_granter_too_slow_for_all_renewals_keeps_some_grants() {
    let mut granter = successor(10_000);
    let mut machine = Machine::new(12);
    let revoked = run(&mut granter, &mut machine, 10_000, 30_000);
    assert_eq!(revoked, 0, "slices were revoked from responsive holders");
    let held = granter.held_count(at(30_000));
    assert!(held >= 150, "{held} of {SLICES} held");
}
