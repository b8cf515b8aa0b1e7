//! Types of the platform services that beamtray uses: the key-value service and
//! the machine list.
//!
//! This crate defines requests and results only; transport is implemented
//! elsewhere. A write without a response is [`KeyValueResult::Unavailable`] and
//! may have taken effect: the writer must read the key back.
//!
//! Over HTTP the key-value service is `GET /v1/keys/KEY` and
//! `PUT /v1/keys/KEY?expected=VERSION` with the value as body and the version
//! in the header `version`. Status 404 means an absent key, 409 a version
//! mismatch and 429 an exceeded rate limit. The machine list is `GET /v1/machines`.

use beamtray_types::Member;
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Header that carries a key's version.
pub const VERSION_HEADER: &str = "version";

/// A request to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyValueRequest {
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
    /// Writes a key if it still has the expected version.
    Put {
        /// The key.
        key: String,
        /// Expected version; 0 means that the key must be absent.
        expected: u64,
        /// The new value.
        value: Vec<u8>,
    },
}

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyValueResult {
    /// The key's value.
    Value {
        /// Version of the key, starting at 1.
        version: u64,
        /// The value.
        value: Vec<u8>,
    },
    /// The key does not exist.
    Absent,
    /// The write took effect.
    Stored {
        /// The new version.
        version: u64,
    },
    /// The key has another version; the write had no effect.
    Conflict {
        /// The current version.
        version: u64,
    },
    /// The rate limit was exceeded; the request had no effect.
    RateLimited {
        /// Delay after which to retry.
        retry_after: Duration,
    },
    /// No response was received. A write may have taken effect.
    Unavailable {
        /// Description of the failure.
        cause: String,
    },
}

/// State of a machine according to the platform.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// In use.
    Live,
    /// About to be reclaimed.
    Leaving,
    /// Reclaimed.
    Gone,
}

/// An entry of the machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the server on the machine, or `node-N`.
    pub name: String,
    /// State according to the platform.
    pub state: MachineState,
}

/// Returns a node's name in the machine list.
pub fn machine_name(member: Member) -> String {
    format!("node-{}", member.node)
}
