//! Framing of messages between nodes.
//!
//! A frame consists of a little-endian `u32` length of the rest, a `u16`
//! version and a borsh-encoded body. The crate is independent of the message
//! types. [`FrameBuffer`] decodes messages from a stream and rejects frames that
//! are too long or of another version before it buffers their bodies.

use borsh::{BorshDeserialize, BorshSerialize};
use thiserror::Error;

/// Version of the protocol between nodes.
pub const VERSION: u16 = 1;
/// Maximum frame length in bytes, enough for a full snapshot of a control group.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;
const VERSION_BYTES: usize = 2;

/// Reason why a frame was rejected. Its connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length field exceeds [`MAX_FRAME_BYTES`] or cannot hold a version.
    #[error("frame length {0} is outside 2..={MAX_FRAME_BYTES}")]
    Length(usize),
    /// The peer uses another protocol version.
    #[error("frame version {0}, expected {VERSION}")]
    Version(u16),
    /// The body could not be encoded or decoded.
    #[error("frame body: {0}")]
    Body(String),
}

/// Encodes one message as a frame.
///
/// # Errors
/// [`FrameError::Length`] if the message is longer than [`MAX_FRAME_BYTES`].
pub fn encode<T: BorshSerialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let mut frame = vec![0; LENGTH_BYTES];
    frame.extend_from_slice(&VERSION.to_le_bytes());
    message
        .serialize(&mut frame)
        .map_err(|error| FrameError::Body(error.to_string()))?;
    let length = frame.len() - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::Length(length));
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(frame)
}

/// An LZ4-compressed message, to be sent in its own frame.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CompressedMessage {
    /// Uncompressed size in bytes.
    length: u32,
    bytes: Vec<u8>,
}

impl CompressedMessage {
    /// Compresses a message.
    ///
    /// # Errors
    /// [`FrameError::Length`] if the message is longer than [`MAX_FRAME_BYTES`].
    pub fn new<T: BorshSerialize>(message: &T) -> Result<Self, FrameError> {
        let plain = borsh::to_vec(message).map_err(|error| FrameError::Body(error.to_string()))?;
        if plain.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Length(plain.len()));
        }
        Ok(Self {
            length: plain.len() as u32,
            bytes: lz4_flex::block::compress(&plain),
        })
    }

    /// Decompresses and decodes the message.
    ///
    /// # Errors
    /// [`FrameError::Length`] if the declared size exceeds [`MAX_FRAME_BYTES`],
    /// [`FrameError::Body`] if the message cannot be decompressed or decoded.
    pub fn decompress<T: BorshDeserialize>(&self) -> Result<T, FrameError> {
        let length = self.length as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::Length(length));
        }
        let plain = lz4_flex::block::decompress(&self.bytes, length)
            .map_err(|error| FrameError::Body(error.to_string()))?;
        T::try_from_slice(&plain).map_err(|error| FrameError::Body(error.to_string()))
    }
}

/// Buffers the bytes of a stream and decodes complete messages.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: Vec<u8>,
    consumed: usize,
}

impl FrameBuffer {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Decodes the next message, or returns `None` if it is not yet complete.
    ///
    /// # Errors
    /// [`FrameError`] if the stream is invalid and cannot be read further.
    pub fn next_message<T: BorshDeserialize>(&mut self) -> Result<Option<T>, FrameError> {
        let pending = &self.bytes[self.consumed..];
        let Some(length) = pending.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if !(VERSION_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return Err(FrameError::Length(length));
        }
        let pending = &pending[LENGTH_BYTES..];
        let Some(version) = pending.first_chunk::<VERSION_BYTES>() else {
            return Ok(None);
        };
        let version = u16::from_le_bytes(*version);
        if version != VERSION {
            return Err(FrameError::Version(version));
        }
        let Some(body) = pending.get(VERSION_BYTES..length) else {
            return Ok(None);
        };
        let message =
            T::try_from_slice(body).map_err(|error| FrameError::Body(error.to_string()))?;
        self.consumed += LENGTH_BYTES + length;
        Ok(Some(message))
    }
}
