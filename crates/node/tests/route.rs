//! Tests of a `beamtray route` process: log output that is not read, and reloading
//! of settings.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::LazyLock;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(60);
/// A node that blocks on writing its log would not answer within this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of processes that the tests of this file start.
const PROCESSES: usize = 2;
/// Number of addresses a process listens on or names.
const PORTS_A_PROCESS: usize = 5;
const DROPPED_LINES_METRIC: &str = "beamtray_log_lines_dropped ";

/// A child process that is killed when dropped.
struct RouterProcess(Child);

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Addresses of one process. They are chosen for all tests of this file before the first
/// process starts: a test that chose its own later could be given a port that the process of
/// another had not yet listened on, which then exited.
fn free_addresses(process: usize) -> [SocketAddr; PORTS_A_PROCESS] {
    static ADDRESSES: LazyLock<Vec<[SocketAddr; PORTS_A_PROCESS]>> =
        LazyLock::new(choose_addresses);
    ADDRESSES[process]
}

fn choose_addresses() -> Vec<[SocketAddr; PORTS_A_PROCESS]> {
    // Kept open until all are chosen, so that the system assigns distinct ports.
    let listeners: [[TcpListener; PORTS_A_PROCESS]; PROCESSES] = std::array::from_fn(|_| {
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
    });
    let addresses = listeners.each_ref().map(|ports| {
        ports
            .each_ref()
            .map(|listener| listener.local_addr().expect("an address"))
    });
    addresses.to_vec()
}

fn connect(address: SocketAddr) -> TcpStream {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => return stream,
            Err(error) => assert!(Instant::now() < deadline, "connect: {error}"),
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sends one request on a keep-alive connection and returns the status line.
fn send_request(stream: &mut BufReader<TcpStream>) -> String {
    let request = b"GET /x/ HTTP/1.1\r\nHost: h\r\n\r\n";
    stream
        .get_mut()
        .write_all(request)
        .expect("the request can be written");
    let mut status = String::new();
    stream.read_line(&mut status).expect("a response");
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        stream
            .read_line(&mut line)
            .expect("a complete response head");
    }
    status
}

fn dropped_lines(metrics: SocketAddr) -> u64 {
    let mut stream = connect(metrics);
    let request = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    stream
        .write_all(request)
        .expect("the request can be written");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("the metrics can be read");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(DROPPED_LINES_METRIC));
    let dropped = line.and_then(|number| number.trim().parse().ok());
    dropped.expect("the metric is present")
}

/// Settings of a node with the given addresses and retry allowance.
fn settings_text(addresses: [SocketAddr; 5], allowance: i64) -> String {
    let [clients, readiness, peers, metrics, store] = addresses;
    format!(
        "version = 1\nnode = \"n\"\nzone = \"z\"\nip = \"127.0.0.1\"\n\
         [listen]\nclients = \"{clients}\"\nreadiness = \"{readiness}\"\npeers = \"{peers}\"\n\
         metrics = \"{metrics}\"\n[store]\naddress = \"{store}\"\n\
         [bounds]\ndrain_ms = 2000\ncontact_ms = 3000\ngrace_s = 6.0\nretry_ratio = 0.2\n\
         retry_allowance = {allowance}\nretry_window_s = 10\n[limits]\nmemory_mb = 260\n\
         descriptors = 1000\n"
    )
}

#[test]
fn requests_are_served_and_dropped_log_lines_counted_when_the_log_is_not_read() {
    let [clients, readiness, peers, metrics, store] = free_addresses(0);
    let file = std::env::temp_dir().join(format!("beamtray-route-{}.toml", std::process::id()));
    let settings = settings_text([clients, readiness, peers, metrics, store], 56);
    std::fs::write(&file, settings).expect("the file can be written");
    let child = Command::new(env!("CARGO_BIN_EXE_beamtray"))
        .args(["route", "--settings"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // The process's output pipe stays open and is never read.
    let _router = RouterProcess(child);
    let stream = connect(clients);
    stream
        .set_read_timeout(Some(RESPONSE_TIMEOUT))
        .expect("a timeout can be set");
    let mut client = BufReader::new(stream);
    let deadline = Instant::now() + TIMEOUT;
    while dropped_lines(metrics) == 0 {
        assert!(Instant::now() < deadline, "no log line was dropped");
        for _ in 0..500 {
            let status = send_request(&mut client);
            assert!(status.starts_with("HTTP/1.1 503"), "{status}");
        }
    }
    for _ in 0..500 {
        let status = send_request(&mut client);
        assert!(status.starts_with("HTTP/1.1 503"), "{status}");
    }
    // Failing to remove a file in the temporary directory is harmless.
    let _ = std::fs::remove_file(&file);
}

/// Receives the output lines of a process.
fn lines_of(output: ChildStdout) -> Receiver<String> {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        let lines = BufReader::new(output).lines().map_while(Result::ok);
        // Sending fails once the test has finished.
        for line in lines {
            let _ = sender.send(line);
        }
    });
    receiver
}

/// Waits for a line that contains `wanted`.
fn wait_for_line(lines: &Receiver<String>, wanted: &str) {
    loop {
        let line = lines.recv_timeout(TIMEOUT);
        if line.expect("another line").contains(wanted) {
            return;
        }
    }
}

#[test]
fn settings_are_reloaded_on_file_change_and_on_sighup() {
    let addresses = free_addresses(1);
    let file = std::env::temp_dir().join(format!("beamtray-reload-{}.toml", std::process::id()));
    let write = |allowance| {
        // Replaced atomically, since the process may read the file at any time.
        let next = file.with_extension("next");
        std::fs::write(&next, settings_text(addresses, allowance))
            .expect("the temporary directory is writable");
        std::fs::rename(&next, &file).expect("both paths are in one directory");
    };
    write(56);
    let mut child = Command::new(env!("CARGO_BIN_EXE_beamtray"))
        .args(["route", "--settings"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let output = child.stdout.take().expect("stdout is piped");
    let router = RouterProcess(child);
    let lines = lines_of(output);
    wait_for_line(&lines, "msg=start");
    write(57);
    wait_for_line(&lines, "outcome=changed");
    // A value out of range is rejected and the process keeps running.
    write(-1);
    wait_for_line(&lines, "outcome=refused");
    write(58);
    wait_for_line(&lines, "outcome=changed");
    let pid = Pid::from_raw(router.0.id() as i32);
    kill(pid, Signal::SIGHUP).expect("the process is running");
    wait_for_line(&lines, "outcome=same");
    // Failing to remove a file in the temporary directory is harmless.
    let _ = std::fs::remove_file(&file);
}
