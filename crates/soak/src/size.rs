//! Number of processes in a run.

use std::str::FromStr;

/// Numbers of routers and upstreams in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of routers.
    pub routers: usize,
    /// Number of upstreams of the sharded service.
    pub keyed: usize,
    /// Number of upstreams of the unsharded service.
    pub pool: usize,
    /// Number of upstreams of the lookup service, which only some sizes have.
    pub lookup: usize,
}

impl Size {
    /// Four routers, few enough to exchange all messages directly.
    pub const SMALL: Size = Size {
        routers: 4,
        keyed: 4,
        pool: 3,
        lookup: 0,
    };
    /// A deployment of eleven routers.
    pub const MEDIUM: Size = Size {
        routers: 11,
        keyed: 20,
        pool: 16,
        lookup: 0,
    };
    /// Enough routers that they exchange messages through relays and request slots from them.
    /// With the callers and the store this takes 102 processes and about 1 GB of memory.
    pub const FULL: Size = Size {
        routers: 72,
        keyed: 16,
        pool: 12,
        lookup: 0,
    };
    /// A deployment of three zones whose upstreams are loaded close to their capacity. With the
    /// callers and the store this takes 310 processes and about 2 GB of memory.
    pub const LARGE: Size = Size {
        routers: 79,
        keyed: 123,
        pool: 21,
        lookup: 85,
    };

    /// Number of upstreams of all services: the sharded service, then the pool, then lookups.
    pub fn upstreams(self) -> usize {
        self.keyed + self.pool + self.lookup
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
            "medium" => Ok(Self::MEDIUM),
            "full" => Ok(Self::FULL),
            "large" => Ok(Self::LARGE),
            _ => Err(format!(
                "no size {text}; there are small, medium, full and large"
            )),
        }
    }
}
