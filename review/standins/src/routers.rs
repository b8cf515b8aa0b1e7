//! The routers under review: processes started as the deploy file starts them.

use crate::http::{Connection, Message};
use crate::store::{LEAST_TTL_MS, Store};
use crate::upstream::HEARTBEAT;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// `graceS` of the deployment.
pub const GRACE: Duration = Duration::from_secs(6);

/// A running router. Dropping it kills the process.
pub struct Router {
    pub clients: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    child: Child,
}

/// Most zones of a deployment.
const ZONES: usize = 3;
/// Routers whose addresses are in the settings of all.
const SEEDS: usize = 3;
/// The ports to choose from.
const FIRST_PORT: u16 = 11_000;
const PORTS: u16 = 20_000;
const PORT_STEP: u32 = 97;

/// Starts `count` routers, in turn in the zones `z1`, `z2` and `z3`.
pub fn start(
    program: &Path,
    folder: &Path,
    store: &Store,
    count: usize,
) -> io::Result<Vec<Router>> {
    let addresses = free_addresses(count * 4)?;
    let ports: Vec<&[SocketAddr]> = addresses.chunks(4).collect();
    let seeds = ports.iter().take(SEEDS);
    let seeds = seeds.map(|ports| format!("\"{}\"", ports[2]));
    let seeds: Vec<String> = seeds.collect();
    let zones: Vec<String> = (1..=count.min(ZONES))
        .map(|zone| format!("\"z{zone}\""))
        .collect();
    let mut routers = Vec::new();
    for (node, ports) in ports.iter().enumerate() {
        let text = settings(node + 1, ports, &zones.join(", "), &seeds.join(", "), store);
        let path = folder.join(format!("router-{}.toml", node + 1));
        std::fs::write(&path, text)?;
        routers.push(Router {
            clients: ports[0],
            readiness: ports[1],
            metrics: ports[3],
            child: spawn(program, folder, node + 1, &path)?,
        });
    }
    Ok(routers)
}

/// Addresses that nobody listens on, with ports below those of outgoing connections, which could
/// otherwise take one before its router does. Different runs begin at different ports.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let first = FIRST_PORT + (std::process::id().wrapping_mul(PORT_STEP)) as u16 % PORTS;
    let ports = (0..PORTS).map(|offset| FIRST_PORT + (first - FIRST_PORT + offset) % PORTS);
    // Kept open together, so that all ports differ.
    let mut listeners = Vec::new();
    for port in ports {
        let is_free = UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if let Some(listener) = TcpListener::bind(("127.0.0.1", port))
            .ok()
            .filter(|_| is_free)
        {
            listeners.push(listener);
        }
        if listeners.len() == count {
            return listeners.iter().map(TcpListener::local_addr).collect();
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Settings in the form of `deploy/router.toml.template`, with the figures of a small deployment.
fn settings(node: usize, ports: &[SocketAddr], zones: &str, seeds: &str, store: &Store) -> String {
    let zone = (node - 1) % ZONES + 1;
    let [clients, readiness, peers, metrics] = ports else {
        unreachable!("four ports a router");
    };
    format!(
        "version = 1\nnode = \"front-z{zone}-{node}\"\nzone = \"z{zone}\"\nzones = [{zones}]\n\
         ip = \"127.0.0.1\"\nseeds = [{seeds}]\nfirst_start = true\n\n\
         [listen]\nclients = \"{clients}\"\nreadiness = \"{readiness}\"\npeers = \"{peers}\"\n\
         metrics = \"{metrics}\"\n\n\
         [store]\naddress = \"{}\"\nleast_ttl_ms = {LEAST_TTL_MS}\n\n\
         [bounds]\ndrain_ms = 2000\ncontact_ms = 3000\ngrace_s = {}\nretry_ratio = 0.2\n\
         retry_allowance = 56\nretry_window_s = 10\nlongest_hold_ms = 10000\n\
         heartbeat_ms = {}\n\n\
         [limits]\nprocessor_share = 0.2\nmemory_mb = 260\ndescriptors = 4100\n\
         link_mbps = 1000.0\n",
        store.address,
        GRACE.as_secs(),
        HEARTBEAT.as_millis(),
    )
}

fn spawn(program: &Path, folder: &Path, node: usize, settings: &PathBuf) -> io::Result<Child> {
    let log = File::create(folder.join(format!("router-{node}.log")))?;
    let child = Command::new(program)
        .arg("route")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    // For the script, which ends these processes if it is ended itself.
    let pids = folder.join("pids");
    let mut pids = OpenOptions::new().create(true).append(true).open(pids)?;
    writeln!(pids, "{}", child.id())?;
    Ok(child)
}

impl Router {
    /// Whether the readiness address answers 200.
    fn is_ready(&self) -> bool {
        let answer = get(self.readiness, "/v1/ready");
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Lines of the router's own figures that contain one of these texts. They are recorded and
    /// decide nothing.
    pub fn figures(&self, wanted: &[&str]) -> Vec<String> {
        let answer = get(self.metrics, "/metrics").unwrap_or_default();
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let lines = lines.filter(|line| wanted.iter().any(|wanted| line.contains(wanted)));
        lines.map(str::to_owned).collect()
    }

    /// Waits until the router is ready; false if it isn't in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Sends SIGTERM, as the platform does to stop a process.
    pub fn terminate(&self) {
        // SAFETY: kill has no preconditions; the child has not been waited for, so that its id is
        // its own.
        unsafe {
            libc::kill(self.child.id() as libc::pid_t, libc::SIGTERM);
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

fn get(address: SocketAddr, target: &str) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut connection = Connection::new(stream);
    let question = Message {
        first: format!("GET {target} HTTP/1.1"),
        headers: vec![("Host".to_owned(), "entry".to_owned())],
        body: Vec::new(),
    };
    connection.write(&question).ok()?;
    connection.read().ok()?
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
