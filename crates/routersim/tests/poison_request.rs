//! A request that ends each upstream which runs it.
//!
//! Seen: one client asked the same thing again every few seconds, at any node, and seven
//! upstreams ended, one after the other. How: no two of its requests came to the same
//! node, and each node saw a connection break off once or twice. Cause: what a request
//! did to an upstream was known to that one request and forgotten with its answer; the
//! next one with the same content was new to every node. Proof: below, the same request
//! ends upstreams for as long as it comes, with one node as with eight.

use beamtray_routersim::{Fault, FaultPlan, Guard, Promise, Trouble, WorldConfig, play};
use beamtray_types::Time;
use std::time::Duration;

const SEEDS: u64 = 6;

fn poison(is_read: bool, pause_ms: u64) -> Fault {
    Fault {
        at: Time(7_000_000),
        lasts: Duration::from_secs(50),
        trouble: Trouble::PoisonRequest { is_read, pause_ms },
    }
}

fn world(seed: u64, nodes: usize) -> WorldConfig {
    WorldConfig {
        nodes,
        calm: Duration::from_secs(44),
        ..WorldConfig::drawn(seed)
    }
}

/// Where histories of those faults break the promise.
fn broken(nodes: usize, faults: &[Fault], off: Option<Guard>) -> Vec<String> {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let faults = faults.to_vec();
        let outcome = play(world(seed, nodes), FaultPlan { faults }, off);
        let violations = outcome.violations.into_iter();
        let poison = violations.filter(|one| one.promise == Promise::PoisonKeptOff);
        broken.extend(poison.map(|one| format!("seed {seed}: {one}")));
    }
    broken
}

fn keeps_it_off(nodes: usize, faults: &[Fault]) {
    let broken = broken(nodes, faults, None);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

fn kill_all(at_ms: u64) -> Fault {
    Fault {
        at: Time(at_ms * 1_000),
        lasts: Duration::from_secs(2),
        trouble: Trouble::KillAll,
    }
}

#[test]
fn a_read_that_ends_upstreams_is_kept_off_by_one_node() {
    keeps_it_off(1, &[poison(true, 900)]);
}

#[test]
fn a_read_that_ends_upstreams_is_kept_off_by_all_nodes() {
    keeps_it_off(8, &[poison(true, 900)]);
}

#[test]
fn an_order_that_ends_upstreams_is_kept_off_by_all_nodes() {
    keeps_it_off(8, &[poison(false, 2_500)]);
}

/// They tell each other through relays.
#[test]
fn it_is_kept_off_by_many_nodes() {
    keeps_it_off(24, &[poison(true, 900), poison(false, 2_500)]);
}

#[test]
fn it_is_kept_off_by_nodes_that_lost_all_they_knew() {
    let faults = [poison(true, 900), kill_all(14_000), kill_all(21_000)];
    keeps_it_off(6, &faults);
}

/// Each node counts for itself what it saw.
#[test]
fn nodes_that_do_not_tell_each_other_let_it_through() {
    let faults = [poison(false, 2_500)];
    let broken = broken(8, &faults, Some(Guard::SuspicionsTold));
    assert!(!broken.is_empty());
}

#[test]
fn nodes_that_lost_all_they_knew_need_the_store() {
    let faults = [poison(true, 900), kill_all(14_000), kill_all(21_000)];
    let broken = broken(6, &faults, Some(Guard::SuspicionsKept));
    assert!(!broken.is_empty());
}
