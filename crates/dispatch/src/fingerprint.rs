//! Tells whether two requests are the same one, sent again.

use beamtray_sharding::ShardKey;
use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;
use std::net::IpAddr;
use xxhash_rust::xxh3::Xxh3;

/// Short name of what a request says.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// What an upstream is sent, as far as it is the same when a request comes again: ids,
/// deadlines and what pertains to a connection are not.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Method.
    pub method: &'a str,
    /// Host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Key, when it carries one.
    pub key: Option<ShardKey>,
    /// Whole body.
    pub body: &'a [u8],
}

/// The two fingerprints of a request.
///
/// What one caller's request does says nothing of another caller's that reads the same
/// where the upstream looks at who calls; where it does not, the same content is as bad
/// from any caller, and a caller may come from another address. So both are followed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fingerprints {
    /// Of the content, whoever sends it.
    pub content: Fingerprint,
    /// Of the content from that caller.
    pub from_caller: Fingerprint,
}

impl Fingerprints {
    /// The fingerprints of a request that came from an address.
    pub fn of(content: &RequestContent<'_>, caller: IpAddr) -> Self {
        let mut hasher = Xxh3::new();
        let key = content.key.map(|key| key.0.to_be_bytes());
        let key = key.as_ref().map_or(&[][..], |key| &key[..]);
        let method = content.method.as_bytes();
        let host = content.host.as_bytes();
        let target = content.target.as_bytes();
        for part in [method, host, target, key, content.body] {
            // With their lengths: bytes that move from one part to the next make another
            // request.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let content = Fingerprint(hasher.digest());
        match caller {
            IpAddr::V4(address) => hasher.update(&address.octets()),
            IpAddr::V6(address) => hasher.update(&address.octets()),
        }
        let from_caller = Fingerprint(hasher.digest());
        Self {
            content,
            from_caller,
        }
    }

    /// Both.
    pub fn both(self) -> [Fingerprint; 2] {
        [self.content, self.from_caller]
    }
}
