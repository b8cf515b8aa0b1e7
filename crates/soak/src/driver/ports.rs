//! Port allocation for the processes of a run.
//!
//! A port is found free here and bound later by another process. Nothing else may take it in
//! between or while that process is down: an outgoing connection could if the port were in
//! the ephemeral range, and so could a concurrent run. Ports below the ephemeral range are
//! therefore divided into blocks of one length. A run claims as many adjacent blocks as it
//! needs by listening on the first port of each for as long as it lasts, so that runs of
//! different sizes have no port in common either. Choosing the blocks by process id alone is
//! not enough: two runs whose ids differed by 220 had the same ports, and the upstreams of one
//! answered requests of the other.

use crate::size::Size;
use eyre::{Result, bail};
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// First port of all runs; the ephemeral range begins at 32,768.
const FIRST: u32 = 10_000;
/// Number of ports for all runs.
const ALL: u32 = 22_000;
/// Number of ports of a block.
const BLOCK: u32 = 100;
/// Number of blocks of all runs.
const BLOCKS: u32 = ALL / BLOCK;
/// Number of listening ports of a router.
const PORTS_A_ROUTER: u32 = 4;

/// The ports of one run.
pub struct Ports {
    /// Listeners on the first port of each block, which mark the blocks as taken.
    _claims: Vec<TcpListener>,
    first: u32,
    count: u32,
    next: Cell<u32>,
}

impl Ports {
    /// Claims twice as many ports as the run needs, distinct from those of concurrent runs. The
    /// search begins at a block chosen by process id.
    ///
    /// # Errors
    /// When concurrent runs leave too few adjacent blocks.
    pub fn claim(size: Size) -> Result<Self> {
        let needed = size.routers as u32 * PORTS_A_ROUTER + size.upstreams() as u32;
        let blocks = (needed * 2).div_ceil(BLOCK);
        let starts = BLOCKS + 1 - blocks.min(BLOCKS);
        for turn in 0..starts {
            let first = FIRST + (std::process::id() + turn) % starts * BLOCK;
            let claims = (0..blocks).map(|block| claim_block(first + block * BLOCK));
            // An error means that another run has one of the blocks.
            if let Ok(claims) = claims.collect::<Result<Vec<TcpListener>>>() {
                return Ok(Self {
                    _claims: claims,
                    first,
                    count: blocks * BLOCK,
                    next: Cell::new(1),
                });
            }
        }
        bail!("no {blocks} adjacent port blocks are free")
    }

    /// A loopback address of the run that is free for both TCP and UDP.
    ///
    /// # Errors
    /// When no port of the run is free.
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

fn claim_block(first: u32) -> Result<TcpListener> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(first)?));
    Ok(TcpListener::bind(address)?)
}
