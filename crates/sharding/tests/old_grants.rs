//! Grants that arrive after the granter has given them up.
//!
//! Guards against two upstreams holding the same keys: one accepted a renewal six seconds
//! after it was written, when its keys had already been assigned to the other. The holder was
//! partitioned right after the renewal had been written to its connection. The granter gave
//! the call up, closed the connection, sent releases that could not be delivered, waited
//! until all grants had expired, and assigned the keys to the next holder. The kernel kept
//! retransmitting the renewal and delivered it after the partition. The granter had stopped
//! sending releases to the old holder when the keys moved, so that holder had seen no higher
//! token that would make it refuse the renewal.
//!
//! In these tests the old holder refuses the renewal only if it received a release in
//! between.

mod common;

use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, FencingToken, GrantOrder, GrantReply, Granter, KeyRange, OrderKind, ShardKey,
    SliceRecord, SliceState, UnfencedUpstream,
};
use common::{LIMITS, answer, at, granted, id, ready, slices_of, timing, write_record};

/// Longest time from when the path to the old holder is restored until an order reaches it,
/// in milliseconds.
const MAX_PAUSE: u64 = 300;

/// A granter whose holder "a" is partitioned from 2,010 ms on.
struct Partition {
    granter: Granter,
    /// The first order, written to a connection on which "a" had replied.
    written: Option<GrantOrder>,
    /// Orders to "a", and when they are given up on.
    pending: Vec<(u64, GrantOrder)>,
    record: Option<AssignmentRecord>,
    now: u64,
}

impl Partition {
    fn begin() -> Self {
        Self {
            granter: granted(),
            written: None,
            pending: Vec::new(),
            record: None,
            now: 2_010,
        }
    }

    /// Advances time by 10 ms and returns the orders sent to "a".
    fn step(&mut self) -> Vec<GrantOrder> {
        self.now += 10;
        let now = self.now;
        let (due, pending) = self.pending.drain(..).partition(|(due, _)| *due <= now);
        self.pending = pending;
        let given_up: Vec<(u64, GrantOrder)> = due;
        for (_, order) in given_up {
            let is_written = self.written.as_ref().map(|first| first.call) == Some(order.call);
            let reply = match is_written {
                true => GrantReply::Unanswered,
                false => GrantReply::Undelivered,
            };
            self.granter.handle_reply(at(now), order.call, reply);
        }
        let mut to_a = Vec::new();
        for order in self.granter.poll(at(now)) {
            if order.holder != id("a") {
                answer(&mut self.granter, at(now), &order);
                continue;
            }
            self.written.get_or_insert_with(|| order.clone());
            self.pending.push((now + 350, order.clone()));
            to_a.push(order);
        }
        if let Some(record) = write_record(&mut self.granter, at(now)) {
            self.record = Some(record);
        }
        to_a
    }

    /// Advances time until "a" has no slice.
    fn run_until_keys_moved(&mut self) {
        for _ in 0..1_000 {
            self.step();
            let record = self.record.as_ref();
            if record.is_some_and(|record| slices_of(record, "a") == 0) {
                return;
            }
        }
        panic!("a never lost its keys");
    }
}

/// Highest token that an upstream has seen for each key; it refuses lower ones.
struct SeenTokens(Vec<u64>);

impl SeenTokens {
    fn new() -> Self {
        Self(vec![0; KeyRange::ALL.len() as usize])
    }

    fn of(&mut self, range: KeyRange) -> &mut [u64] {
        &mut self.0[usize::from(range.first.0)..=usize::from(range.last.0)]
    }

    /// Applies an order; returns whether it is refused.
    fn apply(&mut self, order: &GrantOrder) -> bool {
        let token = order.token.0;
        let is_grant = matches!(order.kind, OrderKind::Grant { .. });
        let keys = self.of(order.range);
        if is_grant && keys.iter().any(|token_seen| *token_seen > token) {
            return true;
        }
        for token_seen in keys {
            *token_seen = token.max(*token_seen);
        }
        false
    }
}

#[test]
fn an_old_grant_is_refused_after_a_partition() {
    let mut partition = Partition::begin();
    partition.run_until_keys_moved();
    let restored_at = partition.now.max(7_010);
    while partition.now < restored_at {
        partition.step();
    }
    let mut seen = SeenTokens::new();
    while partition.now < restored_at + MAX_PAUSE {
        for order in partition.step() {
            seen.apply(&order);
        }
    }
    let written = partition.written.clone().expect("a renewal was sent");
    assert!(matches!(written.kind, OrderKind::Grant { .. }));
    assert!(seen.apply(&written), "the old grant was accepted");
}

#[test]
fn a_lost_holder_is_sent_releases_until_it_replies() {
    let mut partition = Partition::begin();
    partition.run_until_keys_moved();
    let mut last_sent_at = partition.now;
    for _ in 0..3_000 {
        if !partition.step().is_empty() {
            last_sent_at = partition.now;
        }
        let pause = partition.now - last_sent_at;
        assert!(pause <= MAX_PAUSE, "no order for {pause} ms");
    }
}

/// The upstream registers again and is idle, so that load balancing wants to move keys to it.
#[test]
fn a_lost_holder_gets_no_keys_before_it_replies() {
    const ANSWERS_FROM: u64 = 12_000;
    let mut partition = Partition::begin();
    partition.run_until_keys_moved();
    let now = at(partition.now);
    partition
        .granter
        .set_candidates(now, [ready("b", Some(now))]);
    let mut has_answered = false;
    let mut has_keys = false;
    while partition.now < ANSWERS_FROM + 3_000 {
        let now = at(partition.now);
        let candidates = [ready("a", Some(now)), ready("b", Some(now))];
        partition.granter.set_candidates(now, candidates);
        for key in (0..u16::MAX).step_by(1_000) {
            partition.granter.load.add(ShardKey(key), 1.0);
        }
        partition.granter.load.decay(0.99);
        partition.granter.rebalance(now, &LIMITS);
        for order in partition.step() {
            let is_grant = matches!(order.kind, OrderKind::Grant { .. });
            assert!(has_answered || !is_grant, "{order:?}");
            has_keys |= is_grant;
            if partition.now >= ANSWERS_FROM {
                has_answered |= !is_grant;
                partition
                    .pending
                    .retain(|(_, other)| other.call != order.call);
                answer(&mut partition.granter, at(partition.now), &order);
            }
        }
    }
    assert!(has_keys, "the holder never got keys again");
}

#[test]
fn a_successor_fences_holders_that_its_predecessor_could_not_reach() {
    let mut partition = Partition::begin();
    partition.run_until_keys_moved();
    let record = partition.record.clone().expect("a record");
    let begin = partition.now + 2_000;
    let mut successor = Granter::new(at(begin), timing(), Epoch(2), Some(&record));
    successor.set_candidates(at(begin), [ready("a", None), ready("b", None)]);
    let orders = (begin..begin + MAX_PAUSE).step_by(10);
    let mut orders = orders.flat_map(|now| successor.poll(at(now)));
    let release = orders.find(|order| order.holder == id("a"));
    let release = release.expect("an order to a");
    assert_eq!(release.kind, OrderKind::Release);
    assert!(release.token > FencingToken::new(Epoch(2), 0));
}

/// The record that reassigns keys names who may still accept old grants of them, and so does
/// the record before it, which a successor relies on if it finds only some parts of the newer
/// one.
#[test]
fn the_record_names_holders_whose_keys_are_being_revoked() {
    let mut partition = Partition::begin();
    let mut leaving_named = false;
    for _ in 0..1_000 {
        partition.step();
        let Some(record) = &partition.record else {
            continue;
        };
        let leaving = record.slices.iter().any(
            |slice| matches!(&slice.state, SliceState::Leaving { holder, .. } if *holder == id("a")),
        );
        let gone = slices_of(record, "a") == 0;
        if leaving || gone {
            let unfenced = &record.unfenced;
            let is_named = unfenced.iter().any(|unfenced| unfenced.upstream == id("a"));
            assert!(is_named, "leaving {leaving}, gone {gone}");
            leaving_named |= leaving;
        }
    }
    assert!(leaving_named);
}

/// A release that waits for long-running work lets the grant expire at a holder that answers
/// everything else; it keeps its other keys.
#[test]
fn a_holder_of_other_keys_is_sent_releases_of_lost_keys_only() {
    let mut granter = granted();
    granter.mark_dirty();
    let record = write_record(&mut granter, at(2_000)).expect("a record");
    let SliceState::Held { holder, .. } = record.slices[0].state.clone() else {
        panic!("{:?}", record.slices[0]);
    };
    let busy = record.slices.iter().filter(
        |slice| matches!(&slice.state, SliceState::Held { holder: other, .. } if *other == holder),
    );
    for slice in busy {
        granter.load.add(slice.range.first, 20.0);
    }
    granter.rebalance(at(2_800), &LIMITS);
    let mut releases = Vec::new();
    for now in (2_800..12_000).step_by(10) {
        for order in granter.poll(at(now)) {
            if order.kind == OrderKind::Release && order.holder == holder {
                granter.handle_reply(at(now), order.call, GrantReply::Unanswered);
                releases.push(order);
            } else {
                answer(&mut granter, at(now), &order);
            }
        }
        write_record(&mut granter, at(now));
    }
    let last = releases.last().expect("releases");
    assert!(last.token > releases[0].token, "the token was not renewed");
    let all = releases.iter().find(|order| order.range == KeyRange::ALL);
    assert!(all.is_none(), "{all:?}");
}

/// An upstream that was partitioned from the store as well registers again a second or more
/// after the partition.
#[test]
fn an_unregistered_holder_is_sent_releases_as_often() {
    let mut partition = Partition::begin();
    partition.run_until_keys_moved();
    let lost = partition.now;
    partition
        .granter
        .set_candidates(at(lost), [ready("b", None)]);
    let mut last_sent_at = lost;
    while partition.now < lost + 30_000 {
        if !partition.step().is_empty() {
            last_sent_at = partition.now;
        }
        let pause = partition.now - last_sent_at;
        assert!(pause <= MAX_PAUSE, "no order for {pause} ms");
    }
    let both = [ready("a", None), ready("b", None)];
    partition.granter.set_candidates(at(partition.now), both);
    assert_eq!(partition.step().len(), 1);
}

/// Runs a successor of a granter that lost a hundred holders. All but the last one stay
/// unresponsive, and "z" answers from `answers_from` on. Returns when "z" is first sent an
/// order after that, and the maximum number of releases in a second.
fn first_release_among_a_hundred(answers_from: u64) -> (u64, usize) {
    let lost = (0..100).map(|number| format!("dead-{number:02}"));
    let lost = lost.chain(["z".to_owned()]);
    let ranges = KeyRange::ALL.divide(101);
    let unfenced = lost.zip(&ranges).map(|(name, range)| UnfencedUpstream {
        upstream: id(&name),
        ranges: vec![*range],
    });
    let slices = ranges.iter().map(|range| SliceRecord {
        range: *range,
        state: SliceState::Held {
            holder: id("b"),
            token: FencingToken::new(Epoch(1), 1),
        },
    });
    let record = AssignmentRecord {
        epoch: Epoch(1),
        sequence: 1,
        standbys: Vec::new(),
        unfenced: unfenced.collect(),
        doubted: Vec::new(),
        slices: slices.collect(),
    };
    let mut granter = Granter::new(at(0), timing(), Epoch(2), Some(&record));
    granter.set_candidates(at(0), [ready("b", None)]);
    let mut pending: Vec<(u64, GrantOrder)> = Vec::new();
    let mut sent: Vec<u64> = Vec::new();
    for now in (0..20_000).step_by(10) {
        pending.retain(|(due, order)| {
            if *due <= now {
                granter.handle_reply(at(now), order.call, GrantReply::Undelivered);
            }
            *due > now
        });
        for order in granter.poll(at(now)) {
            if order.holder == id("b") {
                answer(&mut granter, at(now), &order);
                continue;
            }
            sent.push(now);
            if order.holder == id("z") && now >= answers_from {
                let in_a_second = |end: &u64| {
                    let second = sent.iter().filter(|at| **at <= *end && **at + 1_000 > *end);
                    second.count()
                };
                let max_per_second = sent.iter().map(in_a_second).max();
                return (now, max_per_second.unwrap_or_default());
            }
            pending.push((now + 350, order));
        }
        write_record(&mut granter, at(now));
    }
    panic!("z was never sent a release");
}

/// An upstream that comes back is not starved by those with lower names, and all releases
/// together stay within what a granter can send.
#[test]
fn one_of_a_hundred_lost_holders_is_sent_a_release_in_turn() {
    let (sent_at, max_per_second) = first_release_among_a_hundred(5_000);
    assert!(sent_at <= 6_000, "sent at {sent_at}");
    assert!(max_per_second <= 150, "{max_per_second} in a second");
}

/// A successor that finds keys being revoked sends the releases itself.
#[test]
fn a_holder_with_a_pending_revocation_gets_one_release_at_a_takeover() {
    let range = KeyRange::ALL.divide(2);
    let holder = id("a");
    let token = FencingToken::new(Epoch(1), 1);
    let leaving = SliceState::Leaving {
        holder: holder.clone(),
        token,
    };
    let held = SliceState::Held {
        holder: holder.clone(),
        token,
    };
    let slices = range.iter().zip([leaving, held]);
    let slices = slices.map(|(range, state)| SliceRecord {
        range: *range,
        state,
    });
    let record = AssignmentRecord {
        epoch: Epoch(1),
        sequence: 1,
        standbys: Vec::new(),
        unfenced: vec![UnfencedUpstream {
            upstream: holder.clone(),
            ranges: vec![range[0]],
        }],
        doubted: Vec::new(),
        slices: slices.collect(),
    };
    let mut granter = Granter::new(at(0), timing(), Epoch(2), Some(&record));
    granter.set_candidates(at(0), [ready("a", None), ready("b", None)]);
    let orders = granter.poll(at(10));
    let releases = orders.iter().filter(|one| one.kind == OrderKind::Release);
    assert_eq!(releases.count(), 1);
    assert_eq!(granter.unfenced_count(), 0);
}

/// A second release that is still pending when the first is answered would revoke the keys
/// that the upstream is granted next.
#[test]
fn a_holder_that_replied_gets_no_keys_while_another_release_is_pending() {
    let mut partition = Partition::begin();
    partition.run_until_keys_moved();
    // The releases of its slices have been given up on by then.
    for _ in 0..60 {
        partition.step();
    }
    while partition.granter.unfenced_count() == 1 {
        let orders = partition.step();
        if partition.pending.len() >= 2 && !orders.is_empty() {
            let (_, first) = partition.pending.remove(0);
            answer(&mut partition.granter, at(partition.now), &first);
            break;
        }
    }
    assert_eq!(partition.granter.unfenced_count(), 1);
    for _ in 0..60 {
        partition.step();
    }
    assert_eq!(partition.granter.unfenced_count(), 0);
}

#[test]
fn a_holder_unregistered_for_a_minute_is_forgotten() {
    let mut partition = Partition::begin();
    partition.run_until_keys_moved();
    let lost = partition.now;
    partition
        .granter
        .set_candidates(at(lost), [ready("b", None)]);
    while partition.now < lost + 59_000 {
        partition.step();
    }
    assert_eq!(partition.granter.unfenced_count(), 1);
    while partition.now < lost + 61_000 {
        partition.step();
    }
    assert_eq!(partition.granter.unfenced_count(), 0);
}
