//! A proxy in front of an upstream that can fall silent, as the path to it does when it is cut: open
//! connections end, and new ones are neither accepted nor refused.

use socket2::{Domain, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Connections that the system accepts before the proxy does. Few, so that the proxy can fill them
/// to fall silent: the system then drops the first packet of any more.
const BACKLOG: i32 = 4;
/// How often a silent proxy looks whether it is open again.
const POLL: Duration = Duration::from_millis(5);
/// A connection that does not come up in this time shows that the backlog is full.
const FULL_AFTER: Duration = Duration::from_millis(30);

/// The proxy.
#[derive(Clone)]
pub struct Gate {
    pub address: SocketAddr,
    is_open: Arc<AtomicBool>,
    connections: Connections,
    fillers: Arc<Mutex<Vec<TcpStream>>>,
}

type Connections = Arc<Mutex<Vec<TcpStream>>>;

impl Gate {
    /// Starts a proxy on a free port for the upstream that `connect_to` sets later.
    pub fn start() -> io::Result<(Self, GateTarget)> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into())?;
        socket.listen(BACKLOG)?;
        let listener: TcpListener = socket.into();
        let gate = Self {
            address: listener.local_addr()?,
            is_open: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
            fillers: Arc::default(),
        };
        let target = GateTarget {
            listener,
            is_open: gate.is_open.clone(),
            connections: gate.connections.clone(),
        };
        Ok((gate, target))
    }

    /// Cuts the path.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let mut fillers = self.fillers.lock().unwrap();
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, FULL_AFTER) {
            fillers.push(filler);
        }
    }

    /// Heals the path.
    pub fn open(&self) {
        self.fillers.lock().unwrap().clear();
        self.is_open.store(true, Ordering::SeqCst);
    }
}

/// The listening side of a proxy, until it knows its upstream.
pub struct GateTarget {
    listener: TcpListener,
    is_open: Arc<AtomicBool>,
    connections: Connections,
}

impl GateTarget {
    /// Begins to pass connections on to the upstream.
    pub fn connect_to(self, upstream: SocketAddr) {
        thread::spawn(move || {
            for accepted in self.listener.incoming() {
                wait_until(&self.is_open);
                let Ok(accepted) = accepted else { continue };
                let is_open = self.is_open.clone();
                let connections = self.connections.clone();
                thread::spawn(move || {
                    let _ = pass_on(accepted, upstream, &is_open, &connections);
                });
            }
        });
    }
}

fn wait_until(is_open: &AtomicBool) {
    while !is_open.load(Ordering::SeqCst) {
        thread::sleep(POLL);
    }
}

fn pass_on(
    from: TcpStream,
    upstream: SocketAddr,
    is_open: &Arc<AtomicBool>,
    connections: &Connections,
) -> io::Result<()> {
    let to = TcpStream::connect(upstream)?;
    connections
        .lock()
        .unwrap()
        .extend([from.try_clone()?, to.try_clone()?]);
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let (back_from, back_to) = (to.try_clone()?, from.try_clone()?);
    let for_back = is_open.clone();
    thread::spawn(move || copy(back_from, back_to, &for_back));
    copy(from, to, is_open);
    Ok(())
}

/// Copies until either side ends. What arrives while the path is cut is lost, and the connection
/// with it.
fn copy(mut from: TcpStream, mut to: TcpStream, is_open: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let length = from.read(&mut buffer);
        let was_cut = !is_open.load(Ordering::SeqCst);
        wait_until(is_open);
        match length {
            Ok(length) if length > 0 && !was_cut => {
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
