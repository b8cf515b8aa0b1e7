//! A poison request, which crashes each upstream that runs it.
//!
//! Guards against nodes that forget what a request did to upstreams: one client repeated a
//! request every few seconds at arbitrary nodes, and seven upstreams crashed in turn. No two of
//! its requests reached the same node, and each node saw a connection break once or twice. The
//! state was kept per request and dropped with its response, so the next request with the same
//! content was new to every node. Without shared suspicions the request crashes upstreams for
//! as long as it is repeated, with one node as with eight.

use beamtray_routersim::{Fault, FaultKind, FaultPlan, Guard, Invariant, WorldConfig, run_plan};
use beamtray_types::Time;
use std::time::Duration;

const SEEDS: u64 = 6;

fn poison(is_read: bool, pause_ms: u64) -> Fault {
    poison_of(is_read, pause_ms, 1)
}

/// The same request from several callers at the same moment.
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

/// Violations of the invariant in histories with the given faults.
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

/// The nodes share suspicions through relays.
#[test]
fn poison_read_is_quarantined_by_many_nodes() {
    keeps_it_off(24, &[poison(true, 900), poison(false, 2_500)]);
}

#[test]
fn poison_read_stays_quarantined_after_loss_of_all_nodes() {
    let faults = [poison(true, 900), kill_all(14_000), kill_all(21_000)];
    keeps_it_off(6, &faults);
}

/// Guards against counting crashed upstreams instead of crashed runs: several callers sent the
/// same request to several nodes at once, and three runs ended with one upstream, three with
/// the next and four with a third. Until the third upstream had crashed, any number of nodes
/// could send the request at once.
#[test]
fn concurrent_poison_reads_are_quarantined() {
    keeps_it_off(8, &[poison_of(true, 900, 6)]);
}

#[test]
fn concurrent_poison_orders_are_quarantined() {
    keeps_it_off(8, &[poison_of(false, 2_500, 6)]);
}

/// The nodes share suspicions through relays.
#[test]
fn concurrent_poison_requests_are_quarantined_by_many_nodes() {
    keeps_it_off(24, &[poison_of(true, 900, 6), poison_of(false, 2_500, 6)]);
}

/// Suspicions from the first crashes are lost with the processes, except for the record in the
/// store.
#[test]
fn concurrent_poison_requests_stay_quarantined_after_loss_of_all_nodes() {
    let faults = [poison_of(true, 900, 6), kill_all(14_000), kill_all(21_000)];
    keeps_it_off(6, &faults);
}

/// Some nodes cannot reach the node that issues permits, and send no such requests.
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

/// Without sharing, each node counts only the crashes that it has seen.
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
