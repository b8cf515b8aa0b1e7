//! How many processes a run has.

use std::str::FromStr;

/// Routers and upstreams of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Routers.
    pub routers: usize,
    /// Upstreams that hold keys.
    pub keyed: usize,
    /// Upstreams of the other service.
    pub pool: usize,
}

impl Size {
    /// Four routers, which tell each other of everything directly.
    pub const SMALL: Size = Size {
        routers: 4,
        keyed: 4,
        pool: 3,
    };
    /// So many routers that they tell each other through relays and ask those for slots.
    /// With the callers and the store it is 102 processes, and about 1 GB.
    pub const FULL: Size = Size {
        routers: 72,
        keyed: 16,
        pool: 12,
    };

    /// Upstreams of both services; those that hold keys come first.
    pub fn upstreams(self) -> usize {
        self.keyed + self.pool
    }
}

impl Default for Size {
    fn default() -> Self {
        Self::SMALL
    }
}

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "small" => Ok(Self::SMALL),
            "full" => Ok(Self::FULL),
            _ => Err(format!("no size {text}; there are small and full")),
        }
    }
}
