//! Bodies and signatures from which a caller tells whether an answer is whole
//! and its own.

use xxhash_rust::xxh3::xxh3_64;

/// The body of the answer to a request.
pub(crate) fn body(id: &str, upstream: &str) -> String {
    let length = (xxh3_64(id.as_bytes()) % 2_000) as usize;
    format!("{id} {upstream} {}", "x".repeat(length))
}

/// The signature of a body.
pub(crate) fn signature(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// Whether a body is whole and answers that request.
pub(crate) fn answers(id: &str, answer: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(answer) else {
        return false;
    };
    let upstream = text.split(' ').nth(1).unwrap_or_default();
    text == body(id, upstream)
}
