//! Ports for the processes of a run.
//!
//! A port is found free here and bound by another process later. Nothing else may take it
//! meanwhile, nor while that process is down: an outgoing connection would get it as its
//! own, were it one of those that the system gives out, and another run that plays at the
//! same time would find it free. So each run has ports of its own, below the system's.

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
pub(super) struct Ports {
    first: u32,
    count: u32,
    next: Cell<u32>,
}

impl Ports {
    /// Those of the run that this process plays: twice as many as it needs. Runs of one size
    /// may play at the same time, if their process ids are close together.
    pub fn of_this_process(size: Size) -> Self {
        let needed = size.routers as u32 * PORTS_A_ROUTER + size.upstreams() as u32;
        let count = (needed * 2).max(LEAST);
        let runs = ALL / count;
        Self {
            first: FIRST + std::process::id() % runs * count,
            count,
            next: Cell::new(0),
        }
    }

    /// An address of this machine that nobody listens on, neither over TCP nor UDP.
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
