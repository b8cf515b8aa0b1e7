//! Reading of response bodies within the memory of the process.
//!
//! Invariant: all bodies that are being read hold less than the budget together, and a body may
//! hold no more than is left of it. Bytes that never end, on however many connections, so leave
//! room for the bodies of others. A limit for each body alone did not bound them together.

use crate::shell::connections::CallFailure;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::cell::Cell;
use std::rc::Rc;

/// Part of the memory limit of the process that bodies may hold while they are read.
const MEMORY_SHARE: u64 = 4;
/// Assumed size of what is kept beside the bytes of a frame.
const FRAME_OVERHEAD_BYTES: usize = 64;
/// Bytes in a megabyte of the settings.
const MEGABYTE: u64 = 1_024 * 1_024;

/// Memory for response bodies that are being read.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    left: Rc<Cell<usize>>,
}

impl BodyMemory {
    /// The memory of a process with that limit in megabytes.
    pub fn of_process(limit_mb: u64) -> Self {
        let budget = limit_mb.saturating_mul(MEGABYTE) / MEMORY_SHARE;
        Self {
            left: Rc::new(Cell::new(usize::try_from(budget).unwrap_or(usize::MAX))),
        }
    }
}

/// What one body holds of the memory, given back on drop.
struct HeldMemory {
    memory: BodyMemory,
    bytes: usize,
}

impl HeldMemory {
    /// Takes memory for further bytes; `false` if the body would hold more than is left.
    fn take(&mut self, bytes: usize) -> bool {
        let left = self.memory.left.get();
        if self.bytes + bytes > left.saturating_sub(bytes) {
            return false;
        }
        self.memory.left.set(left - bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.left.set(self.memory.left.get() + self.bytes);
    }
}

/// Reads a body to its end.
///
/// # Errors
/// [`CallFailure::ConnectionLost`] if it breaks off, [`CallFailure::AnswerTooLarge`] if it needs
/// more memory than it may hold or more than `max_bytes`.
pub(super) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    memory: &BodyMemory,
) -> Result<Bytes, CallFailure> {
    let mut held = HeldMemory {
        memory: memory.clone(),
        bytes: 0,
    };
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallFailure::ConnectionLost)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length > max_bytes || !held.take(data.len() + FRAME_OVERHEAD_BYTES) {
            return Err(CallFailure::AnswerTooLarge);
        }
        chunks.push(data);
    }
    Ok(match chunks.len() {
        0 => Bytes::new(),
        1 => chunks.swap_remove(0),
        _ => chunks.concat().into(),
    })
}
