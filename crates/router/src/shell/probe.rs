//! Connection probes that show whether an upstream still listens.

use crate::core::{Input, Liveness};
use crate::shell::connections::CONNECT_TIMEOUT;
use crate::shell::handle::Shared;
use crate::shell::tunnel;
use beamtray_dispatch::ProbeTarget;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Connection attempts before an upstream counts as silent: one initial packet (SYN) in forty
/// may be lost, and the system retransmits it only after a second.
const MAX_TRIES: u32 = 3;
/// Delay before an upstream that listened is probed again. On a busy machine a process that
/// ends closes its connections some milliseconds before it stops listening. Without the second
/// probe it was taken for alive, and did not count as terminated in 3 of 10 runs with real
/// processes under load.
const RECHECK_DELAY: Duration = Duration::from_millis(50);
/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Probes an upstream by connecting and reports the result to the core. Nothing is sent: a
/// request would take one of its slots.
///
/// If the connection is refused, the process has ended only if none of the witnesses, other nodes,
/// opens one.
pub(crate) fn probe_upstream(
    shared: &Rc<Shared>,
    doubted: ProbeTarget,
    witnesses: Vec<SocketAddr>,
) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let mut liveness = Liveness::Silent;
        let began = shared.now();
        for attempt in 0..MAX_TRIES {
            liveness = try_once(doubted.address).await;
            if attempt == 0 {
                shared.input(Input::ConnectionTried {
                    upstream: doubted.upstream.clone(),
                    address: doubted.address,
                    began,
                    opened: liveness == Liveness::Listens,
                });
            }
            if liveness != Liveness::Silent {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        if liveness == Liveness::Listens {
            tokio::time::sleep(RECHECK_DELAY).await;
            if try_once(doubted.address).await == Liveness::Ended {
                liveness = Liveness::Ended;
            }
        }
        if liveness == Liveness::Ended && is_seen_by_any(witnesses, doubted.address).await {
            liveness = Liveness::Listens;
        }
        let upstream = doubted.upstream;
        shared.observer.upstream_probed(&upstream, liveness);
        shared.input(Input::Probed { upstream, liveness });
    });
}

/// Whether any of the nodes opens a connection to the address.
async fn is_seen_by_any(nodes: Vec<SocketAddr>, address: SocketAddr) -> bool {
    let mut asked = JoinSet::new();
    for node in nodes {
        asked.spawn_local(async move { tunnel::open(node, address).await.is_ok() });
    }
    while let Some(opened) = asked.join_next().await {
        if opened.unwrap_or_default() {
            return true;
        }
    }
    false
}

/// Connects to an upstream behind a broken path once and reports whether that worked.
pub(crate) fn probe_path(shared: &Rc<Shared>, target: ProbeTarget) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let began = shared.now();
        let liveness = try_once(target.address).await;
        shared.input(Input::ConnectionTried {
            upstream: target.upstream,
            address: target.address,
            began,
            opened: liveness == Liveness::Listens,
        });
    });
}

async fn try_once(address: SocketAddr) -> Liveness {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Liveness::Listens,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Liveness::Ended,
        Ok(Err(_)) | Err(_) => Liveness::Silent,
    }
}
