//! What tests of the granter share.

#![allow(dead_code, reason = "not every test file uses every helper")]

use beamtray_catalog::UpstreamId;
use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, BalanceLimits, Candidate, GrantOrder, GrantReply, Granter, GranterGuards,
    GranterTiming, OrderKind, SliceState, Standing,
};
use beamtray_types::Time;
use std::time::Duration;

/// How long a grant holds where slices are few.
pub const HOLD: Duration = Duration::from_millis(3_000);

/// The product's limits of the balance.
pub const LIMITS: BalanceLimits = BalanceLimits {
    moves: 8,
    moves_share: 0.25,
    overloaded: 1.0,
    busy: 0.45,
    difference: 0.3,
    least_requests: 2.0,
    rest: Duration::from_millis(700),
    window: 1.8,
};

/// The product's timing, with one pace for any number of slices.
pub fn timing() -> GranterTiming {
    GranterTiming {
        hold: HOLD,
        renewal: Duration::from_millis(750),
        order_pause: Duration::from_millis(5),
        longest_renewal: Duration::from_millis(750),
        drift_percent: 2,
        transit: Duration::from_millis(300),
        order_wait: Duration::from_millis(500),
        order_lifetime: Duration::from_secs(12),
        silence: Duration::from_millis(1_200),
        settle: Duration::from_millis(1_300),
        notice: Duration::from_millis(12),
        guards: GranterGuards::default(),
    }
}

pub fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

pub fn id(name: &str) -> UpstreamId {
    UpstreamId::from(name.to_owned())
}

/// An upstream that takes keys and was last heard then.
pub fn ready(name: &str, heard: Option<Time>) -> Candidate {
    Candidate {
        id: id(name),
        standing: Standing::Ready,
        capacity: 20.0,
        heard,
    }
}

pub fn write_record(granter: &mut Granter, now: Time) -> Option<AssignmentRecord> {
    let record = granter.record()?;
    granter.written(now, record.sequence);
    Some(record)
}

pub fn answer(granter: &mut Granter, now: Time, order: &GrantOrder) {
    let reply = match order.kind {
        OrderKind::Grant { .. } => GrantReply::Granted,
        OrderKind::Release => GrantReply::Released(None),
    };
    granter.handle(now, order.call, reply);
}

/// Takes and answers orders until none is due: not all are given at once.
pub fn give_all(granter: &mut Granter, now: Time) {
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

/// Slices that an upstream holds or is giving back.
pub fn slices_of(record: &AssignmentRecord, name: &str) -> usize {
    let of_it = record.slices.iter().filter(|slice| match &slice.state {
        SliceState::Held { holder, .. } | SliceState::Leaving { holder, .. } => *holder == id(name),
        SliceState::Free => false,
    });
    of_it.count()
}

/// All keys granted to "a" and "b", at 2,000 ms.
pub fn granted() -> Granter {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    granter.set_candidates(at(0), [ready("a", None), ready("b", None)]);
    granter.poll(at(1_500));
    write_record(&mut granter, at(1_510)).expect("the keys were divided");
    give_all(&mut granter, at(2_000));
    granter
}
