//! Identifiers of nodes, servers, services, zones and operations.

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
    /// Number of a beamtray node, as given in its settings file.
    NodeId,
    u32
);
number!(
    /// Random identifier of one run of a process. A restarted process gets a new
    /// one and is therefore not bound by promises of its previous run.
    Incarnation,
    u64
);
number!(
    /// Identifier of a control group. Every record carries it, so that several
    /// groups can share one fleet.
    GroupId,
    u32
);
number!(
    /// Revision of the operators' configuration, incremented by each accepted
    /// change.
    Revision,
    u64
);
number!(
    /// Identifier of an operator's write. After a lost reply, the operator reads
    /// it back to learn whether the write took effect.
    OperationId,
    u64
);
name!(
    /// Name of a keyed server or a back end, unique across all services.
    ServerName
);
name!(
    /// Name of a service that callers address.
    ServiceName
);
name!(
    /// Name of a failure domain.
    Zone
);

/// One run of one node, which is the unit of voting membership.
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
    /// The run of the node.
    pub incarnation: Incarnation,
}

impl fmt::Display for Member {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:x}", self.node, self.incarnation.0)
    }
}
