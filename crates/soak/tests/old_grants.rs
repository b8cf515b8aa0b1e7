//! An outdated grant arrives after its keys were granted to others, with real processes.
//!
//! Guards against two upstreams holding the same keys, one under a lower token. An upstream
//! was unreachable for some seconds; renewals written just before arrived a second after the
//! link was restored, when its keys had been granted to others. The router had abandoned the
//! order with an ordinary close, after which the kernel continues to retransmit. No later
//! order of the router arrives with it: connections cannot be established during the cut, and
//! none is sent once the keys are granted to others.

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
/// Longer than a hold and its transit time, but short enough that data written as the cut began
/// is retransmitted, 6.2 s later, before the upstream can receive new grants of the same keys.
const CUT: Duration = Duration::from_millis(5_800);
const UNTIL_SENT_AGAIN: Duration = Duration::from_millis(1_700);
/// Time after all keys are held, from which on renewals are always in progress.
const SETTLED: Duration = Duration::from_secs(1);

type Reports = Arc<Mutex<Vec<Report>>>;

fn name(index: usize) -> String {
    format!("keyed-{index}-1")
}

/// Starts an upstream behind its own proxies.
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

/// Whether upstreams have reported a grant of every key.
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
