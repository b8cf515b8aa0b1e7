//! Which nodes are relays.

use beamtray_router::core::{NodeRecord, Relays};
use std::collections::BTreeMap;

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

fn named(records: Vec<NodeRecord>) -> BTreeMap<String, NodeRecord> {
    let named = records.into_iter().map(|one| (one.name.clone(), one));
    named.collect()
}

#[test]
fn each_zone_has_relays_and_large_ones_have_more() {
    let mut records = nodes("a", 3, |_| 200);
    records.extend(nodes("bb", 8, |_| 200));
    records.extend(nodes("ccc", 100, |_| 200));
    let relays = Relays::choose(&named(records));
    let counts = ["a", "bb", "ccc"].map(|zone| relays.of_zone(zone).len());
    assert_eq!(counts, [1, 2, 3]);
    assert_eq!(relays.of_others("ccc").count(), 3);
}

#[test]
fn the_ablest_nodes_come_first() {
    let records = nodes("a", 20, |index| if index >= 18 { 500 } else { 100 });
    let able = [records[18].peers, records[19].peers];
    let relays = Relays::choose(&named(records));
    assert!(
        relays.of_zone("a")[..2]
            .iter()
            .all(|one| able.contains(one))
    );
}

#[test]
fn a_node_that_leaves_is_replaced_and_nobody_else_moves() {
    let records = nodes("a", 20, |_| 200);
    let before = Relays::choose(&named(records.clone()));
    let first = before.of_zone("a")[0];
    let left: Vec<NodeRecord> = records
        .into_iter()
        .filter(|one| one.peers != first)
        .collect();
    let after = Relays::choose(&named(left));
    assert_eq!(after.of_zone("a")[..2], before.of_zone("a")[1..]);
}
