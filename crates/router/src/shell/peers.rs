//! Communication between nodes: reports in datagrams, copies of views over TCP.

use crate::core::{Datagram, Input, NodeCore, Snapshot, ViewRequest};
use crate::shell::connections::configure_socket;
use crate::shell::handle::Shared;
use crate::shell::observer::Limit;
use crate::shell::tunnel::{self, PREAMBLE};
use beamtray_dispatch::KeyReport;
use beamtray_metastore::Revision;
use beamtray_resources::{ConnectionKind, OpenConnection};
use beamtray_wire::{CompressedMessage, FrameBuffer, FrameError, encode};
use bytes::Bytes;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Longest time in which another node may not send its request or take any byte of the answer. There
/// is no limit on the whole exchange, which takes the longer the larger the deployment is.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Part of an answer that is written at a time. Answers of one part are not paced.
const CHUNK_BYTES: usize = 16 * 1024;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Key loads per datagram, so that it fits into one packet.
const MAX_KEYS_PER_DATAGRAM: usize = 200;
const MAX_DATAGRAM_BYTES: usize = 2 * 1024;

/// Reasons why an exchange with another node failed.
#[derive(Debug, Error)]
enum PeerError {
    /// The connection failed.
    #[error("connection: {0}")]
    Connection(#[from] std::io::Error),
    /// The received bytes are not a valid message.
    #[error("message: {0}")]
    Frame(#[from] FrameError),
    /// The connection ended before a complete message.
    #[error("connection ended early")]
    Ended,
    /// The other node sent or took nothing for too long.
    #[error("timeout")]
    Stalled(#[from] tokio::time::error::Elapsed),
}

/// Sends a datagram to other nodes. Key reports that do not fit one packet are split.
pub(crate) fn send(shared: &Shared, datagram: &Datagram, addresses: &[SocketAddr]) {
    let Datagram::KeyReport(report) = datagram else {
        return send_one(shared, datagram, addresses);
    };
    for keys in report.keys.chunks(MAX_KEYS_PER_DATAGRAM) {
        let part = KeyReport {
            services: report.services.clone(),
            keys: keys.to_vec(),
        };
        send_one(shared, &Datagram::KeyReport(part), addresses);
    }
}

fn send_one(shared: &Shared, datagram: &Datagram, addresses: &[SocketAddr]) {
    let Ok(bytes) = borsh::to_vec(datagram) else {
        return;
    };
    for address in addresses {
        // Datagrams may be lost; later ones replace them.
        let _ = shared.datagrams.try_send_to(&bytes, *address);
    }
}

/// Receives datagrams of other nodes.
pub(crate) async fn receive(shared: Rc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = shared.datagrams.recv_from(&mut buffer).await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if let Ok(datagram) = borsh::from_slice::<Datagram>(&buffer[..length]) {
            shared.input(Input::Datagram(from, datagram));
        }
    }
}

/// Requests another node's copies of views; it may be silent for at most `wait`.
pub(crate) fn request_snapshots(
    shared: &Rc<Shared>,
    address: SocketAddr,
    request: ViewRequest,
    wait: Duration,
) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let input = match fetch_snapshots(address, &request, wait).await {
            Ok(snapshots) => Input::Snapshots(address, snapshots),
            Err(error) => report_unanswered(&shared, address, &error.to_string()),
        };
        shared.input(input);
    });
}

fn report_unanswered(shared: &Shared, address: SocketAddr, error: &str) -> Input {
    shared.observer.peer_unanswered(address, error);
    Input::SnapshotsUnavailable(address)
}

async fn fetch_snapshots(
    address: SocketAddr,
    request: &ViewRequest,
    silence: Duration,
) -> Result<Vec<Snapshot>, PeerError> {
    let mut stream = timeout(silence, TcpStream::connect(address)).await??;
    configure_socket(&stream);
    stream.write_all(&encode(request)?).await?;
    let packed: CompressedMessage = read_message(&mut stream, &[], silence).await?;
    Ok(packed.decompress()?)
}

/// Reads a message, which begins with `first`, from a node that may be silent for so long at a time.
async fn read_message<T: borsh::BorshDeserialize>(
    stream: &mut TcpStream,
    first: &[u8],
    silence: Duration,
) -> Result<T, PeerError> {
    let mut frames = FrameBuffer::default();
    frames.extend(first);
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        if let Some(message) = frames.next_message()? {
            return Ok(message);
        }
        let length = timeout(silence, stream.read(&mut buffer)).await??;
        if length == 0 {
            return Err(PeerError::Ended);
        }
        frames.extend(&buffer[..length]);
    }
}

/// Serves other nodes' requests for copies of views.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let descriptor = shared.account.open_connection(ConnectionKind::Peer);
        let Some(descriptor) = descriptor else {
            shared.observer.limit_reached(Limit::PeerConnections);
            continue;
        };
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            // On failure the requesting node asks another one.
            let _ = serve_request(&shared, stream, descriptor).await;
        });
    }
}

/// Cache of the last encoded answer. After each change all nodes of a zone request the same
/// difference from their relay, and after a start the same copies.
#[derive(Default)]
pub(crate) struct AnswerCache {
    last: RefCell<Option<CachedAnswer>>,
}

/// Identifies one state of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReplicaState {
    /// Revision up to which it is complete.
    at: Option<Revision>,
    /// Revision of its latest change.
    latest: Revision,
}

/// An encoded answer with the request that it belongs to.
struct CachedAnswer {
    request: ViewRequest,
    /// States of the replicas that it was built from.
    replica_states: Vec<ReplicaState>,
    bytes: Bytes,
}

impl AnswerCache {
    /// The cached answer, if it is for the same request and still current.
    fn find(&self, request: &ViewRequest, replica_states: &[ReplicaState]) -> Option<Bytes> {
        let last = self.last.borrow();
        let last = last.as_ref()?;
        let is_same = last.request == *request && last.replica_states == replica_states;
        is_same.then(|| last.bytes.clone())
    }

    fn store(&self, answer: CachedAnswer) {
        *self.last.borrow_mut() = Some(answer);
    }
}

/// An answer from the cache, or the data from which to build one.
enum PreparedAnswer {
    Cached(Bytes),
    Fresh(Vec<ReplicaState>, Vec<Snapshot>),
}

fn prepare_answer(shared: &Shared, core: &NodeCore, request: &ViewRequest) -> PreparedAnswer {
    let (views, ..) = core.inspect();
    let wanted = request.wanted.iter();
    let replica_states: Vec<ReplicaState> = wanted
        .map(|wanted| {
            let replica = views.replica(wanted.view);
            ReplicaState {
                at: replica.mirror().revision(),
                latest: replica.latest(),
            }
        })
        .collect();
    match shared.answer_cache.find(request, &replica_states) {
        Some(bytes) => PreparedAnswer::Cached(bytes),
        None => PreparedAnswer::Fresh(replica_states, core.answer(request)),
    }
}

async fn serve_request(
    shared: &Rc<Shared>,
    mut stream: TcpStream,
    descriptor: OpenConnection,
) -> Result<(), PeerError> {
    let mut first = [0; PREAMBLE.len()];
    timeout(STALL_TIMEOUT, stream.read_exact(&mut first)).await??;
    if first == PREAMBLE {
        return Ok(tunnel::serve(shared, stream, descriptor).await?);
    }
    let request: ViewRequest = read_message(&mut stream, &first, STALL_TIMEOUT).await?;
    let (sender, receiver) = oneshot::channel();
    let (for_core, for_answer) = (shared.clone(), request.clone());
    shared.inspect(move |core| {
        // The requesting node may have disconnected.
        let _ = sender.send(prepare_answer(&for_core, core, &for_answer));
    });
    let bytes = match receiver.await.map_err(|_| PeerError::Ended)? {
        PreparedAnswer::Cached(bytes) => bytes,
        PreparedAnswer::Fresh(replica_states, snapshots) => {
            let bytes = Bytes::from(encode(&CompressedMessage::new(&snapshots)?)?);
            shared.answer_cache.store(CachedAnswer {
                request,
                replica_states,
                bytes: bytes.clone(),
            });
            bytes
        }
    };
    write_paced(shared, &mut stream, &bytes).await
}

/// Writes an answer at the pace of all answers.
async fn write_paced(
    shared: &Shared,
    stream: &mut TcpStream,
    bytes: &[u8],
) -> Result<(), PeerError> {
    for chunk in bytes.chunks(CHUNK_BYTES) {
        if bytes.len() > CHUNK_BYTES {
            let now = shared.now();
            let at = shared.transfer_pace.borrow_mut().reserve(now, chunk.len());
            tokio::time::sleep(at.since(now)).await;
        }
        timeout(STALL_TIMEOUT, stream.write_all(chunk)).await??;
    }
    Ok(())
}
