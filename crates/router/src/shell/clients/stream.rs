//! A client's connection: counts what arrives, and closes so that a refusal is read.
//!
//! Invariant: after a refusal before the end of a request, what the client still sends is read and
//! discarded for a while. Closed with unread bytes, the connection would be reset, and the client could
//! lose the refusal that it has not read yet.

use crate::shell::clients::state::ClientState;
use beamtray_resources::Phase;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// How long bytes are discarded.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Bytes discarded at most.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;

/// The connection.
pub(crate) struct ClientStream {
    stream: TcpStream,
    state: Rc<ClientState>,
    discard: Option<Discard>,
}

/// Progress of discarding.
struct Discard {
    end: Pin<Box<Sleep>>,
    bytes: usize,
}

impl ClientStream {
    pub fn new(stream: TcpStream, state: Rc<ClientState>) -> Self {
        Self {
            stream,
            state,
            discard: None,
        }
    }

    fn note_write<T>(&self, result: Poll<T>) -> Poll<T> {
        self.state.is_write_blocked.set(result.is_pending());
        result
    }

    /// Discards what arrives until the client closes, the time is over or it is too much.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let discard = self.discard.get_or_insert_with(|| Discard {
            end: Box::pin(sleep(DISCARD_TIME)),
            bytes: 0,
        });
        if discard.end.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        while discard.bytes < MAX_DISCARDED_BYTES {
            let mut bytes = [0; DISCARD_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    discard.bytes += buffer.filled().len();
                }
                Poll::Ready(Ok(()) | Err(_)) => return Poll::Ready(()),
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        if read > 0 {
            self.state.bytes_arrived(read);
        }
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discard.is_none() {
            match Pin::new(&mut self.stream).poll_shutdown(context) {
                Poll::Ready(Ok(())) => {}
                other => return other,
            }
        }
        if self.state.phase() != Phase::Discarding {
            return Poll::Ready(Ok(()));
        }
        self.poll_discard(context).map(Ok)
    }
}
