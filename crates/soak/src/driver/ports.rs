//! Ports for the processes of a run.
//!
//! A port is found free here and bound by another process later. Nothing else may take it
//! meanwhile, nor while that process is down: an outgoing connection would get it as its
//! own, were it one of those that the system gives out, and another run that plays at the
//! same time would find it free. So each run has ports of its own, below the system's:
//! it listens on the first of them for as long as it lasts, and takes others where another run
//! does. Counter-case: ports by the process id alone. Two runs whose ids lay 220 apart had the
//! same, and one's upstreams answered the other's requests.

use crate::size::Size;
use eyre::{Result, bail};
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// First port of all runs; the system gives out those from 32,768 on.
const FIRST: u32 = 10_000;
/// Ports of all runs.
const ALL: u32 = 22_000;
/// Listening addresses of a router.
const PORTS_A_ROUTER: u32 = 4;
/// Least ports of a run.
const LEAST: u32 = 100;

/// The ports of one run.
pub struct Ports {
    /// Held on the first of them.
    _claim: TcpListener,
    first: u32,
    count: u32,
    next: Cell<u32>,
}

impl Ports {
    /// Those of a run: twice as many as it needs, and none that a run of the same size has that
    /// plays at the same time. The process id tells where to begin to look.
    ///
    /// # Errors
    /// When as many runs play as there are ports for.
    pub fn claim(size: Size) -> Result<Self> {
        let needed = size.routers as u32 * PORTS_A_ROUTER + size.upstreams() as u32;
        let count = (needed * 2).max(LEAST);
        let runs = ALL / count;
        for run in 0..runs {
            let first = FIRST + (std::process::id() + run) % runs * count;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(first)?));
            if let Ok(claim) = TcpListener::bind(address) {
                return Ok(Self {
                    _claim: claim,
                    first,
                    count,
                    next: Cell::new(1),
                });
            }
        }
        bail!("{runs} runs of this size play at the same time")
    }

    /// An address of this machine that nobody listens on, neither over TCP nor UDP.
    ///
    /// # Errors
    /// When there is none among them.
    pub fn free_address(&self) -> Result<SocketAddr> {
        for _ in 0..self.count {
            let offset = self.next.get();
            self.next.set((offset + 1) % self.count);
            let port = u16::try_from(self.first + offset)?;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
        bail!(
            "none of {} ports from {} on is free",
            self.count,
            self.first
        )
    }
}
