//! Fingerprints, which identify requests with the same content.

use beamtray_sharding::ShardKey;
use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;
use std::net::IpAddr;
use xxhash_rust::xxh3::Xxh3;

/// Hash of a request's content.
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

/// The parts of a request that stay the same when it is sent again. Ids, deadlines and
/// connection-specific headers do not.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host of the request.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Shard key, if the request carries one.
    pub key: Option<ShardKey>,
    /// Complete body, in as many pieces as it is held in.
    pub body: &'a [&'a [u8]],
}

/// The two fingerprints of a request.
///
/// If the upstream distinguishes callers, what one caller's request does says nothing about
/// another caller's with the same content. If it does not, the same content is as harmful from
/// any caller, and a caller may use another address. So both are tracked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fingerprints {
    /// Fingerprint of the content, independent of the caller.
    pub content: Fingerprint,
    /// Fingerprint of the content together with the caller's address.
    pub from_caller: Fingerprint,
}

impl Fingerprints {
    /// Computes the fingerprints of a request from a caller's address.
    pub fn of(content: &RequestContent<'_>, caller: IpAddr) -> Self {
        let mut hasher = Xxh3::new();
        let key = content.key.map(|key| key.0.to_be_bytes());
        let key = key.as_ref().map_or(&[][..], |key| &key[..]);
        let method = content.method.as_bytes();
        let host = content.host.as_bytes();
        let target = content.target.as_bytes();
        for part in [&[method][..], &[host], &[target], &[key], content.body] {
            // Hashed with their lengths, since moving bytes from one part to the next makes a
            // different request.
            let length: usize = part.iter().map(|piece| piece.len()).sum();
            hasher.update(&(length as u64).to_be_bytes());
            for piece in part {
                hasher.update(piece);
            }
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

    /// Returns both fingerprints.
    pub fn both(self) -> [Fingerprint; 2] {
        [self.content, self.from_caller]
    }
}
