//! Test support: runs stand-ins, nodes and callers as processes on loopback.

use beamtray_control::{OperatorAnswer, OperatorRequest, StatusReport};
use beamtray_http::{CallError, ClientConfig, HttpCall, HttpClient, HttpReply};
use beamtray_node::client::{get, send_operator_request};
use beamtray_settings::{Declaration, Division, ServerDeclaration, ServiceDeclaration};
use beamtray_types::{OperationId, Revision};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const EVENTUAL_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A child process that is killed when dropped.
pub struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    fn start(program: PathBuf, arguments: &[String]) -> Self {
        Self::start_with_errors(program, arguments, Stdio::null())
    }

    fn start_with_errors(program: PathBuf, arguments: &[String], errors: Stdio) -> Self {
        let mut child = Command::new(&program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("start {}: {error}", program.display()));
        let output = child.stdout.take().expect("standard output is piped");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let collected = Arc::clone(&lines);
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                collected.lock().expect("not poisoned").push(line);
            }
        });
        Self { child, lines }
    }

    /// Returns the lines printed so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("not poisoned").clone()
    }

    fn first_line(&self) -> String {
        eventually("a first line", || self.lines().first().cloned())
    }

    /// Returns the first line, or `None` if the process exits before printing one.
    fn first_line_or_end(&mut self) -> Option<String> {
        eventually("a first line or the end", || {
            let ended = self
                .child
                .try_wait()
                .expect("the child status can be read")
                .is_some();
            match self.lines().first() {
                Some(line) => Some(Some(line.clone())),
                None => ended.then_some(None),
            }
        })
    }

    pub fn signal(&self, signal: Signal) {
        let process = Pid::from_raw(self.child.id() as i32);
        kill(process, signal).expect("the process exists");
    }

    /// Resident memory, in KiB.
    pub fn resident_kib(&self) -> u64 {
        let file = format!("/proc/{}/statm", self.child.id());
        let text = std::fs::read_to_string(file).expect("the process runs");
        let pages = text
            .split(' ')
            .nth(1)
            .and_then(|pages| pages.parse::<u64>().ok());
        pages.expect("a number of pages") * 4
    }

    /// Waits for the process to exit; returns the exit code, or `None` after a signal.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("a child can be waited for").code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also terminates a process stopped by SIGSTOP.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls `check` until it returns a value.
pub fn eventually<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + EVENTUAL_TIMEOUT;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

fn node_program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_beamtray"))
}

fn standin_program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_beamtray-standin"))
}

fn standin(kind: &str, extra: &[&str]) -> (Process, SocketAddr) {
    let mut arguments = vec![kind.to_owned()];
    arguments.extend(extra.iter().map(|text| (*text).to_owned()));
    let process = Process::start(standin_program(), &arguments);
    let line = process.first_line();
    let address = line.strip_prefix("listening ").expect("the address");
    (process, address.parse().expect("an address"))
}

/// One node's process.
pub struct Node {
    pub process: Process,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    arguments: Vec<String>,
}

impl Node {
    /// Returns the contents of its log so far.
    pub fn log(&self) -> String {
        let settings = self.arguments.last().expect("a settings file");
        std::fs::read_to_string(errors_file(settings)).expect("the file can be read")
    }
}

fn errors_file(settings: &str) -> String {
    format!("{settings}.errors")
}

/// One keyed server's process.
pub struct Server {
    pub name: String,
    pub process: Process,
    pub address: SocketAddr,
}

/// Processes that make up a deployment of one keyed service.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub key_value: SocketAddr,
    _key_value: Process,
    _machines: Process,
    pub declaration: Declaration,
    _settings: tempdir::TempDir,
}

mod tempdir {
    use std::path::{Path, PathBuf};

    /// A directory that is removed when dropped.
    pub struct TempDir(PathBuf);

    impl TempDir {
        pub fn new(name: &str) -> Self {
            let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
            std::fs::create_dir_all(&path).expect("the temporary directory is writable");
            Self(path)
        }

        pub fn path(&self) -> &Path {
            &self.0
        }
    }

    impl Drop for TempDir {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

pub const SERVICE: &str = "accounts";

impl Cluster {
    /// Starts all processes and confirms the declaration.
    pub fn start(name: &str, servers: usize) -> Self {
        let (key_value_process, key_value) = standin("kv", &["--per-second", "200"]);
        let (machines_process, machines) = standin("machines", &["--lag-millis", "500"]);
        let servers: Vec<Server> = (1..=servers)
            .map(|number| {
                let extra = ["--slots", "8", "--service-micros", "1000"];
                let (process, address) = standin("server", &extra);
                let name = format!("server-{number}");
                Server {
                    name,
                    process,
                    address,
                }
            })
            .collect();
        let settings = tempdir::TempDir::new(name);
        let nodes = start_nodes(&settings, key_value, machines);
        let cluster = Self {
            declaration: declaration(&servers),
            nodes,
            servers,
            key_value,
            _key_value: key_value_process,
            _machines: machines_process,
            _settings: settings,
        };
        cluster.wait_for_group();
        assert_eq!(cluster.confirm(0, 1, &cluster.declaration), Some(1));
        cluster.wait_for_owners();
        cluster
    }

    pub fn wait_for_group(&self) {
        eventually("a group of three", || {
            let report = self.status()?;
            (report.nodes.len() == 3).then_some(())
        });
    }

    pub fn wait_for_owners(&self) {
        eventually("owners of all slices", || {
            let report = self.status()?;
            let owned = report.services.iter().all(|service| service.unowned == 0);
            let ready = self
                .nodes
                .iter()
                .all(|node| get(node.operators, "/readyz").is_ok_and(|page| page.status == 200));
            (owned && ready && !report.services.is_empty()).then_some(())
        });
    }

    /// Returns the status from the first node that answers.
    pub fn status(&self) -> Option<StatusReport> {
        self.nodes.iter().find_map(|node| {
            match send_operator_request(node.operators, &OperatorRequest::Status) {
                Ok(OperatorAnswer::Status(report)) => Some(report),
                _ => None,
            }
        })
    }

    /// Returns the index of the leader.
    pub fn leader(&self) -> usize {
        eventually("a leader", || Some(self.status()?.leader as usize - 1))
    }

    /// Confirms a declaration and returns the new revision.
    pub fn confirm(&self, base: u64, operation: u64, declaration: &Declaration) -> Option<u64> {
        let request = OperatorRequest::Confirm {
            operation: OperationId(operation),
            base: Revision(base),
            declaration: declaration.clone(),
        };
        match send_operator_request(self.nodes[0].operators, &request) {
            Ok(OperatorAnswer::InForce { revision }) => Some(revision.0),
            _ => None,
        }
    }

    /// Returns the index of the server that owns a key.
    pub fn owner(&self, key: &str) -> usize {
        eventually("an owner", || {
            let request = OperatorRequest::Assignments {
                service: SERVICE.into(),
                key: Some(key.to_owned()),
            };
            let answer = self
                .nodes
                .iter()
                .find_map(|node| send_operator_request(node.operators, &request).ok())?;
            let OperatorAnswer::Assignments(rows) = answer else {
                return None;
            };
            let server = rows.first()?.server.clone()?;
            self.servers.iter().position(|other| other.name == server)
        })
    }

    /// Sets fault switches of the key-value stand-in.
    pub fn set_key_value(&self, switches: &str) {
        let url = format!("http://{}/control?{switches}", self.key_value);
        call("POST", &url, None, Duration::from_secs(5)).expect("the stand-in answers");
    }

    /// Returns all effects printed by the servers, as `key name`.
    pub fn effects(&self) -> Vec<String> {
        // The last lines printed may still be in the pipe.
        thread::sleep(Duration::from_millis(500));
        let servers = self.servers.iter();
        let lines = servers.flat_map(|server| server.process.lines());
        lines
            .filter_map(|line| line.strip_prefix("effect ").map(str::to_owned))
            .collect()
    }

    /// Restarts an exited node with the same settings.
    pub fn restart_node(&mut self, position: usize) {
        let arguments = self.nodes[position].arguments.clone();
        self.nodes[position] = start_node(&arguments).expect("its port is free again");
    }
}

/// A node exited at startup because its port was in use.
#[derive(Debug)]
struct PortTaken;

/// Starts three nodes. Another process may take one of their ports between
/// choosing the ports and starting the nodes; in that case the start is
/// retried. Any other early exit fails the test.
fn start_nodes(
    settings: &tempdir::TempDir,
    key_value: SocketAddr,
    machines: SocketAddr,
) -> Vec<Node> {
    const ATTEMPTS: usize = 5;
    (0..ATTEMPTS)
        .find_map(|_| try_start_nodes(settings, key_value, machines).ok())
        .expect("the ports stay free in one of the attempts")
}

fn try_start_nodes(
    settings: &tempdir::TempDir,
    key_value: SocketAddr,
    machines: SocketAddr,
) -> Result<Vec<Node>, PortTaken> {
    // Peers must know each other's port before any of them runs.
    let listeners: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address"))
        .collect();
    drop(listeners);
    let peers: String = (1..=3)
        .zip(&addresses)
        .map(|(node, address)| {
            format!("\n[[peer]]\nnode = {node}\nzone = \"zone-{node}\"\naddress = \"{address}\"\n")
        })
        .collect();
    (1..=3)
        .zip(&addresses)
        .map(|(node, address)| {
            let text = format!(
                "node = {node}\nzone = \"zone-{node}\"\ncallers = \"127.0.0.1:0\"\n\
                 peers = \"{address}\"\noperators = \"127.0.0.1:0\"\n\
                 key_value = \"{key_value}\"\nmachines = \"{machines}\"\n{peers}"
            );
            let file = settings.path().join(format!("node-{node}.toml"));
            let mut handle = std::fs::File::create(&file).expect("the file can be written");
            handle
                .write_all(text.as_bytes())
                .expect("the file can be written");
            let arguments = vec![
                "node".to_owned(),
                "--settings".to_owned(),
                file.display().to_string(),
            ];
            start_node(&arguments)
        })
        .collect()
}

fn start_node(arguments: &[String]) -> Result<Node, PortTaken> {
    let settings = arguments.last().expect("a settings file");
    let errors_file = errors_file(settings);
    let errors = std::fs::File::create(&errors_file).expect("the file can be written");
    let mut process = Process::start_with_errors(node_program(), arguments, errors.into());
    let Some(line) = process.first_line_or_end() else {
        let errors = std::fs::read_to_string(&errors_file).expect("the file can be read");
        assert!(errors.contains("Address already in use"), "{errors}");
        return Err(PortTaken);
    };
    let words: Vec<&str> = line.split(' ').collect();
    let address = |position: usize| words[position].parse().expect("an address");
    Ok(Node {
        callers: address(1),
        peers: address(3),
        operators: address(5),
        process,
        arguments: arguments.to_vec(),
    })
}

fn declaration(servers: &[Server]) -> Declaration {
    let text = format!(
        "[[service]]\nname = \"{SERVICE}\"\nslices_per_server = 8\ndeadline_millis = 8000\n\
         [[service.server]]\nname = \"placeholder\"\naddress = \"127.0.0.1:1\"\nzone = \"z\"\n"
    );
    let mut declaration = Declaration::parse("test", &text).expect("a valid declaration");
    let service: &mut ServiceDeclaration = &mut declaration.services[0];
    assert_eq!(service.division, Division::Keyed);
    let template = service.servers.remove(0);
    for (position, server) in servers.iter().enumerate() {
        service.servers.push(ServerDeclaration {
            name: server.name.as_str().into(),
            address: server.address,
            zone: format!("zone-{}", position % 3 + 1).as_str().into(),
            slots: 8,
            ..template.clone()
        });
    }
    declaration
}

/// Sends one request; with a name, it carries an idempotency key.
pub fn call(
    method: &str,
    url: &str,
    name: Option<&str>,
    timeout: Duration,
) -> Result<HttpReply, CallError> {
    let client = HttpClient::new(ClientConfig {
        idle_connections: 0,
        max_body_bytes: 1024 * 1024,
        connect_timeout: Duration::from_secs(2),
    });
    let headers: Vec<(&str, String)> = name
        .map(|name| ("idempotency-key", name.to_owned()))
        .into_iter()
        .collect();
    client.call(&HttpCall {
        method,
        url,
        headers: &headers,
        body: &[],
        timeout,
        fresh_connection: true,
    })
}
