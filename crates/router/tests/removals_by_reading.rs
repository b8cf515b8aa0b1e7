//! Removals that a relay learns of by reading a view again.
//!
//! Guards against nodes that go on sending to a removed upstream. The store discarded its
//! history right after the removal, so the relays' watches were answered with lost history,
//! and only the new read showed that the entry was removed. Such a removal has no revision of its
//! own and was not counted as a change, so the relays did not report it: three relays dropped
//! the upstream within 16 ms, while the other eight of eleven nodes sent to it for seconds.

use beamtray_catalog::{DirectoryPolicy, UpstreamId, UpstreamRecord, UpstreamState};
use beamtray_metastore::{Item, Revision, StoreOutcome};
use beamtray_router::core::{ViewName, Views};
use beamtray_routersim::SimDialect;
use beamtray_types::Time;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const KEYS: [&str; 2] = ["upstreams/u1", "upstreams/u2"];

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn record(id: &str, port: u16) -> UpstreamRecord {
    UpstreamRecord {
        id: UpstreamId::from(id.to_owned()),
        service: "pool".into(),
        address: ([10, 1, 0, 1], port).into(),
        zone: "a".into(),
        slots: 2,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
    }
}

fn views(dialect: &SimDialect) -> Views {
    let policy = DirectoryPolicy {
        outage_grace: Duration::from_millis(500),
        reregistration_timeout: Duration::from_millis(1_600),
    };
    Views::new(Rc::new(dialect.clone()), policy, Duration::from_secs(8))
}

fn read(views: &mut Views, millis: u64, view: ViewName, items: Vec<Item>, revision: u64) {
    views.poll(at(millis), view);
    let generation = views.replica(view).generation();
    let page = StoreOutcome::Page {
        items,
        more: false,
        at: Revision::new(revision),
    };
    views.handle(at(millis + 1), view, generation, page);
}

fn item(key: &str, value: Vec<u8>, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value,
        revision: Revision::new(revision),
    }
}

/// A removal found by a read reaches the nodes that get their copies from the relay.
#[test]
fn nodes_receive_a_removal_that_a_read_showed() {
    let dialect = SimDialect::default();
    let (mut relay, mut other) = (views(&dialect), views(&dialect));
    let both: Vec<Item> = vec![
        item(KEYS[0], dialect.encode_upstream(record("u1", 8_001)), 8),
        item(KEYS[1], dialect.encode_upstream(record("u2", 8_002)), 9),
    ];
    read(&mut relay, 0, ViewName::Members, Vec::new(), 10);
    relay.follow(at(2), true);
    read(&mut relay, 3, ViewName::Upstreams, both.clone(), 10);
    let first = relay.answer(&other.request(&[ViewName::Upstreams]));
    other.adopt(at(5), first);
    assert!(other.directory.get(&UpstreamId::from("u1")).is_some());

    relay.poll(at(100), ViewName::Upstreams);
    let generation = relay.replica(ViewName::Upstreams).generation();
    relay.handle(
        at(101),
        ViewName::Upstreams,
        generation,
        StoreOutcome::Compacted,
    );
    read(&mut relay, 102, ViewName::Upstreams, both[1..].to_vec(), 20);
    assert!(relay.directory.get(&UpstreamId::from("u1")).is_none());

    let from: SocketAddr = ([10, 2, 0, 1], 7_000).into();
    other.follow(at(110), false);
    let lacking = other.handle_revisions(at(110), from, &relay.own_revisions(None));
    let update = relay.answer(&other.request(&lacking));
    other.adopt(at(112), update);
    assert!(other.directory.get(&UpstreamId::from("u1")).is_none());
}
