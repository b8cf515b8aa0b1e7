//! The routers: the product's own program, started as the deploy file says.

use crate::record::Record;
use eyre::{Result, WrapErr};
use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

/// The program, from the root of the repository.
const PROGRAM: &str = "target/release/beamtray";

/// Bounds and limits of a small deployment, those of the smaller of the users' two sites.
const SETTINGS: &str = r#"
[bounds]
drain_ms = 2000
contact_ms = 3000
grace_s = 6
retry_ratio = 0.2
retry_allowance = 56
retry_window_s = 10
longest_hold_ms = 10000
heartbeat_ms = 1300

[limits]
processor_share = 0.2
memory_mb = 260
descriptors = 4100
link_mbps = 1000.0
"#;

/// A router.
pub struct Router {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where it is asked whether it is ready.
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    record: Rc<Record>,
}

/// Addresses on which nothing listens now.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let mut held = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let datagrams = UdpSocket::bind(address).wrap_err("a port for datagrams")?;
        held.push((listener, datagrams, address));
    }
    Ok(held.iter().map(|(_, _, address)| *address).collect())
}

/// Prepares so many routers, each in a zone of its own.
pub fn prepare(
    folder: &Path,
    count: usize,
    store: SocketAddr,
    record: &Rc<Record>,
) -> Result<Vec<Router>> {
    let addresses = free_addresses(count * 4)?;
    let zones: Vec<String> = (0..count).map(|zone| format!("\"zone-{zone}\"")).collect();
    let zones = zones.join(", ");
    let seeds: Vec<String> = (0..count)
        .map(|node| format!("\"{}\"", addresses[node * 4 + 2]))
        .collect();
    let seeds = seeds.join(", ");
    let mut routers = Vec::new();
    for node in 0..count {
        let [clients, readiness, peers, metrics] = addresses[node * 4..node * 4 + 4] else {
            unreachable!("four addresses a router");
        };
        let name = format!("router-{node}");
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "version = 1\nnode = \"{name}\"\nzone = \"zone-{node}\"\nzones = [{zones}]\n\
             ip = \"127.0.0.1\"\nseeds = [{seeds}]\nfirst_start = true\n\n\
             [listen]\nclients = \"{clients}\"\nreadiness = \"{readiness}\"\n\
             peers = \"{peers}\"\nmetrics = \"{metrics}\"\n\n\
             [store]\naddress = \"{store}\"\nleast_ttl_ms = 1000\n{SETTINGS}"
        );
        std::fs::write(&settings, text)?;
        routers.push(Router {
            log: folder.join(format!("{name}.log")),
            name,
            clients,
            readiness,
            settings,
            process: None,
            record: record.clone(),
        });
    }
    Ok(routers)
}

impl Router {
    /// Starts the process.
    pub fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let process = Command::new(PROGRAM)
            .args(["route", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()
            .wrap_err_with(|| format!("start {PROGRAM}"))?;
        self.record.line(format_args!("{} started", self.name));
        self.process = Some(process);
        Ok(())
    }

    /// Whether the process has ended by itself: another program may have taken one of its ports.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// Starts the process again, with settings that no longer tell of a first start.
    pub fn restart(&mut self) -> Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        let text = text.replace("first_start = true", "first_start = false");
        std::fs::write(&self.settings, text)?;
        self.start()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            // Both fail only if it has ended.
            let _ = process.kill();
            let _ = process.wait();
            self.record.line(format_args!("{} killed", self.name));
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
