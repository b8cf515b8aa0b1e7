//! Fencing by a term that may not know all earlier grants: silent standbys and upstreams,
//! unreadable records, late releases, many upstreams.
//!
//! Guards against two owners, and against keys without an owner, in cases that `lost_records`
//! does not have.

mod common;

use beamtray_emulator::UpstreamEmulator;
use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, Candidate, CandidateState, GrantOrder, GrantReply, Granter, KeyRange,
    OrderKind, Part, SliceState, StandbyId,
};
use common::*;
use std::collections::BTreeMap;

/// First epoch of the store's next era.
const NEXT_ERA: Epoch = Epoch(65_536);
/// Longest time for which keys of a draining upstream may be without an owner, in milliseconds:
/// a release, and a grant to another one.
const MAX_UNOWNED_MS: u64 = 2_000;

/// The upstreams by name, and what they accepted.
#[derive(Default)]
struct Upstreams {
    all: BTreeMap<String, UpstreamEmulator>,
    /// Upstreams that cannot be reached.
    unreachable: Vec<&'static str>,
    accepted: Vec<GrantOrder>,
    /// Grants accepted under a token below that of another upstream for the same keys.
    broken: Vec<String>,
}

impl Upstreams {
    fn new(names: &[&str]) -> Self {
        let all = names
            .iter()
            .map(|name| ((*name).to_owned(), upstream(id(name))));
        Self {
            all: all.collect(),
            ..Self::default()
        }
    }

    fn execute(&mut self, now: u64, order: &GrantOrder) -> GrantReply {
        let name = order.holder.name.to_string();
        if self.unreachable.contains(&name.as_str()) {
            return GrantReply::Undelivered;
        }
        let receiver = self.all.get_mut(&name).expect("an upstream");
        let reply = receiver.order(at(now), order).expect("a reply");
        if reply == GrantReply::Granted {
            self.record_accepted(now, order);
        }
        reply
    }

    fn record_accepted(&mut self, now: u64, order: &GrantOrder) {
        let later = self.accepted.iter().find(|one| {
            one.holder != order.holder && one.range.overlaps(order.range) && one.token > order.token
        });
        let (holder, range, token) = (&order.holder, order.range, order.token);
        self.broken.extend(later.map(|later| {
            let (other, newer) = (&later.holder, later.token);
            format!("{now}: {holder} accepts {range} under {token}, {other} had {newer}")
        }));
        self.accepted.push(order.clone());
    }

    /// Sends the orders that are due and handles their replies.
    fn step(&mut self, granter: &mut Granter, now: u64, candidates: &[Candidate]) {
        granter.set_candidates(at(now), candidates.to_vec());
        for order in granter.poll(at(now)) {
            let reply = self.execute(now, &order);
            granter.handle_reply(at(now), order.call, reply);
        }
        write_record(granter, at(now));
    }

    /// Keys that no upstream holds.
    fn unowned(&self, now: u64, record: &AssignmentRecord) -> Vec<KeyRange> {
        let is_held = |range: KeyRange| {
            let mut all = self.all.values();
            all.any(|one| one.grant(at(now), range.first).is_some())
        };
        let ranges = record.slices.iter().map(|slice| slice.range);
        ranges.filter(|range| !is_held(*range)).collect()
    }
}

fn is_grant(order: &GrantOrder) -> bool {
    matches!(order.kind, OrderKind::Grant { .. })
}

fn ready_all(names: &[&str]) -> Vec<Candidate> {
    names.iter().map(|name| ready(name, None)).collect()
}

/// Grants all keys to the candidates until 2,500 ms; returns the granter and its record.
fn first_term(upstreams: &mut Upstreams, candidates: &[Candidate]) -> (Granter, AssignmentRecord) {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    granter.set_candidates(at(0), candidates.to_vec());
    for now in (10..2_500).step_by(10) {
        upstreams.step(&mut granter, now, candidates);
    }
    let record = granter.snapshot();
    (granter, record)
}

/// A term after a rollback, as `restore_grants` of the router begins it.
fn term_after_rollback(now: u64, record: &AssignmentRecord) -> Granter {
    let mut granter = Granter::new(at(now), timing(), NEXT_ERA, Some(record));
    granter.doubt_record(at(now));
    granter.withhold(at(now), KeyRange::ALL);
    granter.mark_dirty();
    granter
}

/// Guards against a renewal under a recorded token that reaches a holder which lost its keys by
/// expiry, in a term whose records the store lost: it has seen no higher token, so it accepts,
/// although another upstream has had the keys under a higher one.
#[test]
fn a_recorded_holder_that_lost_its_keys_by_expiry_is_not_renewed_under_the_old_token() {
    let candidates = ready_all(&["a", "b", "c"]);
    let mut upstreams = Upstreams::new(&["a", "b", "c"]);
    let (mut granter, old_record) = first_term(&mut upstreams, &candidates);
    upstreams.unreachable = vec!["a"];
    for now in (2_500..9_000).step_by(10) {
        upstreams.step(&mut granter, now, &candidates);
    }
    let moved = upstreams
        .accepted
        .iter()
        .filter(|order| order.holder != id("a"));
    let of_a = |order: &&GrantOrder| {
        old_record.slices.iter().any(|slice| {
            let is_of_a =
                matches!(&slice.state, SliceState::Held { holder, .. } if *holder == id("a"));
            is_of_a && slice.range.overlaps(order.range)
        })
    };
    assert!(moved.filter(of_a).count() > 0, "the keys of a did not move");
    upstreams.unreachable.clear();
    let mut successor = term_after_rollback(9_500, &old_record);
    for now in (9_500..12_000).step_by(10) {
        upstreams.step(&mut successor, now, &candidates);
    }
    let broken = &upstreams.broken;
    assert!(
        broken.is_empty(),
        "{} grants, first: {}",
        broken.len(),
        broken[0]
    );
}

/// Guards against keys that are taken from a healthy upstream which drains, while a silent one
/// keeps the fence from ending and so the keys from going to anyone else.
#[test]
fn keys_of_a_draining_upstream_have_an_owner_while_another_is_silent() {
    let mut candidates = ready_all(&["a", "b", "c"]);
    let mut upstreams = Upstreams::new(&["a", "b", "c"]);
    let (_, record) = first_term(&mut upstreams, &candidates);
    upstreams.unreachable = vec!["c"];
    let mut successor = term_after_rollback(3_000, &record);
    let mut unowned_since = None;
    let mut longest = 0;
    for now in (3_000..24_000).step_by(10) {
        if now == 7_000 {
            candidates[0].state = CandidateState::Draining;
        }
        upstreams.step(&mut successor, now, &candidates);
        let of_a = |range: &KeyRange| {
            record.slices.iter().any(|slice| {
                let is_of_a =
                    matches!(&slice.state, SliceState::Held { holder, .. } if *holder == id("a"));
                is_of_a && slice.range == *range
            })
        };
        let is_unowned = upstreams.unowned(now, &record).iter().any(of_a);
        match is_unowned {
            true => longest = longest.max(now - *unowned_since.get_or_insert(now)),
            false => unowned_since = None,
        }
    }
    assert!(
        longest <= MAX_UNOWNED_MS,
        "without an owner for {longest} ms"
    );
}

/// Guards against delayed grants of keys whose part of the record cannot be read, without a
/// rollback: nothing names their holder, and nobody fences it.
#[test]
fn a_successor_with_an_unreadable_part_fences_all_upstreams() {
    let candidates = ready_all(&["a", "b", "c"]);
    let mut upstreams = Upstreams::new(&["a", "b", "c", "d"]);
    let (mut granter, mut record) = first_term(&mut upstreams, &candidates);
    let part = Part::all().next().expect("a part").range();
    let mut delayed = Vec::new();
    for now in (2_500..3_500).step_by(10) {
        granter.set_candidates(at(now), candidates.clone());
        for order in granter.poll(at(now)) {
            if is_grant(&order) && order.range.overlaps(part) {
                delayed.push(order);
                continue;
            }
            let reply = upstreams.execute(now, &order);
            granter.handle_reply(at(now), order.call, reply);
        }
    }
    assert!(!delayed.is_empty(), "no grant was delayed");
    for slice in &mut record.slices {
        if slice.range.overlaps(part) {
            slice.state = SliceState::Free;
        }
    }
    let mut successor = Granter::new(at(3_500), timing(), Epoch(2), Some(&record));
    successor.withhold(at(3_500), part);
    successor.mark_dirty();
    for now in (3_500..14_000).step_by(10) {
        // An idle upstream, which is given the keys.
        upstreams.step(&mut successor, now, &ready_all(&["a", "b", "c", "d"]));
    }
    for order in &delayed {
        upstreams.execute(14_000, order);
    }
    let broken = &upstreams.broken;
    assert!(
        broken.is_empty(),
        "{} grants, first: {}",
        broken.len(),
        broken[0]
    );
}

/// Guards against releases of the fence that an upstream executes late, after it was granted
/// keys under a higher token: no release is ever refused.
#[test]
fn releases_of_the_fence_do_not_revoke_keys_that_were_granted_since() {
    let candidates = ready_all(&["a", "b"]);
    let mut upstreams = Upstreams::new(&["a", "b"]);
    let (_, record) = first_term(&mut upstreams, &candidates);
    let mut successor = term_after_rollback(3_000, &record);
    let mut late = Vec::new();
    for now in (3_000..9_000).step_by(10) {
        successor.set_candidates(at(now), candidates.clone());
        for order in successor.poll(at(now)) {
            let is_release = !is_grant(&order);
            if is_release && order.holder == id("a") && now < 3_300 {
                late.push(order.clone());
                successor.handle_reply(at(now), order.call, GrantReply::InDoubt);
                continue;
            }
            let reply = upstreams.execute(now, &order);
            successor.handle_reply(at(now), order.call, reply);
        }
        write_record(&mut successor, at(now));
    }
    assert!(!late.is_empty(), "no release was late");
    for order in &late {
        upstreams.execute(9_000, order);
    }
    let unowned = upstreams.unowned(9_000, &record);
    assert!(unowned.is_empty(), "without an owner: {unowned:?}");
}

/// Guards against a fence that its time ends before it begins: while a standby that never reports
/// prolongs the withholding of all keys, no upstream is sent a release, and then none ever is. A
/// grant written before a network partition arrived 25 s later, after its keys had moved.
#[test]
fn upstreams_are_fenced_however_long_a_silent_standby_withholds_the_keys() {
    let names = ["a", "b", "c"];
    let candidates = ready_all(&names);
    let mut upstreams = Upstreams::new(&names);
    let mut granter = Granter::new(at(0), timing(), NEXT_ERA, None);
    granter.withhold(at(0), KeyRange::ALL);
    granter.doubt_record(at(0));
    let standby = StandbyId {
        address: "127.0.0.1:2".parse().expect("an address"),
        run: 1,
    };
    let mut fenced = Vec::new();
    for now in (0..40_000).step_by(10) {
        if now == 1_000 {
            granter.set_standbys(at(now), &[standby]);
        }
        granter.set_candidates(at(now), candidates.clone());
        for order in granter.poll(at(now)) {
            match order.kind {
                OrderKind::Grant { .. } => {
                    let all_fenced = names.iter().all(|name| fenced.contains(&id(name)));
                    assert!(all_fenced, "keys assigned at {now}, fenced: {fenced:?}");
                }
                OrderKind::Release => fenced.push(order.holder.clone()),
            }
            let reply = upstreams.execute(now, &order);
            granter.handle_reply(at(now), order.call, reply);
        }
        write_record(&mut granter, at(now));
    }
    assert!(!fenced.is_empty(), "nothing was assigned");
}

/// Guards against an upstream that is forgotten as unfenced when the wait for it ends: it is
/// given keys, and sent none of the releases, when it is reachable again, although grants that
/// were written before it was cut off may arrive only then.
#[test]
fn an_upstream_that_outlasts_the_wait_is_fenced_when_it_returns() {
    let names = ["a", "b", "c"];
    let candidates = ready_all(&names);
    let mut upstreams = Upstreams::new(&names);
    let mut granter = Granter::new(at(0), timing(), NEXT_ERA, None);
    granter.withhold(at(0), KeyRange::ALL);
    granter.doubt_record(at(0));
    upstreams.unreachable = vec!["c"];
    let mut is_fenced = false;
    for now in (0..30_000).step_by(10) {
        if now == 25_000 {
            upstreams.unreachable.clear();
        }
        granter.set_candidates(at(now), candidates.clone());
        for order in granter.poll(at(now)) {
            let is_of_c = order.holder == id("c");
            is_fenced |= is_of_c && now >= 25_000 && !is_grant(&order);
            let reply = upstreams.execute(now, &order);
            granter.handle_reply(at(now), order.call, reply);
        }
        write_record(&mut granter, at(now));
    }
    assert!(is_fenced, "c was sent no release after 25 s");
}

/// Number of upstreams at the largest size.
const MANY_UPSTREAMS: usize = 480;
/// Time until an upstream replies, in milliseconds.
const REPLY_MS: u64 = 20;

/// How long it takes until all upstreams have answered all releases, and the number of releases.
fn fence_many() -> (u64, usize) {
    let names: Vec<String> = (0..MANY_UPSTREAMS).map(|n| format!("u{n:03}")).collect();
    let candidates: Vec<Candidate> = names.iter().map(|name| ready(name, None)).collect();
    let mut first = Granter::new(at(0), timing(), Epoch(1), None);
    first.set_candidates(at(0), candidates.clone());
    for now in (0..4_000).step_by(10) {
        for order in first.poll(at(now)) {
            answer(&mut first, at(now), &order);
        }
        write_record(&mut first, at(now));
    }
    let record = first.snapshot();
    let mut granter = term_after_rollback(5_000, &record);
    let mut replies: BTreeMap<(u64, u64), (GrantOrder, GrantReply)> = BTreeMap::new();
    let (mut last, mut count) = (5_000, 0);
    for now in (5_000..15_000).step_by(10) {
        granter.set_candidates(at(now), candidates.clone());
        let due: Vec<(u64, u64)> = replies
            .range(..=(now, u64::MAX))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let Some((order, reply)) = replies.remove(&key) else {
                continue;
            };
            if matches!(reply, GrantReply::Released(_)) {
                last = now;
            }
            granter.handle_reply(at(now), order.call, reply);
        }
        for order in granter.poll(at(now)) {
            count += usize::from(!is_grant(&order));
            let reply = match order.kind {
                OrderKind::Grant { .. } => GrantReply::Granted,
                OrderKind::Release => GrantReply::Released(None),
            };
            replies.insert((now + REPLY_MS, order.call.0), (order, reply));
        }
        write_record(&mut granter, at(now));
    }
    (last - 5_000, count)
}

/// Guards against a fence of many upstreams that takes longer than the wait that there is anyway.
#[test]
fn many_upstreams_are_fenced_within_the_wait_for_grants_in_force() {
    let (millis, count) = fence_many();
    assert!(
        millis <= 3_360,
        "fenced after {millis} ms and {count} releases"
    );
}
