//! Round trips of frames over arbitrarily split streams, and rejection of invalid frames.

use beamtray_wire::{CompressedMessage, FrameBuffer, FrameError, MAX_FRAME_BYTES, VERSION, encode};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_202;

fn frame(length: u32, version: u16, body: &[u8]) -> Vec<u8> {
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend(version.to_le_bytes());
    bytes.extend(body);
    bytes
}

fn refusal(bytes: &[u8]) -> FrameError {
    let mut buffer = FrameBuffer::default();
    buffer.extend(bytes);
    buffer.next_message::<u64>().expect_err("refused")
}

#[test]
fn messages_round_trip() {
    fn round_trips(messages: Vec<(u64, String)>, chunk: u8) -> bool {
        let bytes: Vec<u8> = messages
            .iter()
            .flat_map(|message| encode(message).expect("short enough"))
            .collect();
        let mut buffer = FrameBuffer::default();
        let mut out = Vec::new();
        for part in bytes.chunks(usize::from(chunk).max(1)) {
            buffer.extend(part);
            while let Some(message) = buffer.next_message::<(u64, String)>().expect("valid") {
                out.push(message);
            }
        }
        out == messages
    }
    let generator = Gen::from_size_and_seed(50, SEED);
    QuickCheck::new()
        .rng(generator)
        .quickcheck(round_trips as fn(Vec<(u64, String)>, u8) -> bool);
}

#[test]
fn a_frame_that_is_too_long_is_refused_before_its_body_comes() {
    let length = MAX_FRAME_BYTES as u32 + 1;
    assert_eq!(
        refusal(&length.to_le_bytes()),
        FrameError::Length(length as usize)
    );
}

#[test]
fn another_version_is_refused() {
    let bytes = frame(10, VERSION + 1, &[0; 8]);
    assert_eq!(refusal(&bytes), FrameError::Version(VERSION + 1));
}

#[test]
fn a_garbled_body_is_refused() {
    assert!(matches!(
        refusal(&frame(5, VERSION, &[1, 2, 3])),
        FrameError::Body(_)
    ));
}

#[test]
fn compressed_messages_round_trip() {
    fn round_trips(message: Vec<(u64, String)>) -> bool {
        let compressed = CompressedMessage::new(&message).expect("short enough");
        compressed
            .decompress::<Vec<(u64, String)>>()
            .expect("whole")
            == message
    }
    let generator = Gen::from_size_and_seed(50, SEED);
    QuickCheck::new()
        .rng(generator)
        .quickcheck(round_trips as fn(Vec<(u64, String)>) -> bool);
}

#[test]
fn repetitive_text_compresses_well() {
    let text = "route to service by prefix, ".repeat(1_000);
    let compressed = CompressedMessage::new(&text).expect("short enough");
    let bytes = borsh::to_vec(&compressed).expect("in memory");
    assert!(bytes.len() * 10 < text.len(), "{} bytes", bytes.len());
}

#[test]
fn corrupted_or_oversized_messages_are_refused() {
    let compressed =
        CompressedMessage::new(&"some text to be corrupted".to_owned()).expect("short enough");
    let mut bytes = borsh::to_vec(&compressed).expect("in memory");
    bytes[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    let oversized: CompressedMessage = borsh::from_slice(&bytes).expect("well formed");
    assert!(matches!(
        oversized.decompress::<String>(),
        Err(FrameError::Length(_))
    ));
    bytes[..4].copy_from_slice(&3u32.to_le_bytes());
    let corrupted: CompressedMessage = borsh::from_slice(&bytes).expect("well formed");
    assert!(matches!(
        corrupted.decompress::<String>(),
        Err(FrameError::Body(_))
    ));
}
