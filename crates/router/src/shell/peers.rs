//! Talk between nodes: reports in datagrams, copies of views over TCP.

use crate::core::{Datagram, Input, NodeCore, Snapshot, ViewRequest};
use crate::shell::connections::prepare;
use crate::shell::handle::Shared;
use beamtray_dispatch::KeyReport;
use beamtray_metastore::Revision;
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

/// How long a connection of another node is kept.
const SERVE_TIMEOUT: Duration = Duration::from_secs(5);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const READ_BYTES: usize = 16 * 1024;
/// Key loads in one datagram, so that it fits a packet.
const KEYS_A_DATAGRAM: usize = 200;
const DATAGRAM_BYTES: usize = 2 * 1024;

/// Why a talk with another node failed.
#[derive(Debug, Error)]
enum PeerError {
    /// The connection failed.
    #[error("connection: {0}")]
    Connection(#[from] std::io::Error),
    /// What came was no message.
    #[error("message: {0}")]
    Frame(#[from] FrameError),
    /// The connection ended before a whole message.
    #[error("connection ended early")]
    Ended,
}

/// Sends word to other nodes; what does not fit a packet goes in several.
pub(crate) fn send(shared: &Shared, datagram: &Datagram, addresses: &[SocketAddr]) {
    let Datagram::Keys(report) = datagram else {
        return send_one(shared, datagram, addresses);
    };
    for keys in report.keys.chunks(KEYS_A_DATAGRAM) {
        let part = KeyReport {
            services: report.services.clone(),
            keys: keys.to_vec(),
        };
        send_one(shared, &Datagram::Keys(part), addresses);
    }
}

fn send_one(shared: &Shared, datagram: &Datagram, addresses: &[SocketAddr]) {
    let Ok(bytes) = borsh::to_vec(datagram) else {
        return;
    };
    for address in addresses {
        // What is lost is not missed.
        let _ = shared.datagrams.try_send_to(&bytes, *address);
    }
}

/// Takes word of other nodes.
pub(crate) async fn receive(shared: Rc<Shared>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = shared.datagrams.recv_from(&mut buffer).await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if let Ok(datagram) = borsh::from_slice::<Datagram>(&buffer[..length]) {
            shared.input(Input::Datagram(from, datagram));
        }
    }
}

/// Asks another node for its copies and waits at most `wait`.
pub(crate) fn ask(shared: &Rc<Shared>, address: SocketAddr, request: ViewRequest, wait: Duration) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let answer = timeout(wait, fetch(address, &request)).await;
        let input = match answer {
            Ok(Ok(snapshots)) => Input::Snapshots(address, snapshots),
            Ok(Err(error)) => not_answered(&shared, address, &error.to_string()),
            Err(_) => not_answered(&shared, address, "timeout"),
        };
        shared.input(input);
    });
}

fn not_answered(shared: &Shared, address: SocketAddr, error: &str) -> Input {
    shared.observer.peer_unanswered(address, error);
    Input::NotAnswered(address)
}

async fn fetch(address: SocketAddr, request: &ViewRequest) -> Result<Vec<Snapshot>, PeerError> {
    let mut stream = TcpStream::connect(address).await?;
    prepare(&stream);
    stream.write_all(&encode(request)?).await?;
    let packed: CompressedMessage = read_message(&mut stream).await?;
    Ok(packed.decompress()?)
}

async fn read_message<T: borsh::BorshDeserialize>(stream: &mut TcpStream) -> Result<T, PeerError> {
    let mut frames = FrameBuffer::default();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        if let Some(message) = frames.next_message()? {
            return Ok(message);
        }
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Err(PeerError::Ended);
        }
        frames.extend(&buffer[..length]);
    }
}

/// Answers other nodes.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            // A node that fails to ask asks another.
            let _ = timeout(SERVE_TIMEOUT, answer(&shared, stream)).await;
        });
    }
}

/// The last answer to other nodes, ready to be sent. After each change all nodes of a
/// zone ask their relay for the same difference, and after a start for the same copies.
#[derive(Default)]
pub(crate) struct LastAnswer {
    last: RefCell<Option<PackedAnswer>>,
}

/// Tells one state of a copy from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CopyState {
    /// Up to which revision it is whole.
    at: Option<Revision>,
    /// Newest change in it.
    latest: Revision,
}

/// An answer, and what it answers.
struct PackedAnswer {
    request: ViewRequest,
    /// The copies that it was made of.
    made_of: Vec<CopyState>,
    bytes: Bytes,
}

impl LastAnswer {
    /// The bytes of the last answer, if it is this question's and still right.
    fn find(&self, request: &ViewRequest, made_of: &[CopyState]) -> Option<Bytes> {
        let last = self.last.borrow();
        let last = last.as_ref()?;
        let is_same = last.request == *request && last.made_of == made_of;
        is_same.then(|| last.bytes.clone())
    }

    fn keep(&self, answer: PackedAnswer) {
        *self.last.borrow_mut() = Some(answer);
    }
}

/// What an answer is made of, and the copies unless it stands ready.
enum Prepared {
    Ready(Bytes),
    Made(Vec<CopyState>, Vec<Snapshot>),
}

fn prepare_answer(shared: &Shared, core: &NodeCore, request: &ViewRequest) -> Prepared {
    let (views, ..) = core.inspect();
    let wanted = request.wanted.iter();
    let made_of: Vec<CopyState> = wanted
        .map(|wanted| {
            let replica = views.replica(wanted.view);
            CopyState {
                at: replica.mirror().at(),
                latest: replica.latest(),
            }
        })
        .collect();
    match shared.last_answer.find(request, &made_of) {
        Some(bytes) => Prepared::Ready(bytes),
        None => Prepared::Made(made_of, core.answer(request)),
    }
}

async fn answer(shared: &Rc<Shared>, mut stream: TcpStream) -> Result<(), PeerError> {
    let request: ViewRequest = read_message(&mut stream).await?;
    let (sender, receiver) = oneshot::channel();
    let (for_look, asked) = (shared.clone(), request.clone());
    shared.inspect(move |core| {
        // The asker may have left.
        let _ = sender.send(prepare_answer(&for_look, core, &asked));
    });
    let bytes = match receiver.await.map_err(|_| PeerError::Ended)? {
        Prepared::Ready(bytes) => bytes,
        Prepared::Made(made_of, snapshots) => {
            let bytes = Bytes::from(encode(&CompressedMessage::new(&snapshots)?)?);
            shared.last_answer.keep(PackedAnswer {
                request,
                made_of,
                bytes: bytes.clone(),
            });
            bytes
        }
    };
    stream.write_all(&bytes).await?;
    Ok(())
}
