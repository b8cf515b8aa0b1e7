//! Verifies that every guard is necessary: with one guard disabled, a checker
//! reports a violation within a given number of seeds, and the same history has
//! no violation with all guards enabled.
//!
//! Vote withholding is covered by the tests of `beamtray-consensus`, which show on
//! the log alone that two leaders hold a lease at once without it.

use beamtray_sim::check::{Invariant, check_all};
use beamtray_sim::explore::violations;
use beamtray_sim::fault::{Fault, ScheduledFault};
use beamtray_sim::guard::Guard;
use beamtray_sim::scenario::Scenario;
use beamtray_sim::world::World;
use std::collections::BTreeSet;

fn at(at_millis: u64, fault: Fault) -> ScheduledFault {
    ScheduledFault { at_millis, fault }
}

/// Cuts the link between two zones in both directions.
fn cut(from: usize, to: usize, millis: u64) -> Fault {
    Fault::CutZones {
        from,
        to,
        both_ways: true,
        millis,
    }
}

fn violated_invariants(scenario: Scenario) -> BTreeSet<Invariant> {
    let findings = check_all(&World::new(scenario).run());
    let broken = findings
        .into_iter()
        .filter(|finding| !finding.violations.is_empty());
    broken.map(|finding| finding.invariant).collect()
}

/// Runs histories with the guard disabled until one violates an invariant, and
/// returns the violated invariants. Asserts that this history has no violation
/// with all guards enabled.
fn invariants_violated_without(
    guard: Guard,
    seeds: std::ops::Range<u64>,
    scenario: impl Fn(u64) -> Scenario,
) -> BTreeSet<Invariant> {
    for seed in seeds {
        let mut unguarded = scenario(seed);
        guard.disable_in(&mut unguarded.guards);
        let broken = violated_invariants(unguarded);
        if !broken.is_empty() {
            let clean = violations(&World::new(scenario(seed)).run());
            assert!(clean.is_empty(), "seed {seed} with all guards: {clean:?}");
            return broken;
        }
    }
    BTreeSet::new()
}

fn random(kinds: &'static [&'static str]) -> impl Fn(u64) -> Scenario {
    move |seed| Scenario::random(seed, None, &|fault| kinds.contains(&fault.kind()))
}

fn directed(faults: impl Fn(u64) -> Vec<ScheduledFault>) -> impl Fn(u64) -> Scenario {
    move |seed| Scenario {
        faults: faults(seed),
        ..Scenario::calm(seed, None)
    }
}

fn assert_violation_detected(
    guard: Guard,
    expected: Invariant,
    seeds: u64,
    scenario: impl Fn(u64) -> Scenario,
) {
    let broken = invariants_violated_without(guard, 1..seeds + 1, scenario);
    let name = guard.as_str();
    assert!(
        broken.contains(&expected),
        "without {name}: {broken:?}, not {expected:?}"
    );
}

#[test]
fn lapse_wait() {
    let scenario = random(&["pause-owner", "pause-server", "cut-server"]);
    assert_violation_detected(Guard::LapseWait, Invariant::SoleOwner, 20, scenario);
}

/// The leader is suspended right after it revokes slices whose owner is
/// partitioned, so the next leader does not know of the owner's grant.
#[test]
fn former_leader_wait() {
    let scenario = directed(|seed| {
        vec![
            at(6_000, Fault::StopServer { server: 0 }),
            at(
                6_305 + seed % 40,
                Fault::PauseLeader {
                    millis: 3_000,
                    mid_step: true,
                },
            ),
            at(
                6_306 + seed % 40,
                Fault::CutServer {
                    server: 0,
                    millis: 3_000,
                },
            ),
        ]
    });
    assert_violation_detected(Guard::FormerLeaderWait, Invariant::SoleOwner, 200, scenario);
}

#[test]
fn release_wait() {
    let scenario = random(&["stop-server", "machine-leaves", "hot-key"]);
    assert_violation_detected(Guard::ReleaseWait, Invariant::SoleOwner, 100, scenario);
}

#[test]
fn server_incarnation() {
    let scenario = random(&["replace-server"]);
    assert_violation_detected(Guard::ServerIncarnation, Invariant::SoleOwner, 20, scenario);
}

/// The leader's zone is partitioned. Without the lease, the leader keeps granting
/// slices to the servers in its zone.
#[test]
fn leader_lease() {
    let scenario = directed(|seed| {
        let from = (seed % 3) as usize;
        vec![
            at(7_000, cut(from, (from + 1) % 3, 6_000)),
            at(7_000, cut(from, (from + 2) % 3, 6_000)),
        ]
    });
    assert_violation_detected(Guard::LeaderLease, Invariant::SoleOwner, 40, scenario);
}

#[test]
fn unknown_outcome() {
    let scenario = random(&["bad-network", "cut-zones"]);
    assert_violation_detected(
        Guard::UnknownOutcome,
        Invariant::RefusedNotRun,
        20,
        scenario,
    );
}

#[test]
fn duplicate_drop() {
    let scenario = random(&["bad-network"]);
    assert_violation_detected(Guard::DuplicateDrop, Invariant::AtMostOnce, 20, scenario);
}

#[test]
fn configuration_lease() {
    let scenario = random(&["cut-zone", "operator-race"]);
    assert_violation_detected(
        Guard::ConfigurationLease,
        Invariant::Configuration,
        100,
        scenario,
    );
}

/// A node that reaches the key-value service refounds the group while the old
/// majority is still running.
#[test]
fn refounding_proof() {
    let scenario = directed(|_| vec![at(7_000, cut(2, 0, 9_000)), at(7_000, cut(2, 1, 9_000))]);
    assert_violation_detected(Guard::RefoundingProof, Invariant::SoleOwner, 10, scenario);
}

/// The leader is partitioned from the other voters and accepts a configuration
/// that only the key-value service stores; then that service fails.
#[test]
fn committed_acceptance() {
    let scenario = directed(|seed| {
        let zone = (seed % 3) as usize;
        vec![
            at(6_990, cut(zone, (zone + 1) % 3, 18_000)),
            at(6_990, cut(zone, (zone + 2) % 3, 18_000)),
            at(7_000, Fault::OperatorRace),
            at(7_040, Fault::KeyValueDown { millis: 17_000 }),
        ]
    });
    assert_violation_detected(
        Guard::CommittedAcceptance,
        Invariant::Configuration,
        40,
        scenario,
    );
}

/// Two founding voters are replaced one after the other. A third one, which is
/// partitioned, finds a record that shows the majority as lost.
#[test]
fn voter_record() {
    let scenario = directed(|_| {
        vec![
            at(
                6_000,
                Fault::KillNode {
                    node: 1,
                    restart_millis: None,
                },
            ),
            at(
                13_000,
                Fault::KillNode {
                    node: 0,
                    restart_millis: None,
                },
            ),
            at(20_000, cut(2, 0, 9_000)),
            at(20_000, cut(2, 1, 9_000)),
        ]
    });
    assert_violation_detected(Guard::VoterRecord, Invariant::SoleOwner, 10, scenario);
}

#[test]
fn read_back() {
    let scenario = random(&["key-value-loses-replies", "operator-race"]);
    assert_violation_detected(Guard::ReadBack, Invariant::Configuration, 40, scenario);
}

#[test]
fn drain() {
    let scenario = random(&["stop-server", "operator-race"]);
    assert_violation_detected(Guard::Drain, Invariant::Drain, 20, scenario);
}

#[test]
fn grant_expiry() {
    let scenario = random(&["cut-server", "pause-server", "pause-owner"]);
    assert_violation_detected(Guard::GrantExpiry, Invariant::SoleOwner, 20, scenario);
}

#[test]
fn server_fence() {
    let scenario = random(&["pause-leader", "pause-owner", "hot-key", "stop-server"]);
    assert_violation_detected(Guard::ServerFence, Invariant::SoleOwner, 200, scenario);
}

#[test]
fn effect_check() {
    let scenario = random(&["pause-owner", "pause-server"]);
    assert_violation_detected(Guard::EffectCheck, Invariant::SoleOwner, 200, scenario);
}

#[test]
fn connection_close() {
    let scenario = random(&["pause-server", "pause-owner"]);
    assert_violation_detected(
        Guard::ConnectionClose,
        Invariant::OwnWholeAnswer,
        20,
        scenario,
    );
}
