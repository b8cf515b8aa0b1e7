//! Handling of missing and late registrations.

use beamtray_catalog::{
    Directory, DirectoryChange, DirectoryPolicy, UpstreamId, UpstreamName, UpstreamRecord,
    UpstreamState,
};
use beamtray_types::Time;
use std::time::Duration;

const POLICY: DirectoryPolicy = DirectoryPolicy {
    outage_grace: Duration::from_millis(500),
    reregistration_timeout: Duration::from_millis(1_600),
};

fn id(number: u16) -> UpstreamId {
    UpstreamId::from(format!("u{number}"))
}

fn record(number: u16, port: u16) -> UpstreamRecord {
    UpstreamRecord {
        id: id(number),
        service: "service".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "zone".into(),
        slots: 2,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
    }
}

fn directory(count: u16) -> Directory {
    let mut directory = Directory::new(POLICY);
    for number in 0..count {
        directory.register(Time::ZERO, record(number, 8_000 + number));
    }
    directory
}

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

#[test]
fn missing_registration_is_removed_when_the_store_is_healthy() {
    let mut directory = directory(10);
    let changes = directory.handle_missing(at(10_000), &[id(3).name]);
    assert_eq!(changes, [DirectoryChange::Removed(id(3))]);
    assert!(directory.get(&id(3)).is_none());
}

#[test]
fn registrations_lost_together_stay_unconfirmed() {
    let mut directory = directory(10);
    let names: Vec<UpstreamName> = (0..8).map(|number| id(number).name).collect();
    directory.handle_missing(at(10_000), &names);
    assert_eq!(directory.iter().count(), 10);
    directory.register(at(11_000), record(0, 8_000));
    directory.expire(at(11_599));
    assert_eq!(directory.iter().count(), 10);
    directory.expire(at(11_600));
    assert_eq!(directory.iter().count(), 3);
}

#[test]
fn registration_missing_after_a_store_failure_stays_unconfirmed() {
    let mut directory = directory(10);
    directory.note_store_failure(at(10_000));
    let changes = directory.handle_missing(at(10_400), &[id(3).name]);
    assert_eq!(changes, [DirectoryChange::Unconfirmed(id(3))]);
    directory.expire(at(12_000));
    assert!(directory.get(&id(3)).is_none());
}

/// Guards against a node that still sends requests to an upstream 2.4 s after that left,
/// because a store call of the node failed some seconds before.
#[test]
fn unconfirmed_period_ends_before_the_node_counts_as_connected() {
    let contact = Duration::from_millis(3_000);
    let detection_delay = Duration::from_millis(900);
    let mut directory = directory(10);
    let outage_end = at(10_000);
    directory.note_store_failure(outage_end + detection_delay);
    let last_inconclusive =
        outage_end + detection_delay + POLICY.outage_grace - Duration::from_millis(1);
    directory.handle_missing(last_inconclusive, &[id(3).name]);
    directory.expire(outage_end + contact);
    assert!(directory.get(&id(3)).is_none());
}

#[test]
fn draining_upstream_is_removed_even_after_a_store_failure() {
    let mut directory = directory(10);
    let mut draining = record(3, 8_003);
    draining.state = UpstreamState::Draining;
    directory.register(at(1_000), draining);
    directory.note_store_failure(at(10_000));
    let changes = directory.handle_missing(at(10_100), &[id(3).name]);
    assert_eq!(changes, [DirectoryChange::Removed(id(3))]);
}

/// Guards against a late write of a terminated upstream that makes the current user of its
/// address look replaced: its keys were reassigned while it was still working on them.
#[test]
fn registration_at_the_same_address_does_not_replace_another() {
    let mut directory = directory(3);
    directory.register(at(5_000), record(77, 8_001));
    assert!(directory.get(&id(1)).is_some());
    assert!(directory.get(&id(77)).is_some());
}

#[test]
fn late_write_does_not_restore_an_upstream_found_terminated() {
    let mut directory = directory(3);
    let change = directory.confirm_terminated(at(5_000), &id(1));
    assert_eq!(change, Some(DirectoryChange::Removed(id(1))));
    assert!(directory.register(at(9_000), record(1, 8_001)).is_empty());
    assert!(directory.get(&id(1)).is_none());
}

/// An entry written before the upstreams went cold may be received afterwards.
#[test]
fn upstreams_of_a_readmitted_zone_are_cold_whatever_their_entries_say() {
    let mut directory = directory(2);
    let warm_up = |_: &_| Duration::from_millis(3_000);
    assert_eq!(directory.readmit(at(900), "zone".into(), warm_up), None);
    directory.evacuate(at(1_000), "zone".into());
    assert_eq!(directory.evacuate(at(1_100), "zone".into()), None);
    let known = directory.get(&id(0)).expect("it is registered");
    assert_eq!(directory.evacuated_since(known), Some(at(1_000)));
    let readmitted = directory.readmit(at(9_000), "zone".into(), warm_up);
    assert_eq!(readmitted, Some(DirectoryChange::Readmitted("zone".into())));
    directory.register(at(9_100), record(0, 8_000));
    for number in 0..2 {
        let known = directory.get(&id(number)).expect("it is registered");
        assert_eq!(directory.evacuated_since(known), None);
        assert_eq!(known.warm_at, at(12_000));
    }
}

/// Guards against a leaving upstream that becomes ready again because of an older entry: one
/// that the store has reverted to, or one written before the response that reported leaving.
#[test]
fn older_entry_does_not_make_a_leaving_upstream_ready() {
    let mut directory = directory(3);
    let mut leaving = record(0, 8_000);
    leaving.state = UpstreamState::Draining;
    directory.register(at(1_000), leaving);
    directory.mark_leaving(at(1_000), &id(1));
    for number in 0..3 {
        directory.register(at(2_000), record(number, 8_000 + number));
    }
    let state = |number| directory.get(&id(number)).map(|one| one.record.state);
    assert_eq!(state(0), Some(UpstreamState::Draining));
    assert_eq!(state(1), Some(UpstreamState::Draining));
    assert_eq!(state(2), Some(UpstreamState::Ready));
}

/// As above, after the upstream's entry was missing for a while.
#[test]
fn leaving_upstream_stays_draining_after_its_entry_was_missing() {
    let mut directory = directory(3);
    directory.mark_leaving(at(1_000), &id(1));
    directory.handle_missing(at(2_000), &[id(1).name]);
    directory.expire(at(4_000));
    directory.register(at(5_000), record(1, 8_001));
    let state = directory.get(&id(1)).map(|one| one.record.state);
    assert_eq!(state, Some(UpstreamState::Draining));
}
