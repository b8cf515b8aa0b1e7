//! The platform's services as beamtray sees them: the key-value service and
//! the machine list.
//!
//! Requests and results only; who carries them is another crate's concern. A
//! write without an answer is [`KeyValueResult::Unavailable`] and may have
//! taken effect: whoever wrote must read back.
//!
//! Over HTTP the key-value service is `GET /v1/keys/KEY` and
//! `PUT /v1/keys/KEY?expected=VERSION` with the value as body and the version
//! in the header `version`; 404 is an absent key, 409 another version, 429 the
//! rate limit. The machine list is `GET /v1/machines`.

use beamtray_types::Member;
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Header that carries a key's version.
pub const VERSION_HEADER: &str = "version";

/// One call to the key-value service.
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
        /// Version expected; 0 expects the key to be absent.
        expected: u64,
        /// The new value.
        value: Vec<u8>,
    },
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyValueResult {
    /// The key's value.
    Value {
        /// Its version, from 1.
        version: u64,
        /// The value.
        value: Vec<u8>,
    },
    /// There is no such key.
    Absent,
    /// The write took effect.
    Stored {
        /// The new version.
        version: u64,
    },
    /// The key has another version; the write had no effect.
    Conflict {
        /// The present version.
        version: u64,
    },
    /// The service is over its rate; the call had no effect.
    RateLimited {
        /// When to come back.
        retry_after: Duration,
    },
    /// No answer came. A write may have taken effect.
    Unavailable {
        /// What happened.
        cause: String,
    },
}

/// What the platform says of a machine.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// In use.
    Live,
    /// Will be reclaimed soon.
    Leaving,
    /// Was reclaimed.
    Gone,
}

/// One line of the machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name: that of the server on it, or `node-N`.
    pub name: String,
    /// What the platform says of it.
    pub state: MachineState,
}

/// Name under which the machine list knows a node.
pub fn machine_name(member: Member) -> String {
    format!("node-{}", member.node)
}
