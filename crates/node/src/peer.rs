//! Connections between nodes: Borsh frames over TCP, handled in the event loop.
//!
//! Connections are unidirectional: a node sends on connections it opened and
//! reads from connections it accepted. A link reports messages that were never
//! sent, so that the core can tell `not run` from `unknown`, and a broken
//! connection, so that the core stops waiting for replies.

use beamtray_control::{Envelope, PeerMessage};
use beamtray_types::NodeId;
use beamtray_wire::{FrameBuffer, encode};
use stakker::{CX, Fwd, fail, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, ReadStatus, Ready, TcpStreamBuf};
use std::io::ErrorKind;
use std::net::SocketAddr;

const POLL_PRIORITY: u32 = 5;
const READ_CHUNK_BYTES: usize = 64 * 1024;
/// The connection is closed when more than this is buffered for a peer that does not read.
const MAX_UNSENT_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of accepted connections open at once.
const MAX_ACCEPTED: usize = 4_096;

/// Why a link closed.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// The connection could not be established; these messages were never sent.
    NotConnected(Vec<PeerMessage>),
    /// The connection broke; messages on it may be lost.
    Broken,
}

/// A connection on which this node sends.
pub(crate) struct PeerLink {
    node: NodeId,
    stream: TcpStreamBuf,
    connected: bool,
    unsent: Vec<PeerMessage>,
    closed: bool,
    events: Fwd<(NodeId, LinkEvent)>,
}

impl PeerLink {
    /// Starts connecting to a peer.
    pub(crate) fn init(
        cx: CX![],
        node: NodeId,
        address: SocketAddr,
        events: Fwd<(NodeId, LinkEvent)>,
    ) -> Option<Self> {
        let mut link = Self {
            node,
            stream: TcpStreamBuf::new(),
            connected: false,
            unsent: Vec::new(),
            closed: false,
            events,
        };
        let ready = fwd_to!([cx], ready() as (Ready));
        let source = TcpStream::connect(address).and_then(|stream| {
            let poll = cx.anymap_get::<MioPoll>();
            let interest = Interest::READABLE | Interest::WRITABLE;
            poll.add(stream, interest, POLL_PRIORITY, ready)
        });
        match source {
            Ok(source) => {
                link.stream.pause_writes(true);
                link.stream.init(source);
                link.stream.set_nodelay(true);
            }
            Err(_) => link.close(cx),
        }
        Some(link)
    }

    /// Sends a message, buffering it until the connection is established.
    pub(crate) fn send(&mut self, cx: CX![], frame: Vec<u8>, message: PeerMessage) {
        if self.closed {
            let event = LinkEvent::NotConnected(vec![message]);
            return self.events.fwd((self.node, event));
        }
        self.stream.out.extend_from_slice(&frame);
        if !self.connected {
            self.unsent.push(message);
        }
        if self.stream.out.len() > MAX_UNSENT_BYTES || self.stream.flush().is_err() {
            self.close(cx);
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if self.closed {
            return;
        }
        if ready.is_error() || ready.is_read_closed() {
            return self.close(cx);
        }
        if ready.is_writable() {
            self.stream.pause_writes(false);
            if self.stream.flush().is_err() {
                return self.close(cx);
            }
            self.connected = true;
            self.unsent.clear();
        }
        // The peer never writes on this connection: readable means that it closed it.
        if ready.is_readable() && self.connected {
            match self.stream.read(READ_CHUNK_BYTES) {
                ReadStatus::NewData | ReadStatus::WouldBlock => {}
                ReadStatus::EndOfStream | ReadStatus::Error(_) => self.close(cx),
            }
        }
    }

    fn close(&mut self, cx: CX![]) {
        if self.closed {
            return;
        }
        self.closed = true;
        self.stream.deinit();
        let event = if self.connected {
            LinkEvent::Broken
        } else {
            LinkEvent::NotConnected(std::mem::take(&mut self.unsent))
        };
        self.events.fwd((self.node, event));
        stop!(cx);
    }
}

/// Encodes an envelope as a frame, or returns `None` if it cannot be encoded.
pub(crate) fn frame(envelope: &Envelope) -> Option<Vec<u8>> {
    encode(envelope).ok()
}

/// A connection from which this node reads.
pub(crate) struct PeerReader {
    stream: TcpStreamBuf,
    frames: FrameBuffer,
    messages: Fwd<(usize, Envelope)>,
    refusals: Fwd<(SocketAddr, String)>,
    address: SocketAddr,
}

impl PeerReader {
    /// Starts reading an accepted connection.
    pub(crate) fn init(
        cx: CX![],
        stream: TcpStream,
        address: SocketAddr,
        messages: Fwd<(usize, Envelope)>,
        refusals: Fwd<(SocketAddr, String)>,
    ) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        let source = match poll.add(stream, Interest::READABLE, POLL_PRIORITY, ready) {
            Ok(source) => source,
            Err(error) => {
                fail!(cx, "accept from {}: {}", address, error);
                return None;
            }
        };
        let mut buffer = TcpStreamBuf::new();
        buffer.init(source);
        Some(Self {
            stream: buffer,
            frames: FrameBuffer::default(),
            messages,
            refusals,
            address,
        })
    }

    fn ready(&mut self, cx: CX![], _: Ready) {
        loop {
            match self.stream.read(READ_CHUNK_BYTES) {
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => return,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => {
                    stop!(cx);
                    return;
                }
            }
            let new = &self.stream.inp[self.stream.rd..self.stream.wr];
            let received = new.len();
            self.frames.extend(new);
            self.stream.rd = self.stream.wr;
            if !self.deliver_frames(received) {
                stop!(cx);
                return;
            }
        }
    }

    /// Forwards complete frames; returns false if the stream is invalid.
    fn deliver_frames(&mut self, received: usize) -> bool {
        let mut received = received;
        loop {
            match self.frames.next_message::<Envelope>() {
                Ok(Some(envelope)) => {
                    self.messages.fwd((received, envelope));
                    received = 0;
                }
                Ok(None) => return true,
                Err(error) => {
                    self.refusals.fwd((self.address, error.to_string()));
                    return false;
                }
            }
        }
    }
}

/// Accepts connections from peers.
pub(crate) struct PeerListener {
    listener: MioSource<TcpListener>,
    readers: stakker::ActorOwnSlab<PeerReader>,
    messages: Fwd<(usize, Envelope)>,
    refusals: Fwd<(SocketAddr, String)>,
}

impl PeerListener {
    /// Starts accepting connections.
    pub(crate) fn init(
        cx: CX![],
        listener: std::net::TcpListener,
        messages: Fwd<(usize, Envelope)>,
        refusals: Fwd<(SocketAddr, String)>,
    ) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        let listener = listener
            .set_nonblocking(true)
            .map(|()| TcpListener::from_std(listener))
            .and_then(|listener| {
                let poll = cx.anymap_get::<MioPoll>();
                poll.add(listener, Interest::READABLE, POLL_PRIORITY, ready)
            });
        match listener {
            Ok(listener) => Some(Self {
                listener,
                readers: stakker::ActorOwnSlab::new(),
                messages,
                refusals,
            }),
            Err(error) => {
                fail!(cx, "listen for peers: {}", error);
                None
            }
        }
    }

    fn ready(&mut self, cx: CX![], _: Ready) {
        loop {
            match self.listener.accept() {
                Ok((stream, address)) if self.readers.len() < MAX_ACCEPTED => {
                    let (messages, refusals) = (self.messages.clone(), self.refusals.clone());
                    stakker::actor_in_slab!(
                        self.readers,
                        cx,
                        PeerReader::init(stream, address, messages, refusals),
                        stakker::ret_nop!()
                    );
                }
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    let address = SocketAddr::from(([0, 0, 0, 0], 0));
                    self.refusals.fwd((address, format!("accept: {error}")));
                    return;
                }
            }
        }
    }
}
