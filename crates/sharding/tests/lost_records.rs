//! Delayed grants of a granter whose record the store lost.
//!
//! Guards against two owners: an upstream executed grants of an earlier term, or of a standby of
//! that term, after a successor that knew nothing of them had granted the keys to others.

mod common;

use beamtray_catalog::{StartTimestamp, UpstreamId};
use beamtray_emulator::UpstreamEmulator;
use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, CallId, Candidate, DoubtedKeys, FencingToken, GrantOrder, GrantReply,
    Granter, KeyRange, OrderKind, SliceRecord, SliceState, UnfencedUpstream,
};
use common::*;
use std::collections::BTreeMap;

/// When the successor reads the store, in milliseconds after the delayed orders were sent.
const TAKEOVER_MS: u64 = 1_000;
/// Delays with which the delayed orders are executed, in milliseconds.
const DELAYS_MS: [u64; 5] = [2_000, 5_000, 7_000, 9_000, 11_900];
/// Time from when a grant is given up on until it has expired: the lifetime of orders and a
/// grant by a clock that is 2% slow.
const GRANT_EXPIRY_MS: u32 = 12_000 + 3_060;
/// How long a granter withholds keys whose record it cannot read: a grant and its transit.
const WITHHELD_MS: u64 = 3_060 + 300;
/// Time from when keys moved until their former holder restarts.
const RESTART_AFTER_MS: u64 = 500;

/// Who sent the delayed orders.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sender {
    /// The granter, under the next token of each block.
    Granter,
    /// A standby of it, under the last token of each block.
    Standby,
}

/// What the successor reads in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Read {
    /// No record.
    Nothing,
    /// An older record in which nobody holds any keys.
    AllFree,
    /// An older record in which "b" holds the keys of the delayed grants.
    HeldByAnother,
    /// An older record in which "a" holds the first half of its keys and "b" the others.
    HalfHeld,
    /// The newest record, without a doubt.
    Newest,
    /// The newest record, with the doubts of a granter that gave the orders up.
    NewestWithDoubt,
}

/// What has become of "a" when the successor begins.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Holder {
    /// It is registered and answers.
    Answers,
    /// It is registered and answers nothing.
    Silent,
    /// It is not registered and answers.
    Unregistered,
    /// It is registered as a new process, which knows no tokens.
    Restarted,
    /// Its process ends 0.5 s after the keys went to others, and its restart is registered only
    /// after the delayed orders are executed.
    RestartedUnseen,
}

/// What a successor could do, added to what it reads.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Remedy {
    None,
    /// It sends "a" releases of all keys that "a" does not hold, and waits as it does now.
    Fence,
    /// It withholds all keys until every grant of before has expired.
    Wait,
}

/// An order of the events: the orders are sent, the successor reads the store 1 s later, and the
/// orders are executed.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    read: Read,
    /// Whether the store rolled back.
    rolled_back: bool,
    /// Whether the term before was the node's own.
    continues: bool,
    holder: Holder,
    /// What is added to what the successor reads.
    remedy: Remedy,
}

impl Scenario {
    fn new(read: Read, holder: Holder) -> Self {
        let rolled_back = !matches!(read, Read::Newest | Read::NewestWithDoubt);
        Self {
            read,
            rolled_back,
            continues: false,
            holder,
            remedy: Remedy::None,
        }
    }
}

fn born(birth: u64) -> UpstreamId {
    UpstreamId::with_start("a", StartTimestamp(birth))
}

fn candidate(id: UpstreamId) -> Candidate {
    Candidate {
        id,
        ..ready("", None)
    }
}

/// The upstreams by name.
type Upstreams = BTreeMap<String, UpstreamEmulator>;

fn name(order: &GrantOrder) -> String {
    order.holder.name.to_string()
}

/// Grants all keys to "a" and "b" and returns the grants of "a" that are delayed, when they were
/// sent, and the newest record.
fn delay_orders(
    upstreams: &mut Upstreams,
    sender: Sender,
) -> (Vec<GrantOrder>, u64, AssignmentRecord) {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    granter.set_candidates(at(0), [candidate(born(1)), ready("b", None)]);
    granter.poll(at(1_500));
    let record = write_record(&mut granter, at(1_510)).expect("the keys were divided");
    let mut delayed: Vec<GrantOrder> = Vec::new();
    let mut sent_at = 0;
    for now in (2_000..3_000).step_by(10) {
        for order in granter.poll(at(now)) {
            let is_late = order.holder == born(1) && now >= 2_200;
            if is_late {
                sent_at = now;
                delayed.push(order);
                continue;
            }
            let receiver = upstreams.get_mut(&name(&order)).expect("an upstream");
            let reply = receiver.order(at(now), &order).expect("a reply");
            granter.handle_reply(at(now), order.call, reply);
        }
    }
    assert!(!delayed.is_empty(), "a was sent no order");
    if sender == Sender::Standby {
        for order in &mut delayed {
            let slice = record.slice(order.range.first).expect("a slice");
            if let SliceState::Held { token, .. } = &slice.state {
                order.token = *token;
            }
        }
    }
    (delayed, sent_at, record)
}

fn slices_held_by(record: &AssignmentRecord, id: &UpstreamId) -> Vec<KeyRange> {
    let slices = record.slices.iter();
    let of_it = slices
        .filter(|slice| matches!(&slice.state, SliceState::Held { holder, .. } if holder == id));
    of_it.map(|slice| slice.range).collect()
}

/// The record that the successor reads.
fn read_record(
    read: Read,
    newest: &AssignmentRecord,
    upstreams: &mut Upstreams,
) -> Option<AssignmentRecord> {
    let mut record = newest.clone();
    let lost = slices_held_by(newest, &born(1));
    match read {
        Read::Nothing => return None,
        Read::Newest => {}
        Read::AllFree => {
            for slice in &mut record.slices {
                slice.state = SliceState::Free;
            }
        }
        Read::NewestWithDoubt => {
            let doubted = lost.iter().map(|range| DoubtedKeys {
                range: *range,
                left_ms: GRANT_EXPIRY_MS,
            });
            record.doubted = doubted.collect();
        }
        Read::HeldByAnother | Read::HalfHeld => {
            let kept = match read {
                Read::HalfHeld => lost.len() / 2,
                _ => 0,
            };
            for range in &lost[kept..] {
                let slice = record.slices.iter_mut().find(|one| one.range == *range);
                slice.expect("a slice").state = SliceState::Held {
                    holder: id("b"),
                    token: FencingToken::new(Epoch(1), 1),
                };
                let release = GrantOrder {
                    call: CallId(0),
                    token: FencingToken::new(Epoch(1), 2),
                    holder: id("b"),
                    range: *range,
                    kind: OrderKind::Release,
                };
                let other = upstreams.get_mut("b").expect("b");
                other.order(at(1_505), &release);
            }
        }
    }
    Some(record)
}

/// Adds the remedy to what the successor reads.
fn remedied(remedy: Remedy, read: Option<AssignmentRecord>) -> Option<AssignmentRecord> {
    if remedy == Remedy::None {
        return read;
    }
    let mut record = read.unwrap_or(AssignmentRecord {
        epoch: Epoch(1),
        sequence: 1,
        standbys: Vec::new(),
        unfenced: Vec::new(),
        doubted: Vec::new(),
        slices: Vec::new(),
    });
    if remedy == Remedy::Wait {
        record.doubted.push(DoubtedKeys {
            range: KeyRange::ALL,
            left_ms: GRANT_EXPIRY_MS,
        });
        return Some(record);
    }
    let is_held = |slice: &&SliceRecord| matches!(&slice.state, SliceState::Held { holder, .. } if *holder == born(1));
    let others = record.slices.iter().filter(|slice| !is_held(slice));
    let others: Vec<KeyRange> = others.map(|slice| slice.range).collect();
    let ranges = match record.slices.iter().any(|slice| is_held(&slice)) {
        true => others,
        false => vec![KeyRange::ALL],
    };
    record.unfenced.push(UnfencedUpstream {
        upstream: born(1),
        ranges,
    });
    Some(record)
}

/// A successor that treats what it reads as `restore_grants` of the router does.
fn successor(scenario: Scenario, begin: u64, read: Option<AssignmentRecord>) -> Granter {
    let epoch = match scenario.rolled_back {
        true => Epoch(65_536),
        false => Epoch(2),
    };
    let record = remedied(scenario.remedy, read);
    let mut granter = Granter::new(at(begin), timing(), epoch, record.as_ref());
    if scenario.rolled_back {
        granter.doubt_record(at(begin));
    }
    if scenario.rolled_back && !scenario.continues {
        granter.withhold(at(begin), KeyRange::ALL);
    }
    if scenario.rolled_back && scenario.remedy == Remedy::Wait {
        // Slices that are created later inherit no doubt.
        let wait_ms = u64::from(GRANT_EXPIRY_MS) - WITHHELD_MS;
        granter.withhold(at(begin + wait_ms), KeyRange::ALL);
    }
    granter.mark_dirty();
    granter
}

fn registered(holder: Holder) -> Vec<Candidate> {
    let first = match holder {
        Holder::Answers | Holder::Silent | Holder::RestartedUnseen => Some(born(1)),
        Holder::Restarted => Some(born(2)),
        Holder::Unregistered => None,
    };
    let others = [ready("b", None), ready("c", None)];
    first.map(candidate).into_iter().chain(others).collect()
}

/// The upstreams after a takeover, and what they accepted.
struct Takeover {
    scenario: Scenario,
    upstreams: Upstreams,
    granter: Granter,
    delayed: Vec<GrantOrder>,
    accepted: Vec<GrantOrder>,
    /// When keys of the delayed grants were first accepted by another upstream.
    moved_at: Option<u64>,
}

impl Takeover {
    /// Sends the orders that are due and handles their replies.
    fn step(&mut self, now: u64) {
        let candidates = registered(self.scenario.holder);
        self.granter.set_candidates(at(now), candidates);
        for order in self.granter.poll(at(now)) {
            let reply = self.deliver(now, &order);
            self.granter.handle_reply(at(now), order.call, reply);
        }
        write_record(&mut self.granter, at(now));
        let restarts_at = self.moved_at.map(|moved| moved + RESTART_AFTER_MS);
        if self.scenario.holder == Holder::RestartedUnseen && restarts_at == Some(now) {
            self.upstreams.insert("a".to_owned(), upstream(born(2)));
        }
    }

    fn deliver(&mut self, now: u64, order: &GrantOrder) -> GrantReply {
        let name = name(order);
        if name == "a" && self.scenario.holder == Holder::Silent {
            return GrantReply::Undelivered;
        }
        let receiver = self.upstreams.get_mut(&name).expect("an upstream");
        let reply = receiver.order(at(now), order).expect("a reply");
        if reply == GrantReply::Granted && name != "a" {
            let mut delayed = self.delayed.iter();
            if delayed.any(|one| one.range.overlaps(order.range)) {
                self.moved_at.get_or_insert(now);
            }
            self.accepted.push(order.clone());
        }
        reply
    }

    /// Executes the delayed orders at "a". Returns those that it accepts although another
    /// upstream has accepted a higher token for the same keys.
    fn execute_delayed(&mut self, now: u64) -> Vec<String> {
        let mut broken = Vec::new();
        for order in &self.delayed {
            let holder = self.upstreams.get_mut("a").expect("a");
            if holder.order(at(now), order) != Some(GrantReply::Granted) {
                continue;
            }
            let later = self
                .accepted
                .iter()
                .find(|one| one.range.overlaps(order.range) && one.token > order.token);
            let (range, token) = (order.range, order.token);
            broken.extend(later.map(|later| {
                let (other, newer) = (&later.holder, later.token);
                format!("a accepts {range} under {token}, {other} had {newer}")
            }));
        }
        broken
    }
}

/// Plays the scenario with one delay; returns the delayed grants accepted too late.
fn play(scenario: Scenario, sender: Sender, delay_ms: u64) -> Vec<String> {
    let ids = [born(1), id("b"), id("c")];
    let upstreams = ids.map(|id| (id.name.to_string(), upstream(id)));
    let mut upstreams: Upstreams = upstreams.into_iter().collect();
    let (delayed, sent_at, newest) = delay_orders(&mut upstreams, sender);
    let read = read_record(scenario.read, &newest, &mut upstreams);
    let begin = sent_at + TAKEOVER_MS;
    if scenario.holder == Holder::Restarted {
        upstreams.insert("a".to_owned(), upstream(born(2)));
    }
    let mut takeover = Takeover {
        scenario,
        upstreams,
        granter: successor(scenario, begin, read),
        delayed,
        accepted: Vec::new(),
        moved_at: None,
    };
    let execute_at = sent_at + delay_ms;
    for now in (begin..execute_at).step_by(10) {
        takeover.step(now);
    }
    let broken = takeover.execute_delayed(execute_at).into_iter();
    broken
        .map(|one| format!("{scenario:?}, {sender:?}, {delay_ms} ms: {one}"))
        .collect()
}

/// Asserts that no delayed grant is accepted after its keys went to another upstream.
fn assert_refused(scenario: Scenario) {
    let mut broken = Vec::new();
    for sender in [Sender::Granter, Sender::Standby] {
        for delay_ms in DELAYS_MS {
            broken.extend(play(scenario, sender, delay_ms).into_iter().next());
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a successor that tells an upstream nothing before it gives its keys away.
#[test]
fn a_successor_without_a_record_fences_an_upstream_that_answers() {
    assert_refused(Scenario::new(Read::Nothing, Holder::Answers));
}

/// Guards against the same with a record from before the keys were granted.
#[test]
fn a_successor_with_a_record_of_free_keys_fences_an_upstream_that_answers() {
    assert_refused(Scenario::new(Read::AllFree, Holder::Answers));
}

/// Guards against a successor that asks the recorded holder alone.
#[test]
fn a_successor_with_a_record_of_another_holder_fences_an_upstream_that_answers() {
    assert_refused(Scenario::new(Read::HeldByAnother, Holder::Answers));
}

/// Guards against a successor that renews some keys of a holder and forgets its others.
#[test]
fn a_successor_with_an_older_record_fences_the_other_keys_of_a_holder() {
    assert_refused(Scenario::new(Read::HalfHeld, Holder::Answers));
}

/// Guards against a successor that waits for grants in force, but not for delayed ones.
#[test]
fn a_successor_without_a_record_waits_for_a_silent_upstream() {
    assert_refused(Scenario::new(Read::Nothing, Holder::Silent));
}

/// Guards against a successor that knows an upstream by its registration alone.
#[test]
fn a_successor_without_a_record_waits_for_an_unregistered_upstream() {
    assert_refused(Scenario::new(Read::Nothing, Holder::Unregistered));
}

/// Guards against a restart that knows no token and is told none.
#[test]
fn a_successor_without_a_record_fences_a_restarted_upstream() {
    assert_refused(Scenario::new(Read::Nothing, Holder::Restarted));
}

/// Guards against a restart that executes a grant of the process before it.
#[test]
fn a_successor_without_a_record_waits_for_unseen_restarts() {
    assert_refused(Scenario::new(Read::Nothing, Holder::RestartedUnseen));
}

/// Guards against a granter that ended before it recorded a doubt, with no rollback.
#[test]
fn a_successor_with_the_newest_record_waits_for_a_silent_upstream() {
    assert_refused(Scenario::new(Read::Newest, Holder::Silent));
}

/// Guards against the same in a term that continues its node's own after a rollback.
#[test]
fn a_term_that_continues_its_own_waits_for_a_silent_upstream() {
    assert_refused(Scenario {
        rolled_back: true,
        continues: true,
        ..Scenario::new(Read::Newest, Holder::Silent)
    });
}

/// Guards against a successor that moves keys without fencing a holder that it knows.
#[test]
fn a_successor_with_the_newest_record_fences_upstreams_that_answer() {
    for holder in [Holder::Answers, Holder::Unregistered, Holder::Restarted] {
        assert_refused(Scenario::new(Read::Newest, holder));
    }
    assert_refused(Scenario {
        rolled_back: true,
        ..Scenario::new(Read::Newest, Holder::Answers)
    });
}

/// Guards against a successor that disregards recorded doubts.
#[test]
fn a_successor_with_recorded_doubts_waits_for_a_silent_upstream() {
    assert_refused(Scenario::new(Read::NewestWithDoubt, Holder::Silent));
}

const ROLLED_BACK: [Read; 4] = [
    Read::Nothing,
    Read::AllFree,
    Read::HeldByAnother,
    Read::HalfHeld,
];

/// Guards against delayed grants that outlive a wait for the lifetime of orders and a grant.
#[test]
fn withheld_keys_outlast_delayed_grants_whatever_became_of_the_upstream() {
    for read in ROLLED_BACK {
        for holder in [
            Holder::Answers,
            Holder::Silent,
            Holder::Unregistered,
            Holder::Restarted,
            Holder::RestartedUnseen,
        ] {
            assert_refused(Scenario {
                remedy: Remedy::Wait,
                ..Scenario::new(read, holder)
            });
        }
    }
}

/// Guards against delayed grants that a fenced upstream accepts.
#[test]
fn an_upstream_that_is_named_as_unfenced_refuses_delayed_grants() {
    for read in ROLLED_BACK {
        assert_refused(Scenario {
            remedy: Remedy::Fence,
            ..Scenario::new(read, Holder::Answers)
        });
    }
}
