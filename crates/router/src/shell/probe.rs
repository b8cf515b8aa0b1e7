//! Finds out whether an upstream still listens.

use crate::core::{Input, Liveness};
use crate::shell::connections::CONNECT_TIMEOUT;
use crate::shell::handle::Shared;
use beamtray_dispatch::DoubtedUpstream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How often a connection is tried before an upstream counts as silent: one opening packet
/// in forty may get lost, and the system sends the next one after a second.
const MAX_TRIES: u32 = 3;
/// After this one that listened is tried once more. A process that ends closes its
/// connections some milliseconds before it stops to listen where its machine is busy: taken
/// for alive, it did not count as ended in 3 of 10 runs of real processes beside load.
const RECHECK_DELAY: Duration = Duration::from_millis(50);
/// Between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Tries to connect to an upstream and tells the core what that showed. Nothing is sent: a
/// request would take one of its slots.
pub(crate) fn probe_upstream(shared: &Rc<Shared>, doubted: DoubtedUpstream) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let mut liveness = Liveness::Silent;
        for _ in 0..MAX_TRIES {
            liveness = try_once(doubted.address).await;
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
        let upstream = doubted.upstream;
        shared.observer.upstream_probed(&upstream, liveness);
        shared.input(Input::Probed { upstream, liveness });
    });
}

async fn try_once(address: SocketAddr) -> Liveness {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Liveness::Listens,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Liveness::Ended,
        Ok(Err(_)) | Err(_) => Liveness::Silent,
    }
}
