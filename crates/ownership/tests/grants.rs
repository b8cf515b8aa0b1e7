//! Tests of the grant protocol between a granter and a server's grant table.

use beamtray_ownership::{
    GrantSet, GrantTable, GrantedSlice, Granter, GranterConfig, GranterGuards, Refusal,
};
use beamtray_types::{
    Fence, Generation, GroupId, Incarnation, KeyHash, LogIndex, ServerName, SliceRange, Term, Time,
};
use std::net::SocketAddr;
use std::time::Duration;

const GRANT: Duration = Duration::from_millis(1_500);
const BOUND: Duration = Duration::from_millis(1_530);

fn config() -> GranterConfig {
    GranterConfig {
        group: GroupId(0),
        renewal: Duration::from_millis(400),
        grant: GRANT,
        grant_bound: BOUND,
        guards: GranterGuards::default(),
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn name() -> ServerName {
    ServerName::from("server")
}

fn fence(index: u64) -> Fence {
    Fence::new(Generation(1), Term(1), LogIndex(index))
}

fn full_range_slice() -> GrantedSlice {
    GrantedSlice {
        range: SliceRange::ALL,
        fence: fence(5),
    }
}

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

/// Delivers messages between the two without delay; both use the same clock.
fn exchange(granter: &mut Granter, table: &mut GrantTable, now: Time) {
    for _ in 0..3 {
        for pending in granter.poll(now, true) {
            let reply = table.handle(now, &pending.request);
            granter.handle(now, &name(), &reply, true);
        }
    }
}

/// Returns a granter past its wait for previous leaders' grants, and a server
/// that was granted the whole hash space at 10 s.
fn granted_server() -> (Granter, GrantTable) {
    let mut granter = Granter::new(config(), Generation(1), Term(1), at(0));
    let mut table = GrantTable::new(Incarnation(7));
    granter.set_servers(at(10_000), [(name(), address(), vec![full_range_slice()])]);
    exchange(&mut granter, &mut table, at(10_000));
    exchange(&mut granter, &mut table, at(10_400));
    (granter, table)
}

#[test]
fn a_grant_expires_on_the_servers_clock() {
    let (_, table) = granted_server();
    let key = KeyHash::of("key");
    assert!(table.is_owner(at(10_500), key));
    // The grant at 10.4 s is based on the clock reading in the previous reply.
    assert!(table.is_owner(at(11_499), key));
    assert!(!table.is_owner(at(11_501), key));
}

#[test]
fn a_delayed_grant_is_already_expired() {
    let (mut granter, mut table) = granted_server();
    let late = granter.poll(at(10_900), true).remove(0);
    let reply = table.handle(at(20_000), &late.request);
    assert!(reply.accepted);
    assert!(!table.is_owner(at(20_000), KeyHash::of("key")));
}

#[test]
fn a_grant_for_another_run_is_refused() {
    let (mut granter, _) = granted_server();
    let renewal = granter.poll(at(10_900), true).remove(0);
    let mut restarted = GrantTable::new(Incarnation(8));
    let reply = restarted.handle(at(10_900), &renewal.request);
    assert!(!reply.accepted);
    assert_eq!(reply.incarnation, Incarnation(8));
}

#[test]
fn a_new_run_waits_for_the_previous_runs_grants_to_expire() {
    let (mut granter, _) = granted_server();
    let mut restarted = GrantTable::new(Incarnation(8));
    exchange(&mut granter, &mut restarted, at(10_900));
    assert!(!restarted.is_owner(at(10_950), KeyHash::of("key")));
    exchange(&mut granter, &mut restarted, at(12_100));
    exchange(&mut granter, &mut restarted, at(12_600));
    assert!(restarted.is_owner(at(12_600), KeyHash::of("key")));
}

#[test]
fn a_fence_lower_than_the_highest_seen_is_refused() {
    let (mut granter, mut table) = granted_server();
    let old = granter.poll(at(10_900), true).remove(0);
    let mut next = Granter::new(config(), Generation(1), Term(2), at(10_900));
    next.set_servers(at(10_900), [(name(), address(), Vec::new())]);
    exchange(&mut next, &mut table, at(10_910));
    assert!(!table.handle(at(10_920), &old.request).accepted);
    let ticket = table.admit(at(10_920), KeyHash::of("key"), fence(5));
    assert_eq!(ticket, Err(Refusal::NotOwner));
}

#[test]
fn requests_must_carry_the_fence_of_the_grant() {
    let (_, mut table) = granted_server();
    let wrong = table.admit(at(10_500), KeyHash::of("key"), fence(4));
    assert_eq!(wrong, Err(Refusal::Fence));
    assert!(
        table
            .admit(at(10_500), KeyHash::of("key"), fence(5))
            .is_ok()
    );
}

#[test]
fn an_effect_requires_a_valid_grant_when_it_commits() {
    let (_, mut table) = granted_server();
    let ticket = table
        .admit(at(10_500), KeyHash::of("key"), fence(5))
        .expect("granted");
    assert!(table.may_commit(at(10_600), ticket));
    assert!(!table.may_commit(at(12_500), ticket));
}

#[test]
fn a_revoked_slice_is_free_once_in_flight_requests_finish() {
    let (mut granter, mut table) = granted_server();
    let ticket = table
        .admit(at(10_500), KeyHash::of("key"), fence(5))
        .expect("granted");
    granter.set_servers(at(10_510), [(name(), address(), Vec::new())]);
    exchange(&mut granter, &mut table, at(10_510));
    assert!(!granter.is_free(at(10_520), &name(), SliceRange::ALL));
    assert!(
        table.may_commit(at(10_520), ticket),
        "an admitted request may complete"
    );
    table.finish(at(10_530), ticket);
    exchange(&mut granter, &mut table, at(10_530));
    assert!(granter.is_free(at(10_540), &name(), SliceRange::ALL));
}

#[test]
fn an_unresponsive_owners_slices_are_free_only_after_its_grants_expire() {
    let (mut granter, _) = granted_server();
    granter.set_servers(at(10_500), [(name(), address(), Vec::new())]);
    assert!(!granter.is_free(at(11_500), &name(), SliceRange::ALL));
    assert!(granter.is_free(at(10_000) + BOUND, &name(), SliceRange::ALL));
}

#[test]
fn a_new_leader_waits_for_unknown_grants_to_expire() {
    let mut next = Granter::new(config(), Generation(1), Term(2), at(20_000));
    next.set_servers(at(20_000), [(name(), address(), Vec::new())]);
    assert!(!next.is_free(at(21_500), &name(), SliceRange::ALL));
    assert!(next.is_free(at(20_000) + BOUND, &name(), SliceRange::ALL));
}

#[test]
fn a_new_leader_renews_grants_still_held() {
    let (_, mut table) = granted_server();
    let mut next = Granter::new(config(), Generation(1), Term(2), at(10_900));
    next.set_servers(at(10_900), [(name(), address(), vec![full_range_slice()])]);
    exchange(&mut next, &mut table, at(10_910));
    assert!(table.is_owner(at(12_300), KeyHash::of("key")));
}

#[test]
fn a_new_generation_renews_no_earlier_grants() {
    let (_, mut table) = granted_server();
    let mut next = Granter::new(config(), Generation(2), Term(1), at(10_900));
    next.set_servers(at(10_900), [(name(), address(), vec![full_range_slice()])]);
    let probe = next.poll(at(10_910), true).remove(0);
    next.handle(
        at(10_910),
        &name(),
        &table.handle(at(10_910), &probe.request),
        true,
    );
    let second = next.poll(at(11_400), true).remove(0);
    assert_eq!(second.request.incarnation, None, "still a probe");
}

#[test]
fn without_a_lease_nothing_is_sent_and_clock_readings_are_ignored() {
    let (mut granter, mut table) = granted_server();
    assert!(granter.poll(at(10_900), false).is_empty());
    let renewal = granter.poll(at(10_900), true).remove(0);
    let reply = table.handle(at(10_900), &renewal.request);
    granter.handle(at(10_900), &name(), &reply, false);
    let next = granter.poll(at(11_400), true).remove(0);
    assert_eq!(next.request.valid_until, Some(at(10_400) + GRANT));
}

#[test]
fn an_unchanged_set_is_not_resent() {
    let (mut granter, _) = granted_server();
    let renewal = granter.poll(at(10_900), true).remove(0);
    assert_eq!(renewal.request.set, GrantSet::Unchanged);
}
