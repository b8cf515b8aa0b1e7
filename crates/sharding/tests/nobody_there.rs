//! Releases to upstreams that are gone.

mod common;

use beamtray_metastore::Epoch;
use beamtray_sharding::{Candidate, GrantReply, Granter, OrderKind};
use beamtray_types::Time;
use common::*;

const UPSTREAMS: usize = 20;
/// Upstreams that lose power, and are registered no more.
const GONE: usize = 8;
/// When they lose power.
const LOST_MS: u64 = 2_500;

fn name(index: usize) -> String {
    format!("upstream-{index}")
}

fn candidates(first: usize, now: Time) -> Vec<Candidate> {
    let names = (first..UPSTREAMS).map(name);
    names.map(|name| ready(&name, Some(now))).collect()
}

/// Releases sent to upstreams that are gone in each second after they lost power; nobody receives
/// them, which is told by `reply`.
fn releases_to_the_gone(reply: &GrantReply, seconds: u64) -> (Granter, Vec<usize>) {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    granter.set_candidates(at(0), candidates(0, at(0)));
    let mut releases = vec![0; seconds as usize];
    let gone: Vec<_> = (0..GONE).map(|index| id(&name(index))).collect();
    for millis in (1_500..LOST_MS + seconds * 1_000).step_by(10) {
        let now = at(millis);
        let is_lost = millis >= LOST_MS;
        granter.set_candidates(now, candidates(if is_lost { GONE } else { 0 }, now));
        for order in granter.poll(now) {
            if !is_lost || !gone.contains(&order.holder) {
                answer(&mut granter, now, &order);
                continue;
            }
            if order.kind == OrderKind::Release {
                releases[((millis - LOST_MS) / 1_000) as usize] += 1;
            }
            granter.handle_reply(now, order.call, reply.clone());
        }
        write_record(&mut granter, now);
    }
    (granter, releases)
}

// Guards against a granter that gives its processor time to releases that reach nobody, for a
// minute after a power loss: it has less than one a second for each upstream that is gone.
#[test]
fn releases_that_reach_nobody_become_rare() {
    for reply in [GrantReply::Refused, GrantReply::NoAddress] {
        let (granter, releases) = releases_to_the_gone(&reply, 30);
        let late = &releases[20..];
        let asked: usize = late.iter().sum();
        assert!(asked < GONE * late.len(), "{reply:?}: {releases:?}");
        assert!(asked >= GONE, "{reply:?}: not asked any more, {releases:?}");
        assert_eq!(granter.unfenced_count(), GONE);
    }
}

// Guards against an upstream that comes back and waits for a release that has become rare.
#[test]
fn an_upstream_that_registers_again_is_released_at_once() {
    // Its keys wait for the end of its grants after two seconds, and have others after thirty.
    for seconds in [2, 30] {
        let (mut granter, _) = releases_to_the_gone(&GrantReply::Refused, seconds);
        let now = at(LOST_MS + seconds * 1_000);
        granter.set_candidates(now, candidates(0, now));
        let orders = granter.poll(now);
        for index in 0..GONE {
            let upstream = id(&name(index));
            let mut releases = orders.iter().filter(|order| order.holder == upstream);
            assert!(
                releases.any(|order| order.kind == OrderKind::Release),
                "{seconds} s"
            );
        }
    }
}
