//! Limit on the bytes that are read before a response has a head.
//!
//! Invariant: between a request and the head of its response, a connection reads a bounded number of
//! bytes. Without this, an upstream that sent informational responses without end, each of them
//! complete, kept the thread of the process busy until the deadline of the request.

use std::cell::Cell;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may be read until a response has a head. Part of the body may be among them.
const MAX_BYTES_BEFORE_HEAD: usize = 512 * 1_024;

/// How many bytes a connection may still read.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit {
    left: Rc<Cell<usize>>,
}

impl HeadLimit {
    pub fn new() -> Self {
        Self {
            left: Rc::new(Cell::new(MAX_BYTES_BEFORE_HEAD)),
        }
    }

    /// A request is sent: its response has no head yet.
    pub fn begin(&self) {
        self.left.set(MAX_BYTES_BEFORE_HEAD);
    }

    /// The head has been read.
    pub fn end(&self) {
        self.left.set(usize::MAX);
    }
}

/// A connection whose reads are limited.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl LimitedStream {
    pub fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.left.get() == 0 {
            return Poll::Ready(Err(ErrorKind::InvalidData.into()));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        let left = self.limit.left.get();
        if left != usize::MAX {
            self.limit.left.set(left.saturating_sub(read));
        }
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
