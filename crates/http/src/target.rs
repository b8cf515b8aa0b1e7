//! A caller's target: `/SERVICE/KEY/rest?query`.

use percent_encoding::percent_decode_str;

/// The parts of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// First segment.
    pub service: String,
    /// Second segment, decoded, so that one key has one spelling; none when it
    /// is empty.
    pub key: Option<String>,
    /// What follows the key, as written, with its leading slash; may be empty.
    pub rest: String,
}

impl Target {
    /// Reads a path; none when it is not valid or names no service.
    pub fn parse(path: &str) -> Option<Self> {
        let path = path.strip_prefix('/')?;
        let (service, below) = path.split_once('/').unwrap_or((path, ""));
        if service.is_empty() {
            return None;
        }
        let (key, rest) = match below.find('/') {
            Some(end) => below.split_at(end),
            None => (below, ""),
        };
        let key = percent_decode_str(key).decode_utf8().ok()?;
        Some(Self {
            service: service.to_owned(),
            key: (!key.is_empty()).then(|| key.into_owned()),
            rest: rest.to_owned(),
        })
    }
}
