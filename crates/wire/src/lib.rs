//! Frames between nodes: a length, a version and a borsh body.
//!
//! A frame is `u32` length (little endian, of what follows), `u16` version,
//! body. The crate knows nothing of the messages; [`FrameBuffer`] turns bytes
//! of a stream into bodies and refuses what is too long or of another version
//! before any of the body is kept.

use borsh::{BorshDeserialize, BorshSerialize};
use thiserror::Error;

/// Version of the protocol between nodes.
pub const VERSION: u16 = 1;
/// Longest frame accepted, in bytes: a full snapshot of a control group fits.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;
const VERSION_BYTES: usize = 2;

/// Why a frame was refused. The connection it came on must be closed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length field exceeds [`MAX_FRAME_BYTES`] or cannot hold a version.
    #[error("frame length {0} is outside 2..={MAX_FRAME_BYTES}")]
    Length(usize),
    /// The peer speaks another version.
    #[error("frame version {0}, expected {VERSION}")]
    Version(u16),
    /// The body is not what the version promises.
    #[error("frame body: {0}")]
    Body(String),
}

/// Encodes one message as a frame.
///
/// # Errors
/// [`FrameError::Length`] when the message is longer than [`MAX_FRAME_BYTES`].
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

/// A message in compressed form, to be sent in a frame of its own.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CompressedMessage {
    /// Bytes of the message before compression.
    length: u32,
    bytes: Vec<u8>,
}

impl CompressedMessage {
    /// Compresses a message.
    ///
    /// # Errors
    /// [`FrameError::Length`] when the message is longer than [`MAX_FRAME_BYTES`].
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

    /// The message.
    ///
    /// # Errors
    /// [`FrameError::Length`] when it claims to be longer than
    /// [`MAX_FRAME_BYTES`], [`FrameError::Body`] when it can't be read.
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

/// Collects the bytes of a stream and hands out whole messages.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: Vec<u8>,
    consumed: usize,
}

impl FrameBuffer {
    /// Adds bytes as they arrived.
    pub fn extend(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes the next whole message, or `None` until more bytes arrive.
    ///
    /// # Errors
    /// [`FrameError`] when the stream cannot be read any further.
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
