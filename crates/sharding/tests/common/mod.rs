//! Helpers shared by the granter tests.

#![allow(dead_code, reason = "not every test file uses every helper")]

use beamtray_catalog::UpstreamId;
use beamtray_emulator::{FullPolicy, UpstreamConfig, UpstreamEmulator};
use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, BalanceLimits, Candidate, CandidateState, GrantOrder, GrantReply, Granter,
    GranterGuards, GranterTiming, OrderKind, SliceState,
};
use beamtray_types::{ServiceName, Time, Zone};
use std::time::Duration;

/// Duration of a grant where there are few slices.
pub const HOLD: Duration = Duration::from_millis(3_000);

/// The balance limits used in production.
pub const LIMITS: BalanceLimits = BalanceLimits {
    max_moves: 8,
    max_overload_moves_share: 0.25,
    overload_utilization: 1.0,
    busy_utilization: 0.45,
    min_utilization_gap: 0.3,
    min_requests: 2.0,
    move_cooldown: Duration::from_millis(700),
    load_window_secs: 1.8,
};

/// The timing used in production, with the same pace for any number of slices.
pub fn timing() -> GranterTiming {
    GranterTiming {
        hold: HOLD,
        renewal: Duration::from_millis(750),
        min_order_interval: Duration::from_millis(5),
        max_renewal: Duration::from_millis(750),
        drift_percent: 2,
        transit: Duration::from_millis(300),
        order_timeout: Duration::from_millis(500),
        order_lifetime: Duration::from_secs(12),
        silence_timeout: Duration::from_millis(1_200),
        quiet_period: Duration::from_millis(1_300),
        release_delay: Duration::from_millis(12),
        guards: GranterGuards::default(),
    }
}

pub fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

pub fn id(name: &str) -> UpstreamId {
    UpstreamId::from(name.to_owned())
}

/// A ready upstream that was last heard from at the given time.
pub fn ready(name: &str, last_answered: Option<Time>) -> Candidate {
    Candidate {
        id: id(name),
        state: CandidateState::Ready,
        capacity: 20.0,
        last_answered,
    }
}

/// An upstream that owns keys and runs one request at a time.
pub fn upstream(id: UpstreamId) -> UpstreamEmulator {
    UpstreamEmulator::new(UpstreamConfig {
        id,
        service: ServiceName::from("keyed"),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: Zone::from("zone"),
        slots: 1,
        queue: 1,
        is_sharded: true,
        full: FullPolicy::Shed,
        slowness_percent: 100,
    })
}

pub fn write_record(granter: &mut Granter, now: Time) -> Option<AssignmentRecord> {
    let record = granter.take_record()?;
    granter.mark_durable(now, record.sequence);
    Some(record)
}

pub fn answer(granter: &mut Granter, now: Time, order: &GrantOrder) {
    let reply = match order.kind {
        OrderKind::Grant { .. } => GrantReply::Granted,
        OrderKind::Release => GrantReply::Released(None),
    };
    granter.handle_reply(now, order.call, reply);
}

/// Polls and answers orders until none is due, since not all are sent at once.
pub fn grant_all(granter: &mut Granter, now: Time) {
    loop {
        let orders = granter.poll(now);
        if orders.is_empty() {
            return;
        }
        for order in &orders {
            answer(granter, now, order);
        }
    }
}

/// Number of slices that an upstream holds or is giving back.
pub fn slices_of(record: &AssignmentRecord, name: &str) -> usize {
    let of_it = record.slices.iter().filter(|slice| match &slice.state {
        SliceState::Held { holder, .. } | SliceState::Leaving { holder, .. } => *holder == id(name),
        SliceState::Free => false,
    });
    of_it.count()
}

/// A granter that has granted all keys to "a" and "b" at 2,000 ms.
pub fn granted() -> Granter {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    granter.set_candidates(at(0), [ready("a", None), ready("b", None)]);
    granter.poll(at(1_500));
    write_record(&mut granter, at(1_510)).expect("the keys were divided");
    grant_all(&mut granter, at(2_000));
    granter
}
