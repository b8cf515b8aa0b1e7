//! How the router ends the connection of an abandoned call.
//!
//! After an ordinary close the kernel continues to retransmit written data for as long as the
//! path is cut; a reset drops the data. A forwarder on the path continues to read without
//! forwarding anything, and records which of the two ended the connection.

mod common;

use beamtray_soak::PROBE;
use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

const CLIENT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the connection of an abandoned call may stay open after its last byte.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// How a router's connection with a call in progress ended.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

/// A forwarder on the path to an upstream.
struct Path {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    ends: Receiver<End>,
}

impl Path {
    fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let (sender, ends) = channel();
        let cut = is_cut.clone();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let (cut, sender) = (cut.clone(), sender.clone());
                thread::spawn(move || pass(client, to, &cut, &sender));
            }
        });
        Self {
            address,
            is_cut,
            ends,
        }
    }

    fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }
}

fn pass(mut client: TcpStream, to: SocketAddr, is_cut: &AtomicBool, ends: &Sender<End>) {
    let Ok(mut server) = TcpStream::connect(to) else {
        return;
    };
    let (Ok(mut answers), Ok(mut answered)) = (server.try_clone(), client.try_clone()) else {
        return;
    };
    thread::spawn(move || std::io::copy(&mut answers, &mut answered));
    let mut buffer = [0; 4_096];
    let mut was_held_back = false;
    loop {
        let end = match client.read(&mut buffer) {
            Ok(0) => End::Closed,
            Ok(length) if is_cut.load(Ordering::SeqCst) => {
                was_held_back |= length > 0;
                continue;
            }
            Ok(length) => {
                if server.write_all(&buffer[..length]).is_err() {
                    return;
                }
                continue;
            }
            Err(error) if error.kind() == ErrorKind::ConnectionReset => End::Reset,
            Err(error) => panic!("{error}"),
        };
        if was_held_back {
            // Sending fails if the test has already ended.
            let _ = ends.send(end);
        }
        return;
    }
}

/// A router that has served a read over the path before it was cut, and the other processes,
/// which must live as long.
struct Served {
    path: Path,
    router: SocketAddr,
    process: Process,
    _others: Vec<Process>,
}

fn read(router: SocketAddr) -> Option<String> {
    ask(router, "GET", &format!("{PROBE}1/1"), CLIENT_TIMEOUT)
}

fn serve_and_cut(name: &str) -> Served {
    let folder = folder(name);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let driver = listener.local_addr().expect("an address");
    drive(listener);
    let (store, store_process) = store(&folder, driver);
    let (router, process) = router(&folder, 0, store);
    let listen = free_addresses(1)[0];
    let path = Path::start(listen);
    let upstream = Upstream {
        id: "pool-0-0",
        listen,
        advertised: path.address,
        store,
        driver,
    };
    let others = vec![store_process, upstream.start(&folder)];
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    while !is_served(&read(router)) {
        assert!(Instant::now() < deadline, "the router does not serve");
        thread::sleep(POLL_INTERVAL);
    }
    path.cut();
    Served {
        path,
        router,
        process,
        _others: others,
    }
}

#[test]
fn a_call_that_is_given_up_is_reset() {
    let served = serve_and_cut("given-up-calls");
    assert!(!is_served(&read(served.router)));
    let end = served.path.ends.recv_timeout(CLOSE_TIMEOUT);
    assert_eq!(end, Ok(End::Reset));
}

#[test]
fn a_call_of_a_killed_process_is_reset() {
    let served = serve_and_cut("calls-of-a-killed-process");
    let router = served.router;
    let reader = thread::spawn(move || read(router));
    // By then the request has been sent to the upstream and is not yet abandoned.
    thread::sleep(CLIENT_TIMEOUT / 4);
    drop(served.process);
    let end = served.path.ends.recv_timeout(CLOSE_TIMEOUT);
    assert_eq!(end, Ok(End::Reset));
    let answer = reader.join().expect("it ends");
    assert!(!is_served(&answer));
}
