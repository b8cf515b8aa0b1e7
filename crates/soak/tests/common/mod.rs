//! Processes of small deployments without a driver: routers, the store's stand-in and
//! upstreams.

#![allow(dead_code, reason = "not every test file uses every helper")]

use beamtray_adapter::Platform;
use beamtray_dialect::Dialect;
use beamtray_soak::{Command, HOST, Observation, Report};
use beamtray_wire::{FrameBuffer, encode};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Program, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long all routers may take to hear of something.
pub const CONTACT: Duration = Duration::from_secs(3);
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(60);
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Ends with the test.
pub struct Process(Child);

impl Process {
    pub fn start(program: &Path, arguments: &[String], log: &Path) -> Self {
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("the log can be written");
        let child = Program::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("another handle"))
            .stdout(log)
            .spawn();
        Self(child.expect("the program starts"))
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended needs neither.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Addresses that are free, and that were not given out before: who got them may not listen
/// there yet. Without that a router found the port of its peers taken by the next one's
/// metrics, ended, and the test waited for it in vain.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    let mut given = GIVEN.lock().expect("not poisoned");
    // Kept open, so that each is another one.
    let mut listeners = Vec::new();
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        listeners.push(listener);
        if given.insert(address) {
            addresses.push(address);
        }
    }
    addresses
}

/// Stands in for the soak's driver: it gives the store its configuration.
pub fn drive(listener: TcpListener) {
    // Nobody reads them; they end with the test's process.
    let _ = drive_and_collect(listener);
}

/// The same; what the processes tell.
pub fn drive_and_collect(listener: TcpListener) -> Arc<Mutex<Vec<Report>>> {
    let told = Arc::<Mutex<Vec<Report>>>::default();
    let reports = told.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let reports = reports.clone();
            thread::spawn(move || hear(stream, &reports));
        }
    });
    told
}

fn hear(mut stream: TcpStream, reports: &Mutex<Vec<Report>>) {
    let mut frames = FrameBuffer::default();
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        frames.extend(&buffer[..length]);
        while let Ok(Some(report)) = frames.next_message::<Report>() {
            let is_start = report.observation == Observation::Started;
            if is_start && report.from == "store" {
                let frame = encode(&Command::Configure(1)).expect("plain data");
                stream.write_all(&frame).expect("the store reads it");
            }
            reports.lock().expect("not poisoned").push(report);
        }
    }
}

/// The soak's program; the router's lies beside it.
pub fn soak() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_beamtray-soak"))
}

/// Plays runs of the soak, each of which has to keep every promise.
pub fn assert_clean_run(arguments: &[&str], folder: &str) {
    let router = soak().with_file_name("beamtray");
    assert!(
        router.exists(),
        "{} is not built: cargo build -p beamtray-node",
        router.display()
    );
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    let run = Program::new(soak())
        .args(arguments)
        .arg("--folder")
        .arg(&folder)
        .output()
        .expect("the soak starts");
    let told = String::from_utf8_lossy(&run.stdout);
    let errors = String::from_utf8_lossy(&run.stderr);
    assert!(run.status.success(), "{told}{errors}");
}

/// Starts a router; where clients reach it.
pub fn router(folder: &Path, node: usize, store: SocketAddr) -> (SocketAddr, Process) {
    let addresses = free_addresses(4);
    let [clients, readiness, peers, metrics] = addresses[..] else {
        unreachable!("as many as were asked for");
    };
    let settings = format!(
        "version = 1\nnode = \"router-{node}\"\nzone = \"a\"\nip = \"127.0.0.1\"\n\
         [listen]\nclients = \"{clients}\"\nreadiness = \"{readiness}\"\npeers = \"{peers}\"\n\
         metrics = \"{metrics}\"\n[store]\naddress = \"{store}\"\nleast_ttl_ms = 1000\n\
         [bounds]\ndrain_ms = 2000\ncontact_ms = {}\ngrace_s = 6\nretry_ratio = 0.2\n\
         retry_allowance = 30.0\nretry_window_s = 10\nlongest_hold_ms = 10000\n\
         heartbeat_ms = 1000\n[limits]\nmemory_mb = 256\ndescriptors = 1024\n",
        CONTACT.as_millis()
    );
    let file = folder.join(format!("router-{node}.toml"));
    std::fs::write(&file, settings).expect("the settings can be written");
    let arguments = [
        "route".to_owned(),
        "--settings".to_owned(),
        file.display().to_string(),
    ];
    let program = soak().with_file_name("beamtray");
    let log = folder.join(format!("router-{node}.log"));
    (clients, Process::start(&program, &arguments, &log))
}

/// Starts the store's stand-in.
pub fn store(folder: &Path, driver: SocketAddr) -> (SocketAddr, Process) {
    let store = free_addresses(1)[0];
    let arguments = [
        "store".to_owned(),
        format!("--listen={store}"),
        format!("--driver={driver}"),
    ];
    let process = Process::start(soak(), &arguments, &folder.join("store.log"));
    (store, process)
}

/// An upstream; of the service that is not divided, if nothing else is said.
pub struct Upstream<'a> {
    pub id: &'a str,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where routers reach it.
    pub advertised: SocketAddr,
    pub store: SocketAddr,
    pub driver: SocketAddr,
}

impl Upstream<'_> {
    pub fn start(&self, folder: &Path) -> Process {
        self.start_in("pool", folder)
    }

    /// The same in a service of that name.
    pub fn start_in(&self, service: &str, folder: &Path) -> Process {
        self.start_with(service, Vec::new(), folder)
    }

    /// One whose answers name that many requests in a thousand seconds.
    pub fn start_in_need(&self, rate_milli: u32, folder: &Path) -> Process {
        self.start_with("pool", vec![format!("--rate-milli={rate_milli}")], folder)
    }

    fn start_with(&self, service: &str, more: Vec<String>, folder: &Path) -> Process {
        let mut arguments = vec![
            "upstream".to_owned(),
            format!("--id={}", self.id),
            format!("--service={service}"),
            "--zone=a".to_owned(),
            format!("--listen={}", self.listen),
            format!("--advertised={}", self.advertised),
            format!("--store={}", self.store),
            format!("--driver={}", self.driver),
        ];
        arguments.extend(more);
        Process::start(soak(), &arguments, &folder.join("upstreams.log"))
    }
}

/// A folder for the logs of a test.
pub fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    folder
}

/// Sends a request of which a client waits so long; its answer in small letters.
pub fn ask(router: SocketAddr, method: &str, path: &str, patience: Duration) -> Option<String> {
    let names = Platform.headers();
    let mut stream = TcpStream::connect(router).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let id = format!("{:x}", rand::random::<u64>());
    let patience = patience.as_millis();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {patience}\r\n\
         Connection: close\r\nContent-Length: 4\r\n\r\nbody",
        names.request_id, names.deadline_ms
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text.to_lowercase())
}

pub fn is_served(answer: &Option<String>) -> bool {
    let answer = answer.as_ref();
    answer.is_some_and(|answer| answer.starts_with("http/1.1 200"))
}
