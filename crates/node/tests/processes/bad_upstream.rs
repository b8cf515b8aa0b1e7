//! Backends whose responses are truncated, too long or not HTTP: the caller must get
//! an unknown outcome, never a partial response.

use crate::support::{Cluster, call};
use beamtray_settings::Division;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Larger than the largest upstream response a node accepts.
const OVERSIZED_BODY_BYTES: usize = 17 * 1024 * 1024;

/// Starts a backend that sends the same bytes on every connection and closes it.
fn start_backend(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            respond(stream, &answer);
        }
    });
    address
}

fn respond(mut stream: TcpStream, answer: &[u8]) {
    let mut request = [0; 4_096];
    // The request is ignored, and writing may fail because the node stops reading.
    let _ = stream.read(&mut request);
    let _ = stream.write_all(answer);
}

#[test]
fn incomplete_upstream_responses_have_an_unknown_outcome() {
    let cluster = Cluster::start("bad-upstream", 2);
    let mut long =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {OVERSIZED_BODY_BYTES}\r\n\r\n").into_bytes();
    long.resize(long.len() + OVERSIZED_BODY_BYTES, b'a');
    let answers = [
        (
            "short",
            b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc".to_vec(),
        ),
        ("long", long),
        ("garbled", b"this is no HTTP\r\n\r\n".to_vec()),
        ("silent", Vec::new()),
    ];
    let mut declaration = cluster.declaration.clone();
    for (name, answer) in answers.clone() {
        let mut service = cluster.declaration.services[0].clone();
        service.name = name.into();
        service.division = Division::Pool;
        service.servers.truncate(1);
        service.servers[0].name = format!("{name}-1").as_str().into();
        service.servers[0].address = start_backend(answer);
        declaration.services.push(service);
    }
    assert_eq!(cluster.confirm(1, 2, &declaration), Some(2));
    cluster.wait_for_owners();
    for (name, _) in answers {
        let callers = cluster.nodes[0].callers;
        let url = format!("http://{callers}/{name}/transfers");
        let reply = call("POST", &url, Some("t"), TIMEOUT).expect("a response");
        assert_eq!(reply.status, 502, "{name}");
        assert_eq!(reply.header("beamtray-outcome"), Some("unknown"), "{name}");
        assert!(reply.header("retry-after").is_none(), "{name}");
    }
}
