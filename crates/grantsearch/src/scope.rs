//! Size of the model, and the faults that a history may contain.

use crate::check::Invariant;
use crate::transport::Transport;
use beamtray_sharding::{GranterGuards, GranterTiming};
use std::time::Duration;

/// Time resolution of the model. A granter acts up to one tick late, which delays
/// its decisions but never makes them early.
pub const TICK: Duration = Duration::from_millis(50);

/// Default maximum time step: the length of a hold.
const DEFAULT_MAX_TIME_STEP: Duration = Duration::from_millis(3_000);

/// Maximum number of faults of each kind in one history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Network partitions between an upstream and the current granter.
    pub cuts: u8,
    /// Orders that are delayed in the network, are duplicated or lose their reply, without
    /// a partition.
    pub delayed_messages: u8,
    /// Orders that an upstream leaves unanswered and executes later, regardless of the state of
    /// the path and the sender.
    pub deferred_orders: u8,
    /// Pauses of an upstream's process, of any length, while the kernel of its machine still
    /// receives orders.
    pub upstream_pauses: u8,
    /// Upstream restarts under the same id.
    pub restarts_same_id: u8,
    /// Upstream restarts under a new id.
    pub restarts_new_id: u8,
    /// Upstreams that start draining: they are asked to release their keys immediately.
    pub drains: u8,
    /// Granter exits that are followed immediately by a successor.
    pub granter_exits: u8,
    /// Pauses of a granter's process.
    pub granter_pauses: u8,
    /// Outages of the store, during which it accepts no records.
    pub store_outages: u8,
    /// Rollbacks of the store to an earlier record. Each ends the granter's term, and the next
    /// term begins in a new era.
    pub rollbacks: u8,
}

/// Configuration of one search.
#[derive(Clone, Copy, Debug)]
pub struct Scope {
    /// Number of upstreams, two or three. Their ids are a1, b1, c1; after a restart under a new
    /// id a1 becomes a2.
    pub upstreams: usize,
    /// Number of key ranges, one or two. Each has a holder at the start.
    pub ranges: usize,
    /// Whether there is a standby node. A partition then separates the granter from an upstream and
    /// from the standby, while the standby still reaches the upstream.
    pub standby: bool,
    /// Bounds on the lifetime of order copies.
    pub transport: Transport,
    /// Timing and guards of all granters.
    pub timing: GranterTiming,
    /// Whether a grant is sent only to a process that has just answered a probe.
    pub probe_before_grant: bool,
    /// Faults that may occur.
    pub faults: Faults,
    /// Longest time that one step may advance if no event occurs. Faults begin and end only
    /// between steps, so a shorter time finds violations that depend on exact timing, at the cost
    /// of more steps.
    pub max_time_step: Duration,
    /// Check only this invariant. Used to test that each one is checked on its own.
    pub only_invariant: Option<Invariant>,
    /// Also count grants that the ownership rule excludes because a path recovered or their sender
    /// resumed just before.
    pub count_excluded: bool,
    /// Whether a rollback may lose all records. The granter then divides the keys again, into
    /// many more slices than [`Scope::ranges`], which makes states large.
    pub loses_all_records: bool,
    /// Whether the exit of a granter is the loss of all processes, so that its successor did not
    /// observe its term.
    pub loses_all_processes: bool,
    /// Treat an upstream that restarted under the same id as a different holder, which needs a
    /// higher token than its previous incarnation had.
    pub distinguish_restarts: bool,
    /// Time within which keys must have an owner again, if that is checked. From each state,
    /// all faults except partitions end, and a reachable upstream must then own the keys.
    pub owned_within: Option<Duration>,
}

impl Scope {
    /// Two upstreams, one range, the production timing, no faults.
    pub fn new(transport: Transport) -> Self {
        Self {
            upstreams: 2,
            ranges: 1,
            standby: false,
            transport,
            timing: timing(),
            probe_before_grant: false,
            faults: Faults::default(),
            max_time_step: DEFAULT_MAX_TIME_STEP,
            only_invariant: None,
            count_excluded: false,
            loses_all_records: false,
            loses_all_processes: false,
            distinguish_restarts: false,
            owned_within: None,
        }
    }

    /// Replaces the faults.
    pub fn with(self, faults: Faults) -> Self {
        Self { faults, ..self }
    }
}

/// The production timing, with the same renewal interval for any number of ranges.
fn timing() -> GranterTiming {
    GranterTiming {
        hold: Duration::from_millis(3_000),
        renewal: Duration::from_millis(750),
        min_order_interval: Duration::from_millis(1),
        max_renewal: Duration::from_millis(750),
        drift_percent: 2,
        transit: Duration::from_millis(300),
        order_timeout: Duration::from_millis(500),
        order_lifetime: Duration::from_secs(12),
        silence_timeout: Duration::from_millis(1_200),
        quiet_period: Duration::from_millis(1_300),
        release_delay: Duration::from_millis(20),
        guards: GranterGuards::default(),
    }
}
