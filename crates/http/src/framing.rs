//! Detection of ambiguous message framing.

/// Rejects framing that two parsers could interpret differently (RFC 9112, 6.3), and
/// declared lengths above `max_body`.
pub(crate) fn check_framing(
    headers: &[(String, String)],
    max_body: usize,
) -> Result<(), (u16, &'static str)> {
    let all = |wanted: &str| {
        let wanted = wanted.to_owned();
        headers.iter().filter(move |(name, _)| *name == wanted)
    };
    let lengths = all("content-length").count();
    let encodings = all("transfer-encoding").count();
    if lengths > 1 || (lengths > 0 && encodings > 0) || encodings > 1 {
        return Err((400, "ambiguous length of the body"));
    }
    let Some((_, value)) = all("content-length").next() else {
        return Ok(());
    };
    match value.trim().parse::<usize>() {
        Ok(length) if length > max_body => Err((413, "the body is too long")),
        Ok(_) => Ok(()),
        Err(_) => Err((400, "the declared length is not a number")),
    }
}
