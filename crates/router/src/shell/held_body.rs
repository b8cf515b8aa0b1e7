//! Message bodies whose memory is held from the account of the process.
//!
//! Invariant: a body is held once, in segments that are filled before the next one is allocated,
//! whatever the lengths of the pieces in which it arrived. Kept as they arrived, pieces of one byte took
//! seventy bytes each, and one more copy made the whole of them.

use beamtray_resources::{Account, Hold, Purpose};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Largest segment.
const SEGMENT_BYTES: usize = 64 * 1024;
/// Memory held at a time for the first bytes of a body whose length was not announced.
const FIRST_STEP_BYTES: usize = 4 * 1024;
/// Longest body that is small.
pub(crate) const SMALL_BODY_BYTES: usize = 64 * 1024;

/// A whole body. Clones share its memory, which is given back with the last of them.
#[derive(Clone, Debug)]
pub(crate) struct HeldBody {
    segments: Rc<[Bytes]>,
    /// The segment that is taken next.
    next: usize,
    /// Length of the segments that are not yet taken.
    left: usize,
    _hold: Option<Rc<Hold>>,
}

impl HeldBody {
    /// A body without bytes.
    pub fn empty() -> Self {
        Self::from(Bytes::new())
    }

    /// Its segments.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Bytes::as_ref)
    }

    /// A copy in one piece.
    pub fn to_vec(&self) -> Vec<u8> {
        self.segments.concat()
    }
}

/// A body of the process itself, which is not counted.
impl From<Bytes> for HeldBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            left: bytes.len(),
            segments: Rc::new([bytes]),
            next: 0,
            _hold: None,
        }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let Some(segment) = self.segments.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

/// A body that arrives.
#[derive(Debug)]
pub(crate) struct BodyCollector {
    full: Vec<Bytes>,
    open: BytesMut,
    length: usize,
    /// Memory of all segments.
    allocated: usize,
    hold: Hold,
}

impl BodyCollector {
    /// Holds memory for a body: all of it if its length was announced. `None` if that is not left.
    pub fn begin(
        account: &Rc<Account>,
        purpose: Purpose,
        announced: Option<usize>,
    ) -> Option<Self> {
        Some(Self {
            full: Vec::new(),
            open: BytesMut::new(),
            length: 0,
            allocated: 0,
            hold: account.hold(purpose, announced.unwrap_or_default())?,
        })
    }

    /// Bytes of memory held.
    pub fn held(&self) -> usize {
        self.hold.bytes()
    }

    /// Length so far.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Memory that must be held in addition before so many bytes are added.
    pub fn lacks(&self, bytes: usize) -> usize {
        let needed = self.length + bytes;
        if needed <= self.hold.bytes() {
            return 0;
        }
        let step = if needed <= SMALL_BODY_BYTES {
            FIRST_STEP_BYTES
        } else {
            SEGMENT_BYTES
        };
        needed.next_multiple_of(step) - self.hold.bytes()
    }

    /// Holds more memory; `false` if that is not left.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.hold.grow(bytes)
    }

    /// Counts the body as a large one; `false` if it has no room among these.
    pub fn become_large(&mut self) -> bool {
        self.hold.change_purpose(Purpose::Body)
    }

    /// Adds bytes for which memory is held.
    pub fn add(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            if self.open.len() == self.open.capacity() {
                self.begin_segment(data.len());
            }
            let room = self.open.capacity() - self.open.len();
            let (now, later) = data.split_at(room.min(data.len()));
            self.open.extend_from_slice(now);
            data = later;
        }
    }

    fn begin_segment(&mut self, least: usize) {
        self.end_segment();
        let left = self.hold.bytes().saturating_sub(self.allocated);
        let size = left.max(least.min(SEGMENT_BYTES)).min(SEGMENT_BYTES);
        self.open = BytesMut::with_capacity(size);
        self.allocated += size;
    }

    fn end_segment(&mut self) {
        let segment = std::mem::take(&mut self.open);
        if !segment.is_empty() {
            self.full.push(segment.freeze());
        }
    }

    /// The whole body.
    pub fn finish(mut self) -> HeldBody {
        self.end_segment();
        HeldBody {
            segments: self.full.into(),
            next: 0,
            left: self.length,
            _hold: Some(Rc::new(self.hold)),
        }
    }
}
