//! Requests that must not be repeated, at an upstream that spoils its rejections. With real
//! processes: a router, the emulated store and an upstream of the sharded service that rejects the
//! first sending of each request.

mod common;

use beamtray_adapter::Platform;
use beamtray_dialect::Dialect;
use beamtray_soak::{HOST, Observation, Report, TRANSFER};
use common::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const REQUESTS: usize = 40;
/// Few enough requests that the budget allows a retry of each.
const RETRIED_REQUESTS: usize = 6;
/// Between two requests, so that a connection may be used for both.
const PAUSE: Duration = Duration::from_millis(15);
const WORK_MS: u64 = 40;
const DEADLINE_MS: u64 = 2_000;
/// Time for the last reports to arrive.
const REPORTED: Duration = Duration::from_millis(500);

struct Cluster {
    router: SocketAddr,
    told: Arc<Mutex<Vec<Report>>>,
    folder: PathBuf,
    _processes: Vec<Process>,
}

impl Cluster {
    /// Starts the processes and waits until the router serves keys.
    fn start(name: &str, options: &[&str]) -> Self {
        let folder = folder(name);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let driver = listener.local_addr().expect("an address");
        let told = drive_and_collect(listener);
        let (store, store_process) = store(&folder, driver);
        let log = folder.join("router-0.log");
        // That of an earlier run would be read as well.
        let _ = std::fs::remove_file(log);
        let (router, router_process) = router(&folder, 0, store);
        let listen = free_addresses(1)[0];
        let upstream = Upstream {
            id: "keyed-0-0",
            listen,
            advertised: listen,
            store,
            driver,
        };
        let upstream_process = upstream.start_with_options("keyed", options, &folder);
        let cluster = Self {
            router,
            told,
            folder,
            _processes: vec![store_process, router_process, upstream_process],
        };
        cluster.await_keys();
        cluster
    }

    fn await_keys(&self) {
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        let has_keys = |report: &Report| matches!(report.observation, Observation::KeysHeld { .. });
        while !self.told.lock().expect("not poisoned").iter().any(has_keys) {
            assert!(Instant::now() < deadline, "no keys were granted");
            thread::sleep(POLL_INTERVAL);
        }
        // The router learns of the assignment meanwhile.
        thread::sleep(CONTACT);
    }

    /// Sends requests one after the other; returns the status of each by its id.
    fn send_all(&self, count: usize) -> BTreeMap<String, u16> {
        let ids = (0..count).map(|number| format!("transfer-{number}"));
        ids.map(|id| {
            thread::sleep(PAUSE);
            let status = send(self.router, &id);
            (id, status)
        })
        .collect()
    }

    /// Ids of the requests that began to run, one for each run.
    fn begun(&self) -> Vec<String> {
        thread::sleep(REPORTED);
        let told = self.told.lock().expect("not poisoned");
        let begun = told.iter().filter_map(|report| match &report.observation {
            Observation::WorkStarted { id, .. } => Some(id.clone()),
            _ => None,
        });
        begun.collect()
    }

    /// The lines of the router's log about a request.
    fn lines(&self, id: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join("router-0.log"));
        let log = log.expect("the router has a log");
        let of_request = format!("request={id}");
        let lines = log
            .lines()
            .filter(|line| line.split(' ').any(|field| field == of_request));
        lines.map(str::to_owned).collect()
    }
}

/// Sends a request with a key that must not be repeated; returns the status.
fn send(router: SocketAddr, id: &str) -> u16 {
    let names = Platform.headers();
    let mut stream = TcpStream::connect(router).expect("a connection");
    let request = format!(
        "POST {TRANSFER}7/{WORK_MS} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {DEADLINE_MS}\r\n\
         {}: 7\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
        names.request_id, names.deadline_ms, names.shard_key
    );
    stream.write_all(request.as_bytes()).expect("it is read");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    let status = text.split(' ').nth(1);
    status
        .and_then(|status| status.parse().ok())
        .expect("a status")
}

/// Asserts that no request ran that was refused with a promise, and none twice.
fn assert_promises_kept(name: &str, kind: &str) {
    let cluster = Cluster::start(name, &["--rejects-first", &format!("--spoil={kind}")]);
    let statuses = cluster.send_all(REQUESTS);
    let begun = cluster.begun();
    let once: BTreeSet<&String> = begun.iter().collect();
    let promised = statuses
        .iter()
        .filter(|(_, status)| matches!(status, 429 | 503 | 408 | 421));
    let broken: Vec<_> = promised.filter(|(id, _)| once.contains(id)).collect();
    for (id, _) in &broken {
        println!("{}", cluster.lines(id).join("\n"));
    }
    assert!(broken.is_empty(), "refused, yet ran: {broken:?}");
    assert_eq!(begun.len(), once.len(), "{begun:?}");
}

/// Guards against a rejection that is sent again being taken for the answer to the next sending of
/// the same request: it was refused with a promise, and ran.
#[test]
fn a_request_is_not_refused_by_a_rejection_of_its_earlier_sending() {
    assert_promises_kept("spoiled-late", "late");
}

/// Guards against the same with a rejection that comes by itself while the next answer is due.
#[test]
fn a_request_is_not_refused_by_a_delayed_copy_of_a_rejection() {
    assert_promises_kept("spoiled-timed", "timed");
}

/// Guards against a rejection without an id, of whatever request, being taken as proof.
#[test]
fn a_request_is_not_refused_by_a_rejection_without_an_id() {
    assert_promises_kept("spoiled-without-id", "late-without-id");
}

/// Guards against surplus bytes right behind a rejection being taken as proof for the next sending.
#[test]
fn a_request_is_not_refused_by_a_second_copy_behind_a_rejection() {
    assert_promises_kept("spoiled-surplus", "surplus");
}

/// Guards against a fix that gives up the retry of a request that a sound upstream rejected.
#[test]
fn a_request_rejected_by_a_sound_upstream_is_served_on_its_retry() {
    let cluster = Cluster::start("rejected-first", &["--rejects-first"]);
    let statuses = cluster.send_all(RETRIED_REQUESTS);
    assert!(
        statuses.values().all(|status| *status == 200),
        "{statuses:?}"
    );
}

/// Guards against a refusal whose last line doesn't tell of each sending what proved that it did
/// not run.
#[test]
fn the_line_of_a_refusal_tells_of_each_sending() {
    let options = ["--rejects-when-full", "--slots=1", "--queue=0"];
    let cluster = Cluster::start("refusal-line", &options);
    let router = cluster.router;
    let first = thread::spawn(move || {
        let long = TRANSFER.to_owned() + "7/1500";
        ask_with_key(router, &long)
    });
    thread::sleep(Duration::from_millis(200));
    let status = send(cluster.router, "refused");
    assert_eq!(status, 503);
    let lines = cluster.lines("refused");
    let concluded = lines.iter().find(|line| line.contains("msg=concluded"));
    let concluded = concluded.unwrap_or_else(|| panic!("no line: {lines:?}"));
    assert!(concluded.contains("sendings="), "{concluded}");
    for attempt in lines
        .iter()
        .filter(|line| line.contains("msg=attempt_ended"))
    {
        assert!(attempt.contains("connection="), "{attempt}");
        assert!(attempt.contains("written="), "{attempt}");
    }
    first.join().expect("it ends");
}

/// Sends a request that fills the upstream.
fn ask_with_key(router: SocketAddr, path: &str) -> Option<String> {
    let names = Platform.headers();
    let mut stream = TcpStream::connect(router).ok()?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: filler\r\n{}: {DEADLINE_MS}\r\n\
         {}: 7\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
        names.request_id, names.deadline_ms, names.shard_key
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}
