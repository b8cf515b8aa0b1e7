//! Response bodies and signatures by which a caller checks that a response is complete
//! and belongs to its request.

use xxhash_rust::xxh3::xxh3_64;

/// The response body for a request, with a length derived from the request id.
pub(crate) fn body(id: &str, upstream: &str) -> String {
    let length = (xxh3_64(id.as_bytes()) % 2_000) as usize;
    format!("{id} {upstream} {}", "x".repeat(length))
}

/// The signature of a body.
pub(crate) fn signature(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// Whether a body is complete and belongs to the request.
pub(crate) fn answers(id: &str, answer: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(answer) else {
        return false;
    };
    let upstream = text.split(' ').nth(1).unwrap_or_default();
    text == body(id, upstream)
}
