//! Choice of relays, and the age of the store contact that they report.

use beamtray_router::core::{NodeRecord, RelayContacts, RelayRole, Relays};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

fn nodes(zone: &str, count: u8, capacity: impl Fn(u8) -> u32) -> Vec<NodeRecord> {
    let record = |index: u8| NodeRecord {
        name: format!("{zone}-{index}"),
        run: 1,
        zone: zone.to_owned(),
        peers: ([10, 0, zone.len() as u8, index], 7_000).into(),
        capacity: capacity(index),
        declines_standby: false,
    };
    (0..count).map(record).collect()
}

fn by_name(records: Vec<NodeRecord>) -> BTreeMap<String, NodeRecord> {
    let by_name = records.into_iter().map(|one| (one.name.clone(), one));
    by_name.collect()
}

#[test]
fn each_zone_has_relays_and_large_ones_have_more() {
    let mut records = nodes("a", 3, |_| 200);
    records.extend(nodes("bb", 8, |_| 200));
    records.extend(nodes("ccc", 100, |_| 200));
    let relays = Relays::choose(&by_name(records));
    let counts = ["a", "bb", "ccc"].map(|zone| relays.in_zone(zone).len());
    assert_eq!(counts, [1, 2, 3]);
    assert_eq!(relays.in_other_zones("ccc").count(), 3);
}

#[test]
fn nodes_with_the_most_capacity_come_first() {
    let records = nodes("a", 20, |index| if index >= 18 { 500 } else { 100 });
    let expected = [records[18].peers, records[19].peers];
    let relays = Relays::choose(&by_name(records));
    assert!(
        relays.in_zone("a")[..2]
            .iter()
            .all(|one| expected.contains(one))
    );
}

/// Roles of the nodes of a zone: the relays in their order, and any other node.
fn roles(records: Vec<NodeRecord>) -> Vec<RelayRole> {
    let relays = Relays::choose(&by_name(records.clone()));
    let chosen = relays.in_zone("a").to_vec();
    let mut others = records.iter().map(|one| one.peers);
    let other = others.find(|address| !chosen.contains(address));
    let addresses = chosen.iter().copied().chain(other);
    addresses.map(|one| relays.role("a", &one)).collect()
}

// Guards against a preferred granter whose processor time goes into the reports of its zone.
#[test]
fn a_first_relay_is_loaded_where_it_has_little_processor_time_for_its_zone() {
    use RelayRole::{LoadedFirst, Ordinary, Relay};
    let small = roles(nodes("a", 26, |_| 100));
    assert_eq!(small, [LoadedFirst, Relay, Relay, Ordinary]);
    let roomy = roles(nodes("a", 26, |index| if index == 0 { 500 } else { 100 }));
    assert_eq!(roomy, [Relay, Relay, Relay, Ordinary]);
    let only = roles(nodes("a", 3, |_| 10));
    assert_eq!(only, [Relay, Ordinary]);
}

#[test]
fn a_node_that_leaves_is_replaced_and_nobody_else_moves() {
    let records = nodes("a", 20, |_| 200);
    let before = Relays::choose(&by_name(records.clone()));
    let first = before.in_zone("a")[0];
    let left: Vec<NodeRecord> = records
        .into_iter()
        .filter(|one| one.peers != first)
        .collect();
    let after = Relays::choose(&by_name(left));
    assert_eq!(after.in_zone("a")[..2], before.in_zone("a")[1..]);
}

/// One zone's relay follows the store for the whole site. All nodes compute the same order of
/// zones: the one whose best node has the most capacity comes first.
#[test]
fn all_nodes_agree_on_the_order_of_zones() {
    let mut records = nodes("a", 20, |_| 200);
    records.extend(nodes("bb", 20, |_| 500));
    let relays = Relays::choose(&by_name(records));
    assert_eq!(relays.in_zones_before("bb").count(), 0);
    let before: Vec<_> = relays.in_zones_before("a").collect();
    assert_eq!(before, relays.in_zone("bb"));
}

/// Guards against two relays that hear only each other and never follow the store again: the
/// age of a relayed contact only grows.
#[test]
fn the_age_of_a_relayed_contact_only_grows() {
    let one = ([10, 0, 0, 1], 7_000).into();
    let other = ([10, 0, 0, 2], 7_000).into();
    let mut at_one = RelayContacts::default();
    let mut at_other = RelayContacts::default();
    at_one.record(Time(0), other, Duration::from_millis(100), None);
    let mut now = Time(0);
    let mut rounds = 0;
    loop {
        now = now + Duration::from_millis(200);
        let Some(contact) = at_one.freshest_of(now, [other].into_iter()) else {
            break;
        };
        at_other.record(now, one, contact.age, contact.failure_age);
        let Some(contact) = at_other.freshest_of(now, [one].into_iter()) else {
            break;
        };
        at_one.record(now, other, contact.age, contact.failure_age);
        rounds += 1;
        assert!(rounds < 10);
    }
    assert_eq!(now, Time(1_000_000));
}

/// What a node knows is as old as the store's response to the relay, not as the relay's message.
#[test]
fn the_latest_contact_is_that_of_the_relay_with_the_store() {
    let relay = ([10, 0, 0, 1], 7_000).into();
    let mut contacts = RelayContacts::default();
    assert_eq!(contacts.latest_contact(Time(0)), None);
    contacts.record(Time(2_000_000), relay, Duration::from_millis(400), None);
    assert_eq!(
        contacts.latest_contact(Time(2_300_000)),
        Some(Time(1_600_000))
    );
    assert_eq!(contacts.latest_contact(Time(9_000_000)), None);
}
