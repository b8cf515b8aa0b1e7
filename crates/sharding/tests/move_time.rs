//! Moves of a granter that is slow.

mod common;

use beamtray_metastore::Epoch;
use beamtray_sharding::{GrantOrder, Granter, OrderKind, ShardKey};
use common::*;
use std::collections::VecDeque;

const UPSTREAMS: usize = 120;
const BEGIN_MS: u64 = 2_000;
const END_MS: u64 = 30_000;
const STEP_MS: u64 = 50;
/// The part of the time in which the limit has to hold.
const STEADY_MS: u64 = 10_000;
/// Requests of a key in each step at a busy upstream, which exceed what it can serve.
const BUSY: f64 = 0.4;

/// Load that is above what half of the upstreams can serve, and that changes its place.
fn add_load(granter: &mut Granter, now: u64) {
    let phase = now / 3_000;
    for key in (0..=u16::MAX).step_by(64) {
        let is_busy = (u64::from(key) / 1_024 + phase).is_multiple_of(2);
        granter
            .load
            .add(ShardKey(key), if is_busy { BUSY } else { 0.0 });
    }
}

/// Mean number of slices without an owner, where releases are answered after that time.
fn mean_unowned(release_ms: u64) -> f64 {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    let names: Vec<String> = (0..UPSTREAMS).map(|index| format!("u{index:03}")).collect();
    granter.set_candidates(at(0), names.iter().map(|name| ready(name, None)));
    granter.poll(at(1_500));
    write_record(&mut granter, at(1_510)).expect("the keys were divided");
    grant_all(&mut granter, at(BEGIN_MS));
    let mut releases: VecDeque<(u64, GrantOrder)> = VecDeque::new();
    let (mut unowned, mut steps) = (0, 0);
    for now in (BEGIN_MS..END_MS).step_by(STEP_MS as usize) {
        granter.load.decay(0.97);
        add_load(&mut granter, now);
        granter.rebalance(at(now), &LIMITS);
        while releases.front().is_some_and(|(due, _)| *due <= now) {
            let order = releases.pop_front().expect("a release is due").1;
            answer(&mut granter, at(now), &order);
        }
        for order in granter.poll(at(now)) {
            match order.kind {
                OrderKind::Grant { .. } => answer(&mut granter, at(now), &order),
                OrderKind::Release => releases.push_back((now + release_ms, order)),
            }
        }
        write_record(&mut granter, at(now));
        if now >= END_MS - STEADY_MS {
            unowned += granter.slice_count() - granter.held_count(at(now));
            steps += 1;
        }
    }
    unowned as f64 / f64::from(steps)
}

// Guards against an overload that feeds itself: where moves took long, as many keys as ever had no
// owner, for longer, and the refused requests came again.
#[test]
fn the_longer_moves_take_the_fewer_keys_have_no_owner() {
    let timely = mean_unowned(900);
    assert!(timely >= 10.0, "nothing to balance: {timely}");
    for seconds in [2, 3] {
        let slow = mean_unowned(seconds * 1_000);
        let most = timely / seconds as f64 * 1.2;
        assert!(slow <= most, "{seconds} s: {slow} slices, {timely} in time");
        assert!(slow >= 1.0, "{seconds} s: nothing moves any more");
    }
}
