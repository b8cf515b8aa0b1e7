//! A real router opens connections to upstreams for other routers.

mod common;

use beamtray_adapter::Platform;
use beamtray_dialect::Dialect;
use beamtray_soak::{HOST, PROBE};
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const PREAMBLE: &[u8; 8] = b"BTTUNNEL";
const OPENED: u8 = 0;
const REFUSED: u8 = 1;
const DECLINED: u8 = 3;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(500);
const READ_TIMEOUT: Duration = Duration::from_secs(5);

struct Cluster {
    peers: SocketAddr,
    upstream: SocketAddr,
    upstream_process: Process,
    _processes: Vec<Process>,
}

/// A router and an upstream that it serves requests from.
fn cluster(name: &str) -> Cluster {
    let folder = folder(name);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let driver = listener.local_addr().expect("an address");
    drive(listener);
    let (store, store_process) = store(&folder, driver);
    let (clients, peers, router_process) = router_with_peers(&folder, 0, store);
    let listen = free_addresses(1)[0];
    let upstream = Upstream {
        id: "pool-0-0",
        listen,
        advertised: listen,
        store,
        driver,
    };
    let upstream_process = upstream.start(&folder);
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    let path = format!("{PROBE}1/1");
    while !is_served(&ask(clients, "GET", &path, CLIENT_TIMEOUT)) {
        assert!(Instant::now() < deadline, "the router does not serve");
        thread::sleep(POLL_INTERVAL);
    }
    Cluster {
        peers,
        upstream: listen,
        upstream_process,
        _processes: vec![store_process, router_process],
    }
}

/// Asks a router for a connection; returns it and the reply.
fn tunnel(peers: SocketAddr, to: SocketAddr) -> (TcpStream, u8) {
    let mut stream = TcpStream::connect(peers).expect("the router listens");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a valid timeout");
    let to = to.to_string();
    let mut request = PREAMBLE.to_vec();
    request.push(to.len() as u8);
    request.extend_from_slice(to.as_bytes());
    stream.write_all(&request).expect("the router reads it");
    let mut reply = [0];
    stream.read_exact(&mut reply).expect("the router replies");
    (stream, reply[0])
}

// Guards against a response that is lost or cut when it comes through another router.
#[test]
fn a_request_and_its_whole_response_pass_through_another_router() {
    let cluster = cluster("tunnel-request");
    let (mut stream, reply) = tunnel(cluster.peers, cluster.upstream);
    assert_eq!(reply, OPENED);
    let names = Platform.headers();
    let request = format!(
        "GET {PROBE}1/20 HTTP/1.1\r\nHost: {HOST}\r\n{}: 1f\r\n{}: 2000\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n",
        names.request_id, names.deadline_ms
    );
    stream.write_all(request.as_bytes()).expect("written");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("the response ends with its connection");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head and a body");
    let length = head
        .lines()
        .find_map(|line| {
            let (name, value) = line.split_once(':')?;
            let is_length = name.eq_ignore_ascii_case("content-length");
            is_length.then(|| value.trim().parse::<usize>().ok())?
        })
        .expect("a length");
    assert_eq!(body.len(), length);
}

// Guards against a router that opens connections to anything, or that hides that an upstream has ended.
#[test]
fn a_router_connects_only_to_registered_upstreams_and_says_when_it_is_refused() {
    let mut cluster = cluster("tunnel-targets");
    let (_, reply) = tunnel(cluster.peers, cluster.peers);
    assert_eq!(reply, DECLINED);
    let (stream, reply) = tunnel(cluster.peers, cluster.upstream);
    assert_eq!(reply, OPENED);
    drop(stream);
    cluster.upstream_process.kill();
    let (_, reply) = tunnel(cluster.peers, cluster.upstream);
    assert_eq!(reply, REFUSED);
}
