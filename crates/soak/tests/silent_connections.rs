//! Established connections go silent permanently while new ones work.

mod common;

use beamtray_soak::PROBE;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Connections that a router keeps open to one upstream.
const KEPT: usize = 4;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(500);

/// A forwarder whose open connections can be silenced.
struct Link {
    address: SocketAddr,
    silence: Arc<std::sync::Mutex<Arc<AtomicBool>>>,
}

impl Link {
    fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let silence = Arc::new(std::sync::Mutex::new(Arc::new(AtomicBool::new(false))));
        let of_new = silence.clone();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let is_silent = of_new.lock().expect("not poisoned").clone();
                if let Ok(server) = TcpStream::connect(to) {
                    join(client, server, &is_silent);
                }
            }
        });
        Self { address, silence }
    }

    /// Silences all connections that are open now.
    fn silence(&self) {
        let new = Arc::new(AtomicBool::new(false));
        let mut current = self.silence.lock().expect("not poisoned");
        std::mem::replace(&mut *current, new).store(true, Ordering::SeqCst);
    }
}

fn join(client: TcpStream, server: TcpStream, is_silent: &Arc<AtomicBool>) {
    let both = [
        (client.try_clone(), server.try_clone()),
        (Ok(server), Ok(client)),
    ];
    for (from, to) in both {
        let is_silent = is_silent.clone();
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        thread::spawn(move || pass_on(from, to, &is_silent));
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, is_silent: &AtomicBool) {
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if is_silent.load(Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
    // The other side may have closed already.
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Sends a read with the given execution time.
fn read(router: SocketAddr, work_ms: u64) -> Option<String> {
    ask(
        router,
        "GET",
        &format!("{PROBE}1/{work_ms}"),
        CLIENT_TIMEOUT,
    )
}

/// Guards against a failed request for each silent pooled connection: the first timeout must
/// make the router discard the others as well.
#[test]
fn one_silent_connection_to_an_upstream_tells_of_the_others() {
    let folder = folder("silent-connections");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let driver = listener.local_addr().expect("an address");
    drive(listener);
    let (store, _store) = store(&folder, driver);
    let (router, _router) = router(&folder, 0, store);
    let listen = free_addresses(1)[0];
    let link = Link::start(listen);
    let upstream = Upstream {
        id: "pool-0-0",
        listen,
        advertised: link.address,
        store,
        driver,
    };
    let _upstream = upstream.start(&folder);
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    while !is_served(&read(router, 1)) {
        assert!(Instant::now() < deadline, "the router does not serve");
        thread::sleep(POLL_INTERVAL);
    }
    let together: Vec<_> = (0..KEPT)
        .map(|_| thread::spawn(move || read(router, 150)))
        .collect();
    for reader in together {
        assert!(is_served(&reader.join().expect("it ends")));
    }
    link.silence();
    let served = (0..KEPT).filter(|_| {
        // After a failure the router avoids the upstream for a moment.
        thread::sleep(POLL_INTERVAL);
        is_served(&read(router, 1))
    });
    let served = served.count();
    assert!(served >= KEPT - 1, "{served} of {KEPT} served");
}
