//! Malicious, slow and malformed input: the node rejects it and keeps serving.

use crate::support::{Cluster, SERVICE, call, eventually};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);
const MEMORY_LIMIT_KIB: u64 = 256 * 1024;

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the node accepts");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("a valid timeout");
    stream
}

/// Sends raw bytes and returns what is received until the connection closes.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    // The node may close before it has read everything.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn assert_serves(cluster: &Cluster, node: usize) {
    let callers = cluster.nodes[node].callers;
    let url = format!("http://{callers}/{SERVICE}/account-1/balance");
    let reply = call("GET", &url, None, TIMEOUT).expect("the node serves");
    assert_eq!(reply.status, 200);
}

#[test]
fn malformed_and_idle_callers_are_handled_within_the_memory_limit() {
    let cluster = Cluster::start("bad-input", 2);
    let callers = cluster.nodes[0].callers;
    let status = |bytes: &[u8]| {
        let answer = exchange(callers, bytes);
        answer
            .split(' ')
            .nth(1)
            .map(str::to_owned)
            .unwrap_or_default()
    };

    assert_eq!(status(b"nonsense\r\n\r\n"), "400");
    let both = b"POST /accounts/k/t HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\
        content-length: 4\r\n\r\nabcd";
    assert_eq!(status(both), "400");
    let huge = b"POST /accounts/k/t HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        content-length: 99999999\r\n\r\n";
    assert_eq!(status(huge), "413");
    assert_eq!(
        status(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"),
        "404"
    );
    let unknown = b"GET /nothing/k HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    assert_eq!(status(unknown), "404");

    // A header of 64 MB.
    let mut long = b"GET /accounts/k HTTP/1.1\r\nhost: x\r\nx: ".to_vec();
    long.resize(64 * 1024 * 1024, b'a');
    let answer = exchange(callers, &long);
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");

    // A thousand connections that send either nothing or a single byte.
    let idle: Vec<TcpStream> = (0..1_000)
        .map(|number| {
            let mut stream = connect(callers);
            if number % 2 == 0 {
                stream.write_all(b"G").expect("the node reads");
            }
            stream
        })
        .collect();
    assert_serves(&cluster, 0);
    let memory = cluster.nodes[0].process.resident_kib();
    println!("resident with 1000 idle callers, after a 64 MB header: {memory} KiB");
    assert!(memory < MEMORY_LIMIT_KIB);
    drop(idle);
    assert_serves(&cluster, 0);
}

#[test]
fn invalid_peer_frames_are_rejected_and_the_group_stays_available() {
    let cluster = Cluster::start("bad-peer", 2);
    let peers = cluster.nodes[0].peers;
    let too_long = u32::MAX.to_le_bytes();
    let version: Vec<u8> = [4u32.to_le_bytes().to_vec(), vec![9, 9, 0, 0]].concat();
    let garbled: Vec<u8> = [12u32.to_le_bytes().to_vec(), vec![1, 0], vec![0xff; 10]].concat();
    for bytes in [too_long.to_vec(), version, garbled] {
        let mut stream = connect(peers);
        stream.write_all(&bytes).expect("the node accepts");
        // The node closes the connection: reading ends without data.
        let mut answer = Vec::new();
        stream
            .read_to_end(&mut answer)
            .expect("the connection is closed");
        assert!(answer.is_empty());
    }
    assert_serves(&cluster, 0);
    eventually("the group to go on", || cluster.status());
}

#[test]
fn invalid_operator_requests_change_nothing() {
    let cluster = Cluster::start("bad-operator", 2);
    let operators = cluster.nodes[0].operators;
    let request = b"POST /v1/operator HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        content-length: 2\r\n\r\n{}";
    let answer = exchange(operators, request);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let mut declaration = cluster.declaration.clone();
    declaration.services[0].servers.clear();
    assert_eq!(cluster.confirm(1, 99, &declaration), None);
    let report = cluster.status().expect("a status");
    assert_eq!(report.revision, 1);
}
