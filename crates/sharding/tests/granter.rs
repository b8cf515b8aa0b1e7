//! Grants, revocations and moves of one service.

use beamtray_catalog::UpstreamId;
use beamtray_metastore::Epoch;
use beamtray_sharding::{
    Assignment, AssignmentPart, AssignmentRecord, BalanceLimits, Candidate, CandidateState,
    FencingToken, GrantOrder, GrantReply, Granter, GranterGuards, GranterTiming, Handover,
    KeyRange, OrderKind, Part, ShardKey, SliceRecord, SliceState,
};
use beamtray_types::Time;
use std::time::Duration;

const HOLD: Duration = Duration::from_millis(8_000);
const TIMING: GranterTiming = GranterTiming {
    hold: HOLD,
    renewal: Duration::from_millis(2_000),
    min_order_interval: Duration::from_millis(5),
    max_renewal: Duration::from_millis(2_000),
    drift_percent: 2,
    transit: Duration::from_millis(300),
    order_timeout: Duration::from_millis(500),
    order_lifetime: Duration::from_secs(12),
    silence_timeout: Duration::from_millis(1_500),
    quiet_period: Duration::from_millis(1_300),
    release_delay: Duration::from_millis(12),
    guards: GranterGuards {
        records_first: true,
        waits_for_lapse: true,
        respects_predecessor: true,
        counts_unanswered: true,
        waits_for_standbys: true,
        fences_lost_holders: true,
        renews_tokens: true,
        doubts_records: true,
        waits_for_doubt: true,
        fences_all_upstreams: true,
        suspends_renewals: true,
        assumes_grants_in_flight: true,
    },
};
const LIMITS: BalanceLimits = BalanceLimits {
    max_moves: 8,
    max_overload_moves_share: 0.0,
    overload_utilization: 1.0,
    busy_utilization: 0.45,
    min_utilization_gap: 0.3,
    min_requests: 2.0,
    move_cooldown: Duration::from_millis(700),
    load_window_secs: 1.8,
};

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn id(name: &str) -> UpstreamId {
    UpstreamId::from(name.to_owned())
}

fn ready(name: &str, capacity: f64) -> Candidate {
    Candidate {
        id: id(name),
        state: CandidateState::Ready,
        capacity,
        last_answered: None,
    }
}

fn write_record(granter: &mut Granter, now: Time) -> Option<AssignmentRecord> {
    let record = granter.take_record()?;
    granter.mark_durable(now, record.sequence);
    Some(record)
}

fn answer_all(granter: &mut Granter, now: Time, orders: &[GrantOrder]) {
    for order in orders {
        let reply = match order.kind {
            OrderKind::Grant { .. } => GrantReply::Granted,
            OrderKind::Release => GrantReply::Released(Some(Handover("left".to_owned()))),
        };
        granter.handle_reply(now, order.call, reply);
    }
}

/// Polls and answers orders until none is due, since not all are sent at once.
fn grant_all(granter: &mut Granter, now: Time) -> Vec<GrantOrder> {
    let mut given = Vec::new();
    loop {
        let orders = granter.poll(now);
        if orders.is_empty() {
            return given;
        }
        answer_all(granter, now, &orders);
        given.extend(orders);
    }
}

/// A granter that has granted all keys to two upstreams at 2,000 ms.
fn granted() -> Granter {
    let mut granter = Granter::new(at(0), TIMING, Epoch(1), None);
    granter.set_candidates(at(0), [ready("a", 20.0), ready("b", 20.0)]);
    granter.poll(at(1_500));
    write_record(&mut granter, at(1_510)).expect("the keys were divided");
    grant_all(&mut granter, at(2_000));
    granter
}

#[test]
fn keys_are_divided_after_a_quiet_period_without_new_upstreams() {
    let mut granter = Granter::new(at(0), TIMING, Epoch(1), None);
    granter.set_candidates(at(0), [ready("a", 20.0)]);
    granter.poll(at(1_000));
    assert_eq!(granter.slice_count(), 0);
    granter.set_candidates(at(1_200), [ready("a", 20.0), ready("b", 20.0)]);
    granter.poll(at(1_400));
    assert_eq!(granter.slice_count(), 0);
    granter.poll(at(2_600));
    let record = granter.take_record().expect("the keys are divided");
    let of = |name: &str| {
        let holds = |slice: &&SliceRecord| matches!(&slice.state, SliceState::Held { holder, .. } if *holder == id(name));
        record.slices.iter().filter(holds).count()
    };
    assert_eq!(of("a"), of("b"));
}

#[test]
fn nothing_is_granted_before_its_record_is_durable() {
    let mut granter = Granter::new(at(0), TIMING, Epoch(1), None);
    granter.set_candidates(at(0), [ready("a", 20.0)]);
    assert!(granter.poll(at(1_500)).is_empty());
    let record = granter.take_record().expect("the keys were divided");
    assert!(granter.poll(at(1_600)).is_empty());
    granter.mark_durable(at(1_700), record.sequence);
    assert!(!granter.poll(at(1_700)).is_empty());
}

#[test]
fn a_release_waits_until_nodes_know_that_the_slice_is_leaving() {
    let mut granter = granted();
    let mut leaver = ready("a", 20.0);
    leaver.state = CandidateState::Draining;
    granter.set_candidates(at(2_100), [leaver, ready("b", 20.0)]);
    granter.poll(at(2_100));
    write_record(&mut granter, at(2_110));
    let releases = |orders: &[GrantOrder]| {
        let is_release = |order: &&GrantOrder| order.kind == OrderKind::Release;
        orders.iter().filter(is_release).count()
    };
    assert_eq!(releases(&granter.poll(at(2_115))), 0);
    assert!(releases(&granter.poll(at(2_125))) > 0);
}

#[test]
fn a_move_passes_on_the_handover_and_raises_the_token() {
    let mut granter = granted();
    granter.set_candidates(at(2_100), [ready("b", 20.0)]);
    granter.poll(at(2_100));
    write_record(&mut granter, at(2_110));
    let releases = granter.poll(at(2_200));
    answer_all(&mut granter, at(2_200), &releases);
    assert!(granter.poll(at(2_210)).is_empty());
    write_record(&mut granter, at(2_220)).expect("record with the new holders");
    let grants = granter.poll(at(2_230));
    assert_eq!(grants.len(), releases.len());
    for grant in &grants {
        let release = releases
            .iter()
            .find(|release| release.range == grant.range)
            .expect("the range was released");
        assert!(grant.token > release.token);
        let OrderKind::Grant { handover, .. } = &grant.kind else {
            panic!("not a grant: {grant:?}");
        };
        assert!(handover.is_some());
    }
}

#[test]
fn an_unresponsive_holder_keeps_its_slices_until_its_grants_expire() {
    let mut granter = granted();
    let mut lost_at = 0;
    let mut now = 2_000;
    // "a" does not reply from now on.
    while now < 14_000 {
        now += 50;
        for order in granter.poll(at(now)) {
            let silent = order.holder == id("a");
            let reply = match order.kind {
                _ if silent => GrantReply::Unanswered,
                OrderKind::Grant { .. } => GrantReply::Granted,
                OrderKind::Release => GrantReply::Released(None),
            };
            granter.handle_reply(at(now), order.call, reply);
        }
        let Some(record) = write_record(&mut granter, at(now)) else {
            continue;
        };
        let still = record.slices.iter().any(|slice| match &slice.state {
            SliceState::Held { holder, .. } | SliceState::Leaving { holder, .. } => {
                *holder == id("a")
            }
            SliceState::Free => false,
        });
        if !still && lost_at == 0 {
            lost_at = now;
        }
    }
    // Renewals are due from 4,000 ms on and are repeated for 1,500 ms, and the last of them
    // may have been accepted: its duration and the transit time count.
    let last_grant = 4_000 + 1_500;
    assert!(lost_at > 2_000 + 8_160, "lost at {lost_at}");
    assert!(
        lost_at <= last_grant + 8_160 + 300 + 100,
        "lost at {lost_at}"
    );
}

#[test]
fn a_holder_that_was_replaced_loses_its_slices_at_once() {
    let mut granter = granted();
    granter.mark_terminated(&id("a"));
    granter.poll(at(2_100));
    let record = granter.take_record().expect("record with the new holders");
    let with_b = record
        .slices
        .iter()
        .all(|slice| matches!(&slice.state, SliceState::Held { holder, .. } if *holder == id("b")));
    assert!(with_b);
}

#[test]
fn a_successor_renews_the_same_holders_under_the_same_tokens() {
    let mut first = granted();
    first.mark_dirty();
    let record = first.take_record().expect("a record");
    let mut second = Granter::new(at(5_000), TIMING, Epoch(2), Some(&record));
    second.set_candidates(at(5_000), [ready("a", 20.0), ready("b", 20.0)]);
    let orders = grant_all(&mut second, at(5_000));
    assert_eq!(orders.len(), record.slices.len());
    for order in orders {
        let slice = record.slice(order.range.first).expect("a slice");
        let SliceState::Held { holder, token } = &slice.state else {
            panic!("not held: {slice:?}");
        };
        assert_eq!((&order.holder, order.token), (holder, *token));
    }
}

/// Guards against revoking all slices at a takeover: a successor at 78 machines was polled
/// before it had been given the list of upstreams.
#[test]
fn a_successor_without_a_list_of_upstreams_revokes_nothing() {
    let mut first = granted();
    first.mark_dirty();
    let record = first.take_record().expect("a record");
    let mut second = Granter::new(at(5_000), TIMING, Epoch(2), Some(&record));
    assert!(second.poll(at(5_000)).is_empty());
    second.set_candidates(at(5_050), [ready("a", 20.0), ready("b", 20.0)]);
    let orders = grant_all(&mut second, at(5_050));
    assert!(
        orders
            .iter()
            .all(|order| matches!(order.kind, OrderKind::Grant { .. }))
    );
    assert_eq!(orders.len(), record.slices.len());
}

#[test]
fn a_refused_token_is_raised_for_the_same_holder() {
    let mut granter = granted();
    let orders = granter.poll(at(4_100));
    let refused = &orders[0];
    granter.handle_reply(at(4_110), refused.call, GrantReply::Outdated);
    write_record(&mut granter, at(4_120)).expect("record with the new token");
    let again = granter.poll(at(4_130));
    assert!(again[0].token > refused.token);
    assert_eq!(again[0].holder, refused.holder);
}

#[test]
fn tokens_of_a_later_term_are_higher() {
    let last = FencingToken::new(Epoch(1), (1 << 24) - 1);
    assert!(FencingToken::new(Epoch(2), 1) > last);
}

/// Guards against a single key that takes more than the capacity of its holder.
#[test]
fn a_hot_key_goes_to_the_fastest_upstream() {
    let mut granter = granted();
    granter.set_candidates(
        at(2_100),
        [ready("a", 20.0), ready("b", 20.0), ready("fast", 40.0)],
    );
    granter.load.add(ShardKey(24_716), 60.0);
    granter.load.add(ShardKey(24_000), 3.0);
    assert!(granter.rebalance(at(3_500), &LIMITS) > 0);
    let record = write_record(&mut granter, at(3_500)).expect("record with the move");
    let hot = record.slice(ShardKey(24_716)).expect("a slice");
    assert_eq!(hot.range.len(), 1);
    let releases = granter.poll(at(3_600));
    answer_all(&mut granter, at(3_600), &releases);
    let record = granter.take_record().expect("record with the new holder");
    let hot = record.slice(ShardKey(24_716)).expect("a slice");
    assert!(matches!(&hot.state, SliceState::Held { holder, .. } if *holder == id("fast")));
}

#[test]
fn slices_cover_all_keys_once_after_moves() {
    let mut granter = granted();
    for key in (0..60_000).step_by(775) {
        granter.load.add(ShardKey(key), f64::from(key % 7));
    }
    granter.set_candidates(at(2_100), [ready("a", 5.0), ready("b", 50.0)]);
    let moved = granter.rebalance(at(3_500), &LIMITS);
    assert!(moved > 0, "{:?}", granter.load.total());
    let record = granter.take_record().expect("record with the moves");
    let mut next = 0;
    for slice in &record.slices {
        assert_eq!(u32::from(slice.range.first.0), next);
        next = u32::from(slice.range.last.0) + 1;
    }
    assert_eq!(next, KeyRange::ALL.len());
}

#[test]
fn a_record_round_trips_through_its_encoding() {
    let mut granter = granted();
    granter.load.add(ShardKey(24_716), 60.0);
    granter.set_candidates(at(2_100), [ready("a", 20.0), ready("fast", 40.0)]);
    granter.rebalance(at(3_500), &LIMITS);
    granter.poll(at(3_500));
    let record = granter.take_record().expect("record with the moves");
    let bytes = borsh::to_vec(&record.head()).expect("serializable");
    let mut read = Assignment::default();
    read.apply_head(borsh::from_slice(&bytes).expect("deserializable"));
    for part in record.parts() {
        let bytes = borsh::to_vec(&part).expect("serializable");
        let part: AssignmentPart = borsh::from_slice(&bytes).expect("deserializable");
        assert!(borsh::from_slice::<AssignmentPart>(&bytes[..bytes.len() - 1]).is_err());
        read.apply_part(part);
    }
    assert_eq!(read.to_record(), Some(record));
}

/// A record cannot be reassembled from parts whose slices cross their ends.
#[test]
fn no_slice_crosses_the_end_of_a_part() {
    for upstreams in [1, 7, 50, 417, 1_000] {
        let mut granter = Granter::new(at(0), TIMING, Epoch(1), None);
        let names: Vec<String> = (0..upstreams).map(|number| format!("u{number}")).collect();
        granter.set_candidates(at(0), names.iter().map(|name| ready(name, 20.0)));
        granter.poll(at(1_500));
        let record = granter.take_record().expect("the keys are divided");
        let mut next = 0;
        for slice in &record.slices {
            assert_eq!(u32::from(slice.range.first.0), next);
            assert_eq!(Part::of(slice.range.first), Part::of(slice.range.last));
            next = u32::from(slice.range.last.0) + 1;
        }
        assert_eq!(next, KeyRange::ALL.len());
    }
}

/// The first granter may fail while it writes the first record.
#[test]
fn parts_that_were_never_written_have_no_holder() {
    let mut granter = granted();
    granter.mark_dirty();
    let record = granter.take_record().expect("a record");
    let mut read = Assignment::default();
    for part in record.parts().into_iter().take(3) {
        read.apply_part(part);
    }
    let whole = read.to_record().expect("record from the known parts");
    let free = whole
        .slices
        .iter()
        .filter(|slice| slice.state == SliceState::Free);
    assert_eq!(free.count(), Part::all().count() - 3);
    let mut second = Granter::new(at(5_000), TIMING, Epoch(2), Some(&whole));
    second.set_candidates(at(5_000), [ready("a", 20.0), ready("b", 20.0)]);
    second.poll(at(5_000));
    let record = second.take_record().expect("record with all keys assigned");
    assert!(
        record
            .slices
            .iter()
            .all(|slice| slice.state != SliceState::Free)
    );
}

/// Guards against applying a reply to the wrong holder: the reply to an order for a terminated
/// holder marked the next holder as terminated, until no holder was left.
#[test]
fn a_reply_applies_to_the_holder_that_the_order_was_sent_to() {
    let mut granter = granted();
    let orders = granter.poll(at(4_100));
    let asked = orders
        .iter()
        .find(|order| order.holder == id("a"))
        .expect("a is renewed");
    granter.mark_terminated(&id("a"));
    granter.poll(at(4_200));
    write_record(&mut granter, at(4_210)).expect("record with the new holders");
    granter.handle_reply(at(4_300), asked.call, GrantReply::Replaced);
    granter.set_candidates(at(4_400), [ready("b", 20.0), ready("c", 20.0)]);
    granter.poll(at(4_400));
    let record = granter.take_record();
    let moved = record.is_some_and(|record| {
        let leaves = |slice: &SliceRecord| !matches!(slice.state, SliceState::Held { .. });
        record.slices.iter().any(leaves)
    });
    assert!(!moved, "b lost its keys");
}

#[test]
fn many_upstreams_get_fewer_slices_each() {
    let mut granter = Granter::new(at(0), TIMING, Epoch(1), None);
    let names: Vec<String> = (0..200).map(|number| format!("u{number}")).collect();
    granter.set_candidates(at(0), names.iter().map(|name| ready(name, 20.0)));
    granter.poll(at(1_500));
    assert_eq!(granter.slice_count(), 400);
}

#[test]
fn renewals_are_not_all_due_at_once() {
    let mut granter = granted();
    let early = granter.poll(at(3_800));
    answer_all(&mut granter, at(3_800), &early);
    let late = granter.poll(at(4_100));
    assert!(!early.is_empty(), "no renewal is due early");
    assert!(!late.is_empty(), "no renewal is due late");
}

/// A cold upstream can serve few requests, but its keys bring all of theirs.
#[test]
fn a_cold_upstream_gets_no_keys_while_another_is_ready() {
    let mut granter = Granter::new(at(0), TIMING, Epoch(1), None);
    let mut cold = ready("cold", 10.0);
    cold.state = CandidateState::Cold;
    granter.set_candidates(at(0), [cold.clone(), ready("warm", 10.0)]);
    granter.poll(at(1_500));
    let record = granter.take_record().expect("the keys were divided");
    let holders = |record: &AssignmentRecord| -> Vec<String> {
        let held = record.slices.iter().filter_map(|slice| match &slice.state {
            SliceState::Held { holder, .. } => Some(holder.name.0.clone()),
            _ => None,
        });
        held.collect()
    };
    assert!(holders(&record).iter().all(|holder| holder == "warm"));
    granter.mark_terminated(&"warm".into());
    granter.set_candidates(at(1_600), [cold, ready("warm", 10.0)]);
    granter.poll(at(1_600));
    let record = granter
        .take_record()
        .expect("record with the keys reassigned");
    let holders = holders(&record);
    assert!(!holders.is_empty());
    assert!(holders.iter().all(|holder| holder == "cold"));
}

/// Adopts a record of the previous term that may be older than the last grants, and renews
/// its holders; returns the granter and its orders.
fn adopt_doubted_record() -> (Granter, Vec<GrantOrder>) {
    let mut before = granted();
    before.mark_dirty();
    let record = before.take_record().expect("a record");
    let mut granter = Granter::new(at(10_000), TIMING, Epoch(2), Some(&record));
    granter.doubt_record(at(10_000));
    granter.mark_dirty();
    granter.set_candidates(at(10_000), [ready("a", 20.0), ready("b", 20.0)]);
    let mut orders = granter.poll(at(10_010));
    write_record(&mut granter, at(10_020));
    orders.extend(granter.poll(at(10_100)));
    (granter, orders)
}

/// Guards against granting keys to a holder of an old record under a fresh token while a
/// holder that the record does not name has them.
#[test]
fn keys_with_an_unknown_holder_are_withheld_until_its_grants_expire() {
    let (mut granter, orders) = adopt_doubted_record();
    let outdated = orders.first().expect("an order").clone();
    assert!(outdated.token < FencingToken::new(Epoch(2), 0));
    granter.handle_reply(at(10_110), outdated.call, GrantReply::Outdated);
    for order in &orders[1..] {
        granter.handle_reply(at(10_110), order.call, GrantReply::Granted);
    }
    let given = |granter: &mut Granter, millis: u64| {
        write_record(granter, at(millis));
        let orders = grant_all(granter, at(millis));
        let mut again = orders
            .iter()
            .filter(|order| order.range.overlaps(outdated.range));
        again.any(|order| matches!(order.kind, OrderKind::Grant { .. }))
    };
    for millis in (10_200..18_400).step_by(100) {
        assert!(!given(&mut granter, millis), "given at {millis} ms");
    }
    assert!(
        (18_400..19_500)
            .step_by(100)
            .any(|millis| given(&mut granter, millis))
    );
}

/// Guards against withholding keys of a record that is not in doubt: there the predecessor
/// released the keys itself, and the same holder gets a higher token at once.
#[test]
fn an_outdated_token_of_a_trusted_record_is_raised() {
    let mut before = granted();
    before.mark_dirty();
    let record = before.take_record().expect("a record");
    let mut granter = Granter::new(at(10_000), TIMING, Epoch(2), Some(&record));
    granter.mark_dirty();
    granter.set_candidates(at(10_000), [ready("a", 20.0), ready("b", 20.0)]);
    let orders = granter.poll(at(10_010));
    write_record(&mut granter, at(10_020));
    let outdated = orders.first().expect("an order").clone();
    granter.handle_reply(at(10_110), outdated.call, GrantReply::Outdated);
    answer_all(&mut granter, at(10_110), &orders[1..]);
    write_record(&mut granter, at(10_120));
    let again = grant_all(&mut granter, at(10_300));
    let same = again.iter().find(|order| order.range == outdated.range);
    assert!(
        same.is_some_and(|order| order.holder == outdated.holder
            && order.token >= FencingToken::new(Epoch(2), 0))
    );
}
