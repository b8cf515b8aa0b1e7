//! Load of a run relative to what its upstreams bear.

use crate::size::Size;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

/// How long an upstream stays cold after a start during traffic.
pub(crate) const COLD_PERIOD: Duration = Duration::from_secs(3);
/// Execution time at a cold upstream, in percent.
pub(crate) const COLD_SLOWNESS_PERCENT: u32 = 200;
/// Share of the slots of a service that its requests keep busy.
const UTILIZATION: f64 = 0.75;
/// Share of the load that all upstreams bear together while all of them are cold.
const COLD_SHARE: f64 = 0.51;
/// Longest mean execution time, well below the callers' deadline.
const MAX_MEAN_WORK_MS: f64 = 700.0;
/// Requests in a second that a cold upstream takes beyond a multiple of its rate.
const COLD_SLACK: f64 = 8.0;
/// Multiple of its rate beyond which a cold upstream exits.
const COLD_OVERLOAD: f64 = 2.25;

/// Slots of an upstream of a loaded run.
const SLOTS: usize = 3;
/// Queue of an upstream of a loaded run.
const QUEUE: usize = 12;

/// Percentages of requests by service in a loaded run; the others are probes.
pub(crate) const KEYED_PERCENT: u32 = 45;
pub(crate) const LOOKUP_PERCENT: u32 = 40;
pub(crate) const POOL_PERCENT: u32 = 13;

/// Processor time of each router, in percent of a core.
const ROUTER_PROCESSOR_PERCENT: u32 = 10;

/// Slots and queue of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Requests executed at once.
    pub slots: usize,
    /// Requests that wait.
    pub queue: usize,
}

impl Room {
    /// Room for so few requests that the holder of a busy key rejects some.
    pub const NARROW: Self = Self { slots: 2, queue: 2 };
}

impl Default for Room {
    fn default() -> Self {
        Self { slots: 4, queue: 8 }
    }
}

/// Mean execution time of the requests of each service, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeanWork {
    /// Of the sharded service.
    pub keyed: u64,
    /// Of lookups.
    pub lookup: u64,
    /// Of requests that must not be retried.
    pub pool: u64,
}

impl fmt::Display for MeanWork {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{},{},{}", self.keyed, self.lookup, self.pool)
    }
}

impl FromStr for MeanWork {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let millis: Result<Vec<u64>, ParseIntError> = text.split(',').map(str::parse).collect();
        match millis.as_deref() {
            Ok([keyed, lookup, pool]) => Ok(Self {
                keyed: *keyed,
                lookup: *lookup,
                pool: *pool,
            }),
            _ => Err(format!("{text}: not three times in milliseconds")),
        }
    }
}

/// A load close to what the upstreams bear, from callers that retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HighLoad {
    /// Slots and queue of each upstream.
    pub room: Room,
    /// Mean execution times.
    pub work: MeanWork,
    /// Requests per second that a cold upstream bears.
    pub cold_rate: f64,
    /// Processor time of each router, in percent of a core.
    pub router_processor_percent: u32,
}

impl HighLoad {
    /// The load of a size at a rate of requests per second; `None` for sizes without lookups,
    /// whose load is light.
    pub fn of(size: Size, rate: u32) -> Option<Self> {
        if size.lookup == 0 {
            return None;
        }
        let rate = f64::from(rate.max(1));
        let work = |upstreams: usize, percent: u32| {
            let slots = (upstreams * SLOTS) as f64;
            let of_service = rate * f64::from(percent) / 100.0;
            let millis = 1e3 * UTILIZATION * slots / of_service;
            millis.min(MAX_MEAN_WORK_MS) as u64
        };
        Some(Self {
            room: Room {
                slots: SLOTS,
                queue: QUEUE,
            },
            work: MeanWork {
                keyed: work(size.keyed, KEYED_PERCENT),
                lookup: work(size.lookup, LOOKUP_PERCENT),
                pool: work(size.pool, POOL_PERCENT),
            },
            cold_rate: rate * COLD_SHARE / size.upstreams() as f64,
            router_processor_percent: ROUTER_PROCESSOR_PERCENT,
        })
    }
}

/// Requests in one second beyond which a cold upstream exits.
pub(crate) fn cold_limit(cold_rate: f64) -> usize {
    (cold_rate * COLD_OVERLOAD + COLD_SLACK) as usize
}
