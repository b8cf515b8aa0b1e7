//! A granter that is itself slow: its machine has little processor time, so that orders
//! and answers wait in it one behind the other.

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
/// How long an order is waited for, in milliseconds.
const ORDER_TIMEOUT: u64 = 500;

fn holder(number: usize) -> String {
    format!("holder-{number}")
}

/// What a lost granter left: all keys held.
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

/// All holders, each heard at `last_answered` by the nodes that send it requests.
fn holders(last_answered: Option<u64>) -> Vec<Candidate> {
    let all = 0..HOLDERS;
    all.map(|number| ready(&holder(number), last_answered.map(at)))
        .collect()
}

/// The machine of a granter: each order takes that much of its time, one after the other.
struct Machine {
    millis_per_order: u64,
    busy_until: u64,
    /// Orders, when each was given, and when its answer is read.
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

    /// Hands the answers to the granter that were read by `now`; those that were read too
    /// late were given up on.
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

/// Runs a granter on such a machine, while all holders serve; slices that left theirs.
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

/// SHORT on rkp-algas-grown: a new granter on a tenth of a core gave 440 orders at once,
/// read nearly all answers too late, took the keys back from all holders, and so on for
/// 20 s.
#[test]
fn a_slow_granter_limits_pending_orders_to_what_it_can_handle() {
    let mut granter = successor(10_000);
    let mut machine = Machine::new(4);
    let revoked = run(&mut granter, &mut machine, 10_000, 14_000);
    assert_eq!(revoked, 0, "slices were taken back from holders that serve");
    assert!(
        machine.unanswered < 20,
        "{} orders were given up on",
        machine.unanswered
    );
    assert!(machine.granted >= SLICES as usize, "{}", machine.granted);
}

/// However slow it is, its lateness says nothing of holders that answer other nodes.
#[test]
fn a_granter_that_reads_all_replies_too_late_revokes_nothing_from_responsive_holders() {
    let mut granter = successor(10_000);
    let mut machine = Machine::new(600);
    let revoked = run(&mut granter, &mut machine, 10_000, 16_000);
    assert!(machine.unanswered > 0);
    assert_eq!(revoked, 0, "slices were taken back from holders that serve");
}

/// Holders that neither answer the granter nor other nodes are silent.
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

/// It can renew 83 holds a second, where 94 are needed for all: it keeps what it can, and
/// takes nothing back.
#[test]
fn a_granter_too_slow_for_all_renewals_keeps_some_grants() {
    let mut granter = successor(10_000);
    let mut machine = Machine::new(12);
    let revoked = run(&mut granter, &mut machine, 10_000, 30_000);
    assert_eq!(revoked, 0, "slices were taken back from holders that serve");
    let held = granter.held_count(at(30_000));
    assert!(held >= 150, "{held} of {SLICES} held");
}
