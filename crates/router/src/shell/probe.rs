//! Finds out whether an upstream still listens.

use crate::core::{Input, Liveness};
use crate::shell::connections::CONNECT_TIMEOUT;
use crate::shell::handle::Shared;
use beamtray_dispatch::DoubtedUpstream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Tries to connect to an upstream and tells the core what that showed. Nothing is sent: a
/// request would take one of its slots.
pub(crate) fn listens(shared: &Rc<Shared>, doubted: DoubtedUpstream) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let liveness = liveness(doubted.address).await;
        let upstream = doubted.upstream;
        shared.observer.probed(&upstream, liveness);
        shared.input(Input::Probed { upstream, liveness });
    });
}

async fn liveness(address: SocketAddr) -> Liveness {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Liveness::Listens,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Liveness::Ended,
        Ok(Err(_)) | Err(_) => Liveness::Silent,
    }
}
