//! A request that ends each upstream which runs it.
//!
//! Seen: one client asked the same thing again every few seconds, at any node, and seven
//! upstreams ended, one after the other. How: no two of its requests came to the same
//! node, and each node saw a connection break off once or twice. Cause: what a request
//! did to an upstream was known to that one request and forgotten with its answer; the
//! next one with the same content was new to every node. Proof: below, the same request
//! ends upstreams for as long as it comes, with one node as with eight.

use beamtray_routersim::{Fault, FaultKind, FaultPlan, Guard, Invariant, WorldConfig, run_plan};
use beamtray_types::Time;
use std::time::Duration;

const SEEDS: u64 = 6;

fn poison(is_read: bool, pause_ms: u64) -> Fault {
    poison_of(is_read, pause_ms, 1)
}

/// The same from several callers at the same moment.
fn poison_of(is_read: bool, pause_ms: u64, callers: u8) -> Fault {
    Fault {
        at: Time(7_000_000),
        duration: Duration::from_secs(50),
        kind: FaultKind::PoisonRequest {
            is_read,
            pause_ms,
            callers,
        },
    }
}

fn world(seed: u64, nodes: usize) -> WorldConfig {
    WorldConfig {
        nodes,
        recovery_window: Duration::from_secs(44),
        ..WorldConfig::drawn(seed)
    }
}

/// Where histories of those faults break the promise.
fn broken(nodes: usize, faults: &[Fault], disabled_guard: Option<Guard>) -> Vec<String> {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let faults = faults.to_vec();
        let outcome = run_plan(world(seed, nodes), FaultPlan { faults }, disabled_guard);
        let violations = outcome.violations.into_iter();
        let poison = violations.filter(|one| one.invariant == Invariant::PoisonKeptOff);
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
        duration: Duration::from_secs(2),
        kind: FaultKind::KillAll,
    }
}

#[test]
fn poison_read_is_quarantined_by_one_node() {
    keeps_it_off(1, &[poison(true, 900)]);
}

#[test]
fn poison_read_is_quarantined_by_all_nodes() {
    keeps_it_off(8, &[poison(true, 900)]);
}

#[test]
fn poison_order_is_quarantined_by_all_nodes() {
    keeps_it_off(8, &[poison(false, 2_500)]);
}

/// They tell each other through relays.
#[test]
fn poison_read_is_quarantined_by_many_nodes() {
    keeps_it_off(24, &[poison(true, 900), poison(false, 2_500)]);
}

#[test]
fn poison_read_stays_quarantined_after_loss_of_all_nodes() {
    let faults = [poison(true, 900), kill_all(14_000), kill_all(21_000)];
    keeps_it_off(6, &faults);
}

/// Seen: three requests that say the same ended with one upstream, three with the next
/// and four with a third one. How: several callers sent it at the same moment to several
/// nodes. Cause: upstreams that ended were counted, not runs that ended with them, and
/// until the third upstream had ended any number of nodes sent it at once.
#[test]
fn concurrent_poison_reads_are_quarantined() {
    keeps_it_off(8, &[poison_of(true, 900, 6)]);
}

#[test]
fn concurrent_poison_orders_are_quarantined() {
    keeps_it_off(8, &[poison_of(false, 2_500, 6)]);
}

/// They tell each other through relays.
#[test]
fn concurrent_poison_requests_are_quarantined_by_many_nodes() {
    keeps_it_off(24, &[poison_of(true, 900, 6), poison_of(false, 2_500, 6)]);
}

/// What the first ends told is lost with the processes, but for the store's record.
#[test]
fn concurrent_poison_requests_stay_quarantined_after_loss_of_all_nodes() {
    let faults = [poison_of(true, 900, 6), kill_all(14_000), kill_all(21_000)];
    keeps_it_off(6, &faults);
}

/// Some of them can't reach the node that lends permits, and send nothing of the kind.
#[test]
fn concurrent_poison_requests_are_quarantined_during_a_partition() {
    let cut = |node, at_ms: u64| Fault {
        at: Time(at_ms * 1_000),
        duration: Duration::from_secs(8),
        kind: FaultKind::PeerCut { node },
    };
    let mut faults = vec![poison_of(true, 900, 6), poison_of(false, 2_500, 6)];
    faults.extend((0..4).map(|node| cut(node, 6_500 + 1_000 * node as u64)));
    keeps_it_off(8, &faults);
}

/// Each node counts for itself what it saw.
#[test]
fn nodes_without_shared_suspicions_violate_the_invariant() {
    let faults = [poison(false, 2_500)];
    let broken = broken(8, &faults, Some(Guard::SuspicionsTold));
    assert!(!broken.is_empty());
}

#[test]
fn restarted_nodes_need_the_persisted_suspicions() {
    let faults = [poison(true, 900), kill_all(14_000), kill_all(21_000)];
    let broken = broken(6, &faults, Some(Guard::SuspicionsKept));
    assert!(!broken.is_empty());
}
