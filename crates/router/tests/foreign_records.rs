//! Behaviour when another writer has modified the router's own records.

use beamtray_adapter::Platform;
use beamtray_catalog::{DirectoryPolicy, UpstreamId, UpstreamRecord, UpstreamState};
use beamtray_dialect::Dialect;
use beamtray_emulator::{StoreEmulator, StoreReply};
use beamtray_metastore::{Epoch, GranterRecord, Item, Revision, StoreEvent, StoreOutcome};
use beamtray_router::core::{Input, NodeCore, NodeRecord, Output, RouterKeys, ViewName, Views};
use beamtray_routersim::{SimDialect, World, default_settings};
use beamtray_sharding::{
    AssignmentRecord, FencingToken, GrantOrder, OrderKind, Part, SliceRecord, SliceState,
};
use beamtray_types::{ServiceName, Time};
use quickcheck::quickcheck;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const KEYED: &str = "keyed";
/// Less than the hold of a grant, in milliseconds.
const WITHIN_HOLD: u64 = 1_500;
/// Longer than any grant of the previous granter may last.
const AFTER_HOLD: u64 = 9_000;
/// Less than the time for which a standby may prolong holds, plus the last hold that it may
/// order.
const WITHIN_STANDBY_SPAN: u64 = 11_000;
/// More than the time for which a standby may prolong holds, plus the last hold that it may
/// order.
const AFTER_STANDBY_SPAN: u64 = 18_000;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn upstream(name: &str, port: u16) -> UpstreamRecord {
    UpstreamRecord {
        id: UpstreamId::from(name.to_owned()),
        service: KEYED.into(),
        address: address(port),
        zone: "a".into(),
        slots: 2,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
    }
}

/// A store in which the upstream `one` holds all keys, and `two` none.
fn store(dialect: &SimDialect) -> StoreEmulator {
    let mut store = StoreEmulator::new(Duration::from_secs(20));
    let keys = dialect.keys();
    let configuration = dialect.encode_configuration(World::default_configuration());
    store.put(at(0), keys.configuration, configuration);
    for record in [upstream("one", 9_001), upstream("two", 9_002)] {
        let key = format!("{}{}", keys.upstream_prefix, record.id);
        store.put(at(0), &key, dialect.encode_upstream(record));
    }
    let slices = Part::all().map(|part| SliceRecord {
        range: part.range(),
        state: SliceState::Held {
            holder: UpstreamId::from("one".to_owned()),
            token: FencingToken(5),
        },
    });
    let record = AssignmentRecord {
        epoch: Epoch(1),
        sequence: 1,
        standbys: Vec::new(),
        unfenced: Vec::new(),
        doubted: Vec::new(),
        slices: slices.collect(),
    };
    let service = ServiceName::from(KEYED);
    let head = borsh::to_vec(&record.head()).expect("in memory");
    store.put(at(0), &RouterKeys::assignment_head(&service), head);
    for part in record.parts() {
        let key = RouterKeys::assignment_part(&service, part.part);
        store.put(at(0), &key, borsh::to_vec(&part).expect("in memory"));
    }
    store.put(
        at(0),
        RouterKeys::EPOCH,
        borsh::to_vec(&Epoch(1)).expect("in memory"),
    );
    store
}

/// Runs a node that becomes the granter and returns its orders, none of which is answered.
fn orders(store: &mut StoreEmulator, dialect: SimDialect, until: u64) -> Vec<GrantOrder> {
    let mut core = NodeCore::new(default_settings(0).core_config(3), Rc::new(dialect));
    let mut orders = Vec::new();
    let mut inputs = vec![Input::Tick];
    for millis in 0..until {
        store.advance(at(millis));
        for input in std::mem::take(&mut inputs) {
            for output in core.handle(at(millis), input) {
                match output {
                    Output::Order(task, _) => orders.push(task.order),
                    Output::Store(task, call) => {
                        if let StoreReply::Done(outcome) = store.call(at(millis), &call) {
                            inputs.push(Input::Store { task, outcome });
                        }
                    }
                    _ => {}
                }
            }
        }
        inputs.push(Input::Tick);
    }
    assert!(core.inspect().1.is_granter(at(until)));
    orders
}

/// Orders of a granter that takes over a record with one unreadable part.
fn orders_with_unreadable(part: Part, until: u64) -> Vec<GrantOrder> {
    let dialect = SimDialect::default();
    let mut store = store(&dialect);
    let key = RouterKeys::assignment_part(&KEYED.into(), part);
    store.put(at(0), &key, b"not a part".to_vec());
    orders(&mut store, dialect, until)
}

#[test]
fn keys_of_an_unreadable_part_are_granted_to_nobody_else_before_their_grants_expire() {
    let part = Part::from_number(3).expect("a part");
    let orders = orders_with_unreadable(part, WITHIN_HOLD);
    let other = |order: &&GrantOrder| {
        let is_grant = matches!(order.kind, OrderKind::Grant { .. });
        is_grant && order.range.overlaps(part.range()) && order.holder.name.0 != "one"
    };
    assert!(!orders.is_empty(), "the granter did nothing");
    assert_eq!(orders.iter().find(other), None);
}

#[test]
fn keys_of_an_unreadable_part_are_granted_once_their_grants_have_expired() {
    let part = Part::from_number(3).expect("a part");
    let orders = orders_with_unreadable(part, AFTER_HOLD);
    let is_granted = |order: &GrantOrder| {
        matches!(order.kind, OrderKind::Grant { .. }) && order.range.overlaps(part.range())
    };
    assert!(orders.iter().any(is_granted));
}

/// Guards against waiting for unknown grants where the store was never rolled back: the first
/// granter was lost before it had written its record completely, so the missing part was never
/// granted.
#[test]
fn keys_that_no_record_of_the_first_era_names_are_granted_at_once() {
    let part = Part::from_number(3).expect("a part");
    let dialect = SimDialect::default();
    let mut store = store(&dialect);
    let service = KEYED.into();
    store.delete(at(0), &RouterKeys::assignment_part(&service, part));
    store.delete(at(0), &RouterKeys::assignment_head(&service));
    let orders = orders(&mut store, dialect, WITHIN_HOLD);
    let is_granted = |order: &GrantOrder| {
        matches!(order.kind, OrderKind::Grant { .. }) && order.range.overlaps(part.range())
    };
    assert!(orders.iter().any(is_granted));
}

/// Whether keys of a holder that is no longer registered and does not answer are granted to
/// another upstream before `until`.
fn regrants_keys(head: Option<&[u8]>, until: u64) -> bool {
    let dialect = SimDialect::default();
    let mut store = store(&dialect);
    let entry = format!("{}one", dialect.keys().upstream_prefix);
    store.put(at(0), &entry, Vec::new());
    if let Some(value) = head {
        let key = RouterKeys::assignment_head(&KEYED.into());
        store.put(at(0), &key, value.to_vec());
    }
    let orders = orders(&mut store, dialect, until);
    let is_other = |order: &GrantOrder| {
        matches!(order.kind, OrderKind::Grant { .. }) && order.holder.name.0 != "one"
    };
    orders.iter().any(is_other)
}

/// The head names the standbys, which may prolong the holds for 11 s after their last contact.
#[test]
fn without_a_readable_head_a_silent_holder_keeps_its_keys_while_a_standby_may_prolong_them() {
    assert!(regrants_keys(None, WITHIN_STANDBY_SPAN));
    assert!(!regrants_keys(Some(b"no head"), WITHIN_STANDBY_SPAN));
    assert!(regrants_keys(Some(b"no head"), AFTER_STANDBY_SPAN));
}

/// Tokens must rise with the epoch: a lower one would let two upstreams hold the same key.
#[test]
fn tokens_rise_although_the_epoch_is_unreadable() {
    for value in [b"".to_vec(), b"seven".to_vec(), vec![0xff; 8]] {
        let dialect = SimDialect::default();
        let mut store = store(&dialect);
        for _ in 0..50 {
            // Writes of earlier epochs.
            store.put(
                at(0),
                RouterKeys::EPOCH,
                borsh::to_vec(&Epoch(9)).expect("in memory"),
            );
        }
        store.put(at(0), RouterKeys::EPOCH, value.clone());
        let orders = orders(&mut store, dialect, WITHIN_HOLD);
        let highest = FencingToken::new(Epoch(9), 1 << 20);
        let fresh = orders.iter().filter(|order| order.token != FencingToken(5));
        let tokens: Vec<FencingToken> = fresh.map(|order| order.token).collect();
        assert!(
            tokens.iter().all(|token| *token > highest),
            "{value:?}: {tokens:?}"
        );
    }
}

fn views() -> Views {
    let policy = DirectoryPolicy {
        outage_grace: Duration::from_millis(500),
        reregistration_timeout: Duration::from_millis(1_600),
    };
    let mut views = Views::new(Rc::new(Platform), policy, Duration::from_secs(8));
    for view in ViewName::ALL {
        let empty = StoreOutcome::Page {
            items: Vec::new(),
            more: false,
            at: Revision::new(1),
        };
        views.handle(at(1), view, 0, empty);
    }
    views
}

fn write(views: &mut Views, view: ViewName, key: &str, value: Vec<u8>, revision: u64) {
    let item = Item {
        key: key.to_owned(),
        value,
        revision: Revision::new(revision),
    };
    let events = StoreOutcome::Events {
        events: vec![StoreEvent::Put(item)],
        at: Revision::new(revision),
    };
    views.handle(at(revision), view, 0, events);
}

fn node(name: &str) -> NodeRecord {
    NodeRecord {
        name: name.to_owned(),
        run: 1,
        zone: "a".to_owned(),
        peers: address(7_001),
        capacity: 100,
        declines_standby: false,
    }
}

/// Keys of the router's own records, each with the view that contains it.
fn own_keys() -> Vec<(ViewName, String)> {
    let service = ServiceName::from(KEYED);
    let part = Part::from_number(3).expect("a part");
    vec![
        (ViewName::Members, RouterKeys::node("other")),
        (ViewName::Members, RouterKeys::GRANTER.to_owned()),
        (ViewName::State, RouterKeys::assignment_head(&service)),
        (ViewName::State, RouterKeys::assignment_part(&service, part)),
        (ViewName::State, RouterKeys::SPEEDS.to_owned()),
        (ViewName::State, RouterKeys::SUSPICIONS.to_owned()),
        (ViewName::State, format!("{}foreign", RouterKeys::STATE)),
        (ViewName::Members, format!("{}foreign", RouterKeys::MEMBERS)),
    ]
}

#[test]
fn an_unreadable_record_is_counted() {
    for (view, key) in own_keys().into_iter().take(6) {
        let mut views = views();
        write(&mut views, view, &key, b"?".to_vec(), 2);
        assert_eq!(views.unusable(view).unreadable, 1, "{key}");
    }
}

#[test]
fn an_unreadable_node_or_granter_record_is_dropped() {
    let mut views = views();
    let record = node("other");
    let granter = GranterRecord {
        node: "other".to_owned(),
        run: 1,
        epoch: Epoch(4),
        peer_address: record.peers,
    };
    let [key, other] = [RouterKeys::node("other"), RouterKeys::node("third")];
    let encoded = borsh::to_vec(&record).expect("in memory");
    write(&mut views, ViewName::Members, &key, encoded, 2);
    let encoded = borsh::to_vec(&node("third")).expect("in memory");
    write(&mut views, ViewName::Members, &other, encoded, 3);
    let encoded = borsh::to_vec(&granter).expect("in memory");
    write(
        &mut views,
        ViewName::Members,
        RouterKeys::GRANTER,
        encoded,
        4,
    );
    assert!(views.granter.is_some());
    write(&mut views, ViewName::Members, &key, b"?".to_vec(), 5);
    write(
        &mut views,
        ViewName::Members,
        RouterKeys::GRANTER,
        b"?".to_vec(),
        6,
    );
    let known: Vec<&String> = views.nodes.keys().collect();
    assert_eq!(known, ["third"]);
    assert_eq!(views.granter, None);
}

#[test]
fn invalid_speeds_are_rejected() {
    let record = |slowness: f32| beamtray_dispatch::SpeedRecord {
        upstreams: vec![beamtray_dispatch::UpstreamSpeed {
            upstream: beamtray_dispatch::UpstreamHash(1),
            slowness,
        }],
        routes: Vec::new(),
        services: Vec::new(),
    };
    for (slowness, is_accepted) in [
        (1.5, true),
        (f32::NAN, false),
        (f32::INFINITY, false),
        (-1.0, false),
    ] {
        let mut views = views();
        // The record's encoder rejects NaN.
        let Ok(value) = borsh::to_vec(&record(slowness)) else {
            continue;
        };
        write(&mut views, ViewName::State, RouterKeys::SPEEDS, value, 2);
        assert_eq!(views.speeds.is_some(), is_accepted, "{slowness}");
    }
}

quickcheck! {
    /// Any bytes under any key leave the record of another node intact.
    fn any_bytes_leave_other_records_intact(values: Vec<Vec<u8>>) -> bool {
        let mut views = views();
        let key = RouterKeys::node("third");
        let encoded = borsh::to_vec(&node("third")).expect("in memory");
        write(&mut views, ViewName::Members, &key, encoded, 2);
        let mut revision = 2;
        for value in values {
            for (view, key) in own_keys() {
                revision += 1;
                write(&mut views, view, &key, value.clone(), revision);
            }
        }
        views.nodes.contains_key("third")
    }

    /// A record that is truncated or has one changed byte.
    fn a_damaged_assignment_leaves_consistent_state(cut: usize, index: usize, mask: u8) -> bool {
        let slices = Part::all().map(|part| SliceRecord {
            range: part.range(),
            state: SliceState::Held {
                holder: UpstreamId::from("one".to_owned()),
                token: FencingToken(5),
            },
        });
        let record = AssignmentRecord {
            epoch: Epoch(1),
            sequence: 1,
            standbys: Vec::new(),
            unfenced: Vec::new(),
            doubted: Vec::new(),
            slices: slices.collect(),
        };
        let mut views = views();
        let service = ServiceName::from(KEYED);
        for (number, part) in record.parts().iter().enumerate() {
            let mut value = borsh::to_vec(part).expect("in memory");
            let length = value.len();
            value[index % length] ^= mask;
            value.truncate(length - cut % 3);
            let key = RouterKeys::assignment_part(&service, part.part);
            write(&mut views, ViewName::State, &key, value, 2 + number as u64);
        }
        // Whatever was accepted is consistent.
        let known = views.assignments.get(&service);
        known.is_none_or(|known| known.held_share() <= 1.0 && known.to_record().is_some())
    }
}
