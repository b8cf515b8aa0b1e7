//! Parser of request targets of the form `/SERVICE/KEY/rest?query`.

use percent_encoding::percent_decode_str;

/// The components of a request target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// First segment.
    pub service: String,
    /// Second segment, percent-decoded so that each key has one representation;
    /// `None` if empty.
    pub key: Option<String>,
    /// Rest of the path after the key, not decoded, with its leading slash; may be empty.
    pub rest: String,
}

impl Target {
    /// Parses a path; `None` if it is invalid or names no service.
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
