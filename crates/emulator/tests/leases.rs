//! Tests of the leases under which an emulated upstream runs requests.

use beamtray_catalog::UpstreamId;
use beamtray_emulator::{
    Arrival, Delivery, FullPolicy, RunId, UpstreamConfig, UpstreamEmulator, WorkRequest,
};
use beamtray_sharding::{
    CallId, FencingToken, GrantOrder, GrantReply, KeyRange, OrderKind, ShardKey,
};
use beamtray_types::{ServiceName, Time};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const KEY: ShardKey = ShardKey(40);
const HOLD: Duration = Duration::from_secs(3);
const BEFORE_EXPIRY: Time = Time(2_000_000);
const AFTER_EXPIRY: Time = Time(4_000_000);

fn id() -> UpstreamId {
    UpstreamId::from("u".to_owned())
}

fn upstream() -> UpstreamEmulator {
    UpstreamEmulator::new(UpstreamConfig {
        id: id(),
        service: ServiceName::from("keyed"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8000)),
        zone: "a".into(),
        slots: 2,
        queue: 2,
        is_sharded: true,
        full: FullPolicy::Shed,
        slowness_percent: 100,
    })
}

fn order(token: u64, kind: OrderKind) -> GrantOrder {
    GrantOrder {
        call: CallId(token),
        holder: id(),
        range: KeyRange::ALL,
        token: FencingToken(token),
        kind,
    }
}

fn grant(token: u64) -> GrantOrder {
    let handover = None;
    order(
        token,
        OrderKind::Grant {
            hold: HOLD,
            handover,
        },
    )
}

/// Returns an upstream that accepted a grant at time zero and is running a request for [`KEY`].
fn upstream_with_running_request(delivery: Delivery) -> (UpstreamEmulator, RunId) {
    let mut upstream = upstream();
    let reply = upstream.deliver_order(Time::ZERO, &grant(1), delivery);
    assert_eq!(reply, Some(GrantReply::Granted));
    let request = WorkRequest {
        id: "request".to_owned(),
        key: Some(KEY),
        target: id(),
        work: Duration::from_secs(10),
    };
    match upstream.arrive(Time(1_000_000), request) {
        Arrival::Runs(run) => (upstream, run.id),
        other => panic!("{other:?}"),
    }
}

#[test]
fn work_counts_while_its_lease_runs() {
    let (upstream, _) = upstream_with_running_request(Delivery::default());
    assert!(upstream.is_working_under_lease(BEFORE_EXPIRY, KeyRange::ALL));
    assert!(!upstream.is_working_under_lease(AFTER_EXPIRY, KeyRange::ALL));
    let elsewhere = KeyRange {
        first: ShardKey(KEY.0 + 1),
        ..KeyRange::ALL
    };
    assert!(!upstream.is_working_under_lease(BEFORE_EXPIRY, elsewhere));
}

#[test]
fn work_counts_after_its_keys_were_given_back() {
    let (mut upstream, run) = upstream_with_running_request(Delivery::default());
    let reply = upstream.order(Time(1_500_000), &order(2, OrderKind::Release));
    assert_eq!(reply, None, "answered when the work is over");
    assert!(upstream.is_working_under_lease(BEFORE_EXPIRY, KeyRange::ALL));
    assert!(!upstream.is_working_under_lease(AFTER_EXPIRY, KeyRange::ALL));
    upstream.end(BEFORE_EXPIRY, run);
    assert_eq!(upstream.take_completed_releases(), [2]);
    assert!(!upstream.is_working_under_lease(BEFORE_EXPIRY, KeyRange::ALL));
}

#[test]
fn leases_of_grants_that_came_late_do_not_count() {
    let (upstream, _) = upstream_with_running_request(Delivery {
        is_late: true,
        is_after_recovery: false,
    });
    assert!(!upstream.is_working_under_lease(BEFORE_EXPIRY, KeyRange::ALL));
}

/// A grant delivered just after a recovery counts as held only from its renewal.
#[test]
fn a_grant_right_after_trouble_counts_from_its_renewal() {
    let mut upstream = upstream();
    let after_trouble = Delivery {
        is_late: false,
        is_after_recovery: true,
    };
    upstream.deliver_order(Time(1), &grant(1), after_trouble);
    upstream.order(Time(2), &grant(1));
    upstream.order(Time(3), &grant(1));
    let since = upstream.grant(Time(3), KEY).map(|grant| grant.since);
    assert_eq!(since, Some(Time(2)));
}
