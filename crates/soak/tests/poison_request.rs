//! A request that ends each upstream which runs it, with real processes: two routers, the
//! store's stand-in, and upstreams that routers reach without a proxy between.

use beamtray_adapter::Platform;
use beamtray_dialect::Dialect;
use beamtray_soak::{Command, HOST, ORDER, POISON, Report};
use beamtray_wire::{FrameBuffer, encode};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Program, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const ROUTERS: usize = 2;
const UPSTREAMS: usize = 4;
/// Upstreams that may end before the request is kept off.
const ALLOWED: usize = 3;
/// How long all routers may take to hear of the last end.
const CONTACT: Duration = Duration::from_secs(3);
const PATIENCE: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(250);

/// Ends with the test.
struct Process(Child);

impl Process {
    fn start(program: &Path, arguments: &[String], log: &Path) -> Self {
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

    fn has_ended(&mut self) -> bool {
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

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    let address = |listener: &TcpListener| listener.local_addr().expect("an address");
    listeners.iter().map(address).collect()
}

/// Stands in for the soak's driver: it gives the store its configuration.
fn drive(listener: TcpListener) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || hear(stream));
        }
    });
}

fn hear(mut stream: TcpStream) {
    let mut frames = FrameBuffer::default();
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        frames.extend(&buffer[..length]);
        while let Ok(Some(report)) = frames.next_message::<Report>() {
            let is_start = report.observation == beamtray_soak::Observation::Started;
            if is_start && report.from == "store" {
                let frame = encode(&Command::Configure(1)).expect("plain data");
                stream.write_all(&frame).expect("the store reads it");
            }
        }
    }
}

struct Cluster {
    folder: PathBuf,
    store: SocketAddr,
    driver: SocketAddr,
    routers: Vec<SocketAddr>,
    upstreams: Vec<(SocketAddr, Process)>,
    /// Upstreams that ended.
    ended: usize,
    _processes: Vec<Process>,
}

fn soak() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_beamtray-soak"))
}

impl Cluster {
    fn start() -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("poison-request");
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let driver = listener.local_addr().expect("an address");
        drive(listener);
        let store = free_addresses(1)[0];
        let arguments = [
            "store".to_owned(),
            format!("--listen={store}"),
            format!("--driver={driver}"),
        ];
        let mut processes = vec![Process::start(
            soak(),
            &arguments,
            &folder.join("store.log"),
        )];
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
        let id = format!("pool-{index}-{}", self.ended);
        let arguments = [
            "upstream".to_owned(),
            format!("--id={id}"),
            "--service=pool".to_owned(),
            "--zone=a".to_owned(),
            format!("--listen={address}"),
            format!("--advertised={address}"),
            format!("--store={}", self.store),
            format!("--driver={}", self.driver),
        ];
        Process::start(soak(), &arguments, &self.folder.join("upstreams.log"))
    }

    /// Starts another incarnation in place of each upstream that ended.
    fn replace_ended(&mut self) {
        for index in 0..self.upstreams.len() {
            if self.upstreams[index].1.has_ended() {
                self.ended += 1;
                let address = self.upstreams[index].0;
                self.upstreams[index].1 = self.upstream(index, address);
            }
        }
    }

    /// Sends an order to a router; the head of its answer.
    fn order(&self, node: usize, path: &str) -> Option<String> {
        let names = Platform.headers();
        let mut stream = TcpStream::connect(self.routers[node]).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let id = format!("{:x}", rand::random::<u64>());
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: 2000\r\n\
             Connection: close\r\nContent-Length: 4\r\n\r\nbody",
            names.request_id, names.deadline_ms
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        Some(text.to_lowercase())
    }

    fn serves(&self, node: usize) -> bool {
        let answer = self.order(node, &format!("{ORDER}5"));
        answer.is_some_and(|answer| answer.starts_with("http/1.1 200"))
    }
}

fn router(folder: &Path, node: usize, store: SocketAddr) -> (SocketAddr, Process) {
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

#[test]
fn routers_keep_off_a_request_that_ends_upstreams() {
    let mut cluster = Cluster::start();
    let deadline = Instant::now() + PATIENCE;
    while !(0..ROUTERS).all(|node| cluster.serves(node)) {
        assert!(Instant::now() < deadline, "the routers do not serve");
        thread::sleep(PAUSE);
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
        thread::sleep(PAUSE);
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
    thread::sleep(PAUSE);
    cluster.replace_ended();
    assert_eq!(cluster.ended, before, "an upstream ended under it");
    assert!(
        (0..ROUTERS).all(|node| cluster.serves(node)),
        "others are served"
    );
}
