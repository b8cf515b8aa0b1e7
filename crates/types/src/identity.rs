//! Names of nodes, servers, services and the like.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            BorshSerialize, BorshDeserialize, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            BorshSerialize, BorshDeserialize, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

number!(
    /// A node of beamtray, as numbered in its settings file.
    NodeId,
    u32
);
number!(
    /// One run of a process. A restarted process draws a new one and so never
    /// answers for promises of the run before it.
    Incarnation,
    u64
);
number!(
    /// A control group. Carried by every record so that many groups can share
    /// one fleet.
    GroupId,
    u32
);
number!(
    /// Revision of the operators' configuration; rises by one with each
    /// accepted change.
    Revision,
    u64
);
number!(
    /// Names one write of an operator, so that a lost reply can be settled by
    /// reading back.
    OperationId,
    u64
);
name!(
    /// A keyed server or a back end, unique over all services.
    ServerName
);
name!(
    /// A service that callers address.
    ServiceName
);
name!(
    /// A failure domain.
    Zone
);

/// One run of one node: the identity that votes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
    Serialize,
    Deserialize,
)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
}

impl fmt::Display for Member {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:x}", self.node, self.incarnation.0)
    }
}
