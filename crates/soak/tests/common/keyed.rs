//! A router, the emulated store and one upstream of the sharded service, with real processes.

use super::*;
use beamtray_soak::TRANSFER;
use std::collections::BTreeMap;

/// Between two requests, so that a connection may be used for both.
const PAUSE: Duration = Duration::from_millis(15);
/// Work of a request in milliseconds.
pub const WORK_MS: u64 = 40;
/// Key of requests whose key does not matter.
const KEY: u16 = 7;
const DEADLINE_MS: u64 = 2_000;
/// Time for the last reports to arrive.
const REPORTED: Duration = Duration::from_millis(500);

/// The processes.
pub struct KeyedCluster {
    /// Where the router takes requests.
    pub router: SocketAddr,
    /// What the processes reported.
    pub told: Arc<Mutex<Vec<Report>>>,
    folder: PathBuf,
    store: SocketAddr,
    driver: SocketAddr,
    processes: Vec<Process>,
}

impl KeyedCluster {
    /// Starts the processes and waits until the router serves keys.
    pub fn start(name: &str, options: &[&str]) -> Self {
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
            store,
            driver,
            processes: vec![store_process, router_process, upstream_process],
        };
        cluster.await_keys();
        cluster
    }

    /// Starts another upstream of the service.
    pub fn add_upstream(&mut self, id: &str) {
        let listen = free_addresses(1)[0];
        let upstream = Upstream {
            id,
            listen,
            advertised: listen,
            store: self.store,
            driver: self.driver,
        };
        self.processes
            .push(upstream.start_in("keyed", &self.folder));
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
    pub fn send_all(&self, count: usize) -> BTreeMap<String, u16> {
        let ids = (0..count).map(|number| format!("transfer-{number}"));
        ids.map(|id| {
            thread::sleep(PAUSE);
            let status = send(self.router, &id, WORK_MS);
            (id, status)
        })
        .collect()
    }

    /// Waits until a request runs.
    pub fn await_begun(&self, id: &str) {
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        let is_begun = |report: &Report| matches!(&report.observation, Observation::WorkStarted { id: begun, .. } if begun == id);
        while !self.told.lock().expect("not poisoned").iter().any(is_begun) {
            assert!(Instant::now() < deadline, "{id} does not run");
            thread::sleep(PAUSE);
        }
    }

    /// Ids of the requests that began to run, one for each run.
    pub fn begun(&self) -> Vec<String> {
        thread::sleep(REPORTED);
        let told = self.told.lock().expect("not poisoned");
        let begun = told.iter().filter_map(|report| match &report.observation {
            Observation::WorkStarted { id, .. } => Some(id.clone()),
            _ => None,
        });
        begun.collect()
    }

    /// The lines of the router's log about a request.
    pub fn lines(&self, id: &str) -> Vec<String> {
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
pub fn send(router: SocketAddr, id: &str, work_ms: u64) -> u16 {
    send_with_key(router, id, KEY, work_ms)
}

/// Sends a request with that key.
pub fn send_with_key(router: SocketAddr, id: &str, key: u16, work_ms: u64) -> u16 {
    let mut stream = begin_with_key(router, id, key, work_ms);
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    let status = text.split(' ').nth(1);
    status
        .and_then(|status| status.parse().ok())
        .expect("a status")
}

/// Sends such a request and leaves its answer to the caller.
pub fn begin(router: SocketAddr, id: &str, work_ms: u64) -> TcpStream {
    begin_with_key(router, id, KEY, work_ms)
}

fn begin_with_key(router: SocketAddr, id: &str, key: u16, work_ms: u64) -> TcpStream {
    let names = Platform.headers();
    let mut stream = TcpStream::connect(router).expect("a connection");
    let request = format!(
        "POST {TRANSFER}{key}/{work_ms} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {DEADLINE_MS}\r\n\
         {}: {key}\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
        names.request_id, names.deadline_ms, names.shard_key
    );
    stream.write_all(request.as_bytes()).expect("it is read");
    stream
}
