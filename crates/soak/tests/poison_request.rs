//! A request that kills each upstream that executes it, with real processes: two routers, the
//! emulated store, and upstreams without a proxy in between.

mod common;

use beamtray_soak::{ORDER, POISON};
use common::*;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

const ROUTERS: usize = 2;
const UPSTREAMS: usize = 4;
/// Upstreams that may be killed before routers block the request.
const ALLOWED: usize = 3;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

struct Cluster {
    folder: PathBuf,
    store: SocketAddr,
    driver: SocketAddr,
    routers: Vec<SocketAddr>,
    upstreams: Vec<(SocketAddr, Process)>,
    /// Number of upstreams that have exited.
    ended: usize,
    _processes: Vec<Process>,
}

impl Cluster {
    fn start() -> Self {
        let folder = folder("poison-request");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let driver = listener.local_addr().expect("an address");
        drive(listener);
        let (store, process) = store(&folder, driver);
        let mut processes = vec![process];
        let mut routers = Vec::new();
        for node in 0..ROUTERS {
            let (clients, process) = router(&folder, node, store);
            routers.push(clients);
            processes.push(process);
        }
        let mut cluster = Self {
            folder,
            store,
            driver,
            routers,
            upstreams: Vec::new(),
            ended: 0,
            _processes: processes,
        };
        for (index, address) in free_addresses(UPSTREAMS).into_iter().enumerate() {
            let process = cluster.upstream(index, address);
            cluster.upstreams.push((address, process));
        }
        cluster
    }

    fn upstream(&self, index: usize, address: SocketAddr) -> Process {
        let upstream = Upstream {
            id: &format!("pool-{index}-{}", self.ended),
            listen: address,
            advertised: address,
            store: self.store,
            driver: self.driver,
        };
        upstream.start(&self.folder)
    }

    /// Starts a new incarnation of each upstream that has exited.
    fn replace_ended(&mut self) {
        for index in 0..self.upstreams.len() {
            if self.upstreams[index].1.has_ended() {
                self.ended += 1;
                let address = self.upstreams[index].0;
                self.upstreams[index].1 = self.upstream(index, address);
            }
        }
    }

    /// Sends an order to a router; returns the response.
    fn order(&self, node: usize, path: &str) -> Option<String> {
        ask(self.routers[node], "POST", path, CLIENT_TIMEOUT)
    }

    fn serves(&self, node: usize) -> bool {
        is_served(&self.order(node, &format!("{ORDER}5")))
    }
}

#[test]
fn routers_keep_off_a_request_that_ends_upstreams() {
    let mut cluster = Cluster::start();
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    while !(0..ROUTERS).all(|node| cluster.serves(node)) {
        assert!(Instant::now() < deadline, "the routers do not serve");
        thread::sleep(POLL_INTERVAL);
    }
    let poison = format!(
        "{}{}",
        ORDER.trim_end_matches('/'),
        format_args!("{POISON}10")
    );
    let mut sent = 0;
    while cluster.ended < ALLOWED {
        assert!(
            Instant::now() < deadline,
            "{} upstreams ended",
            cluster.ended
        );
        cluster.order(sent % ROUTERS, &poison);
        sent += 1;
        thread::sleep(POLL_INTERVAL);
        cluster.replace_ended();
    }
    thread::sleep(CONTACT);
    cluster.replace_ended();
    let before = cluster.ended;
    for node in (0..ROUTERS).cycle().take(3 * ROUTERS) {
        let answer = cluster.order(node, &poison).expect("an answer");
        assert!(answer.starts_with("http/1.1 503"), "{answer}");
        let later = answer
            .lines()
            .find_map(|line| line.strip_prefix("retry-after: "));
        let later: f64 = later.and_then(|text| text.parse().ok()).expect("a time");
        assert!(later > 60.0, "{answer}");
    }
    thread::sleep(POLL_INTERVAL);
    cluster.replace_ended();
    assert_eq!(cluster.ended, before, "an upstream ended under it");
    assert!(
        (0..ROUTERS).all(|node| cluster.serves(node)),
        "others are served"
    );
}
