//! Port allocation for the processes of a run.
//!
//! A port is found free here and bound later by another process. Nothing else may take it in
//! between or while that process is down: an outgoing connection could if the port were in
//! the ephemeral range, and so could a concurrent run. Each run therefore claims a block of
//! ports below the ephemeral range by listening on the first port of the block for as long
//! as it lasts, and skips blocks claimed by other runs. Choosing the block by process id alone
//! is not enough: two runs whose ids differed by 220 had the same ports, and the upstreams of
//! one answered requests of the other.

use crate::size::Size;
use eyre::{Result, bail};
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// First port of all runs; the ephemeral range begins at 32,768.
const FIRST: u32 = 10_000;
/// Number of ports for all runs.
const ALL: u32 = 22_000;
/// Number of listening ports of a router.
const PORTS_A_ROUTER: u32 = 4;
/// Minimum number of ports of a run.
const LEAST: u32 = 100;

/// The ports of one run.
pub struct Ports {
    /// Listener on the first port, which marks the block as taken.
    _claim: TcpListener,
    first: u32,
    count: u32,
    next: Cell<u32>,
}

impl Ports {
    /// Claims a block with twice as many ports as the run needs, distinct from those of
    /// concurrent runs of the same size. The search begins at a block chosen by process id.
    ///
    /// # Errors
    /// When all blocks are taken by concurrent runs.
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
        bail!("all {runs} port blocks for runs of this size are in use")
    }

    /// A loopback address of the block that is free for both TCP and UDP.
    ///
    /// # Errors
    /// When no port of the block is free.
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
