//! The fencing token: generation, term and log index in lexicographic order.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            BorshSerialize, BorshDeserialize, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the successor of this value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

counter!(
    /// Number of times a control group was bootstrapped. Incremented only by
    /// compare-and-swap in the platform's key-value service.
    Generation
);
counter!(
    /// A term of the replicated log (Raft, section 5.1).
    Term
);
counter!(
    /// A position in the replicated log; the first entry has index 1.
    LogIndex
);

/// Fencing token that totally orders the decisions of a control group.
///
/// A server rejects any request with a lower fence than the highest it has
/// seen. Fields compare in declaration order: a new generation is greater than
/// any term of the previous one, since it starts a new log.
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
    Serialize,
    Deserialize,
)]
pub struct Fence {
    /// Generation of the group.
    pub generation: Generation,
    /// Term of the leader that committed the decision.
    pub term: Term,
    /// Log index of the decision.
    pub index: LogIndex,
}

impl Fence {
    /// Creates a fence from its parts.
    pub fn new(generation: Generation, term: Term, index: LogIndex) -> Self {
        Self {
            generation,
            term,
            index,
        }
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}",
            self.generation, self.term, self.index
        )
    }
}

impl std::str::FromStr for Fence {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '.');
        let mut part = || parts.next().unwrap_or("").parse::<u64>();
        Ok(Self {
            generation: Generation(part()?),
            term: Term(part()?),
            index: LogIndex(part()?),
        })
    }
}
