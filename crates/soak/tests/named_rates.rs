//! Rate limits announced by an upstream, with real processes: three routers, the emulated
//! store, and the only upstream of a service, which announces its limit in responses.
//!
//! Guards against routers that ignore the announced limit: upstreams announced 4.5 requests
//! per second and received 12, from all of eleven routers that had forwarded such a response.
//! In this test the upstream received 105 requests in four seconds where 32 are allowed, while
//! the log of each router showed that it knew the limit.

mod common;

use beamtray_soak::{ORDER, Observation, Report};
use beamtray_types::Time;
use common::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROUTERS: usize = 3;
/// Rate limit of the upstream in requests per second.
const RATE: f64 = 4.5;
/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in the window: one and a half times the limit, and five.
const ALLOWED: f64 = RATE * 4.0 * 1.5 + 5.0;
/// How long clients send.
const LASTS: Duration = Duration::from_secs(12);
/// Interval between requests of the clients of a router.
const REQUEST_EVERY: Duration = Duration::from_millis(120);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends client requests to a router for the length of the test.
fn send(router: SocketAddr) {
    let until = Instant::now() + LASTS;
    while Instant::now() < until {
        thread::spawn(move || ask(router, "POST", &format!("{ORDER}20"), CLIENT_TIMEOUT));
        thread::sleep(REQUEST_EVERY);
    }
}

/// Arrival times of requests at upstreams, in order.
fn arrivals(told: &Arc<Mutex<Vec<Report>>>) -> Vec<Time> {
    let told = told.lock().expect("not poisoned");
    let arrived = told
        .iter()
        .filter(|report| matches!(report.observation, Observation::RequestArrived { .. }));
    let mut times: Vec<Time> = arrived.map(|report| report.at).collect();
    times.sort_unstable();
    times
}

#[test]
fn an_upstream_gets_no_more_than_it_takes() {
    let folder = folder("named-rates");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let driver = listener.local_addr().expect("an address");
    let told = drive_and_collect(listener);
    let (store, _store_process) = store(&folder, driver);
    let routers: Vec<(SocketAddr, Process)> = (0..ROUTERS)
        .map(|node| router(&folder, node, store))
        .collect();
    let listen = free_addresses(1)[0];
    let upstream = Upstream {
        id: "pool-in-need",
        listen,
        advertised: listen,
        store,
        driver,
    };
    let _upstream_process = upstream.start_in_need((RATE * 1e3) as u32, &folder);
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    let serves = |router: SocketAddr| {
        let order = format!("{ORDER}5");
        is_served(&ask(router, "POST", &order, CLIENT_TIMEOUT))
    };
    while !routers.iter().all(|(router, _)| serves(*router)) {
        assert!(Instant::now() < deadline, "the routers do not serve");
        thread::sleep(POLL_INTERVAL);
    }
    let clients: Vec<_> = routers
        .iter()
        .map(|(router, _)| {
            let router = *router;
            thread::spawn(move || send(router))
        })
        .collect();
    for client in clients {
        client.join().expect("it ends");
    }
    let times = arrivals(&told);
    let counted = times.iter().filter(|at| **at >= times[0] + CONTACT);
    let most = counted
        .map(|end| {
            let first = times.partition_point(|at| *at < *end - WINDOW);
            let last = times.partition_point(|at| *at <= *end);
            last - first
        })
        .max();
    let most = most.unwrap_or_default();
    assert!(most as f64 <= ALLOWED, "{most} in 4 s, allowed {ALLOWED}");
    // The limit must also be used.
    let least = RATE * LASTS.as_secs_f64() * 0.8;
    let all = times.len();
    assert!(all as f64 >= least, "{all} came, {least} are taken");
}
