//! Entries that are written and removed between two answers of the store.
//!
//! Guards against requests to an upstream whose entry has been removed. The upstream rewrote its
//! entry and removed it, and both events came in one answer of the store. A node applied removals
//! first, so the write was applied last and the upstream stayed known until something else
//! removed it: two of 11 nodes, which followed the store for their zones, sent 42 and 9
//! requests to it, the last 5.6 s after the removal, where 2 s are allowed.

use beamtray_catalog::{DirectoryPolicy, UpstreamId, UpstreamRecord, UpstreamState};
use beamtray_metastore::{Item, Revision, StoreEvent, StoreOutcome};
use beamtray_router::core::{ViewName, Views};
use beamtray_routersim::SimDialect;
use beamtray_types::Time;
use std::rc::Rc;
use std::time::Duration;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

/// A node's views after reading the given view, empty at revision 10, and starting a watch.
fn watching(dialect: &SimDialect, view: ViewName) -> Views {
    let policy = DirectoryPolicy {
        outage_grace: Duration::from_millis(500),
        reregistration_timeout: Duration::from_millis(1_600),
    };
    let dialect = Rc::new(dialect.clone());
    let mut views = Views::new(dialect, policy, Duration::from_secs(8));
    for view in [ViewName::Members, view] {
        views.poll(at(0), view);
        let page = StoreOutcome::Page {
            items: Vec::new(),
            more: false,
            at: Revision::new(10),
        };
        views.handle(at(1), view, 0, page);
        views.follow(at(1), true);
        views.poll(at(2), view);
    }
    views
}

fn put(key: &str, value: &[u8], revision: u64) -> StoreEvent {
    StoreEvent::Put(Item {
        key: key.to_owned(),
        value: value.to_vec(),
        revision: Revision::new(revision),
    })
}

fn removed(key: &str, revision: u64) -> StoreEvent {
    StoreEvent::Removed {
        key: key.to_owned(),
        revision: Revision::new(revision),
    }
}

fn deliver(views: &mut Views, millis: u64, view: ViewName, events: Vec<StoreEvent>, revision: u64) {
    let outcome = StoreOutcome::Events {
        events,
        at: Revision::new(revision),
    };
    let generation = views.replica(view).generation();
    views.handle(at(millis), view, generation, outcome);
}

fn record() -> UpstreamRecord {
    UpstreamRecord {
        id: UpstreamId::from("u1".to_owned()),
        service: "pool".into(),
        address: ([10, 1, 0, 1], 8_000).into(),
        zone: "a".into(),
        slots: 2,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
    }
}

const KEY: &str = "upstreams/u1";

/// Whether the upstream is known and its entry has not been missing since.
fn is_confirmed(views: &Views) -> bool {
    let known = views.directory.get(&UpstreamId::from("u1".to_owned()));
    known.is_some_and(|known| known.unconfirmed_since.is_none())
}

#[test]
fn an_upstream_that_writes_and_removes_its_entry_is_unconfirmed() {
    let dialect = SimDialect::default();
    let mut views = watching(&dialect, ViewName::Upstreams);
    let value = dialect.encode_upstream(record());
    deliver(
        &mut views,
        100,
        ViewName::Upstreams,
        vec![put(KEY, &value, 11)],
        11,
    );
    assert!(is_confirmed(&views));
    let events = vec![put(KEY, &value, 12), removed(KEY, 13)];
    deliver(&mut views, 200, ViewName::Upstreams, events, 13);
    assert!(!is_confirmed(&views));
}

#[test]
fn an_upstream_that_removes_its_entry_and_writes_it_again_is_confirmed() {
    let dialect = SimDialect::default();
    let mut views = watching(&dialect, ViewName::Upstreams);
    let value = dialect.encode_upstream(record());
    deliver(
        &mut views,
        100,
        ViewName::Upstreams,
        vec![put(KEY, &value, 11)],
        11,
    );
    let events = vec![removed(KEY, 12), put(KEY, &value, 13)];
    deliver(&mut views, 200, ViewName::Upstreams, events, 13);
    assert!(is_confirmed(&views));
}

#[test]
fn an_evacuation_that_is_cancelled_at_once_is_over() {
    let dialect = SimDialect::default();
    let mut views = watching(&dialect, ViewName::Operator);
    let key = "operator/evacuation/a";
    let events = vec![put(key, &[], 11), removed(key, 12)];
    deliver(&mut views, 100, ViewName::Operator, events, 12);
    views.poll(at(150), ViewName::Upstreams);
    let page = StoreOutcome::Page {
        items: vec![Item {
            key: KEY.to_owned(),
            value: dialect.encode_upstream(record()),
            revision: Revision::new(9),
        }],
        more: false,
        at: Revision::new(12),
    };
    views.handle(at(160), ViewName::Upstreams, 0, page);
    let known = views.directory.get(&UpstreamId::from("u1".to_owned()));
    let known = known.expect("it is registered");
    assert_eq!(views.directory.evacuated_since(known), None);
}
