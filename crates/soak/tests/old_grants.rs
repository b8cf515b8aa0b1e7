//! An old grant that comes after its keys went to others, with real processes.
//!
//! Seen: two upstreams held the same keys, one of them under a token below the other's. How:
//! an upstream was out of reach for some seconds; the renewals that had just been written to
//! it came a second after that, while its keys had gone to others. Cause: a router that
//! gives an order up closes its connection in the ordinary way, and the kernel goes on
//! sending what was written. A router's later orders don't come with it: no connection comes
//! up during the cut, and once the keys have gone on none is sent.

mod common;
#[path = "common/links.rs"]
mod links;

use beamtray_soak::{
    DelayedDelivery, FaultEnd, History, Observation, Promise, Report, check, clock,
};
use common::*;
use links::Links;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROUTERS: usize = 2;
const UPSTREAMS: usize = 3;
const KEYS: usize = 1 << 16;
/// Longer than a hold and its transit, and so long that what was written as it began is
/// sent again, 6.2 s later, before the upstream can have new grants of the same keys.
const CUT: Duration = Duration::from_millis(5_800);
const UNTIL_SENT_AGAIN: Duration = Duration::from_millis(1_700);
/// After all keys are held: renewals are under way at all times.
const SETTLED: Duration = Duration::from_secs(1);

type Reports = Arc<Mutex<Vec<Report>>>;

fn name(index: usize) -> String {
    format!("keyed-{index}-1")
}

/// Starts an upstream behind links of its own.
fn upstream(
    folder: &Path,
    index: usize,
    store: SocketAddr,
    driver: SocketAddr,
) -> (Links, Process) {
    let listen = free_addresses(1)[0];
    let links = Links::start(&[listen, store]);
    let upstream = Upstream {
        id: &name(index),
        listen,
        advertised: links.addresses[0],
        store: links.addresses[1],
        driver,
    };
    let process = upstream.start_in("keyed", folder);
    (links, process)
}

/// Whether upstreams have told of a grant of every key.
fn all_keys_taken(reports: &Reports) -> bool {
    let mut taken = vec![false; KEYS];
    for report in reports.lock().expect("not poisoned").iter() {
        if let Observation::GrantAccepted { first, last, .. } = report.observation {
            taken[usize::from(first)..=usize::from(last)].fill(true);
        }
    }
    taken.into_iter().all(|taken| taken)
}

#[test]
fn old_grants_come_to_nothing_after_a_cut_of_real_links() {
    let folder = folder("old-grants");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let driver = listener.local_addr().expect("an address");
    let reports = drive_and_collect(listener);
    let (store, _store) = store(&folder, driver);
    let start_router = |node| router(&folder, node, store);
    let _routers: Vec<_> = (0..ROUTERS).map(start_router).collect();
    let start_upstream = |index| upstream(&folder, index, store, driver);
    let upstreams: Vec<_> = (0..UPSTREAMS).map(start_upstream).collect();
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    while !all_keys_taken(&reports) {
        assert!(Instant::now() < deadline, "not all keys are granted");
        thread::sleep(POLL_INTERVAL);
    }
    thread::sleep(SETTLED);

    let cut_off = &upstreams[0].0;
    cut_off.cut();
    thread::sleep(CUT);
    cut_off.heal();
    let healed = FaultEnd {
        upstream: Some(name(0)),
        at: clock::now(),
    };
    thread::sleep(UNTIL_SENT_AGAIN);

    let delayed_deliveries = cut_off
        .delayed_deliveries()
        .into_iter()
        .map(|at| DelayedDelivery {
            upstream: name(0),
            at,
        });
    let history = History {
        reports: reports.lock().expect("not poisoned").clone(),
        fault_ends: vec![healed],
        delayed_deliveries: delayed_deliveries.collect(),
        ..History::default()
    };
    let mut findings = check(&history).findings;
    findings.retain(|finding| finding.promise == Promise::Owner);
    assert!(findings.is_empty(), "{findings:#?}");
}
