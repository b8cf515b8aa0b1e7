//! How large the world is, and which faults a history may have.

use crate::check::Invariant;
use crate::transport::Transport;
use beamtray_sharding::{GranterGuards, GranterTiming};
use std::time::Duration;

/// How finely time passes: what a granter decides is up to this much late, which delays
/// its decisions and never brings them forward.
pub const TICK: Duration = Duration::from_millis(50);

/// Longest time that passes in one step, where a scope names no other: a whole hold.
const DEFAULT_MAX_TIME_STEP: Duration = Duration::from_millis(3_000);

/// Most faults of each kind in one history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Times that an upstream is cut off from the granter, whoever that is.
    pub cuts: u8,
    /// Orders that are held up on their way, or arrive twice, or lose their answer, without
    /// a cut.
    pub delayed_messages: u8,
    /// Orders that an upstream leaves unanswered and carries out later, whatever becomes of
    /// the path and of the sender.
    pub deferred_orders: u8,
    /// Times that an upstream's process stands still, for any time, while its machine takes
    /// orders for it.
    pub upstream_pauses: u8,
    /// Upstreams that start again under their id.
    pub restarts_same_id: u8,
    /// Upstreams that start again under another id.
    pub restarts_new_id: u8,
    /// Upstreams that are to be emptied: they are asked for their keys at once.
    pub drains: u8,
    /// Granters that end and are succeeded at once.
    pub granter_exits: u8,
    /// Granters that stand still.
    pub granter_pauses: u8,
    /// Times that the store takes no records.
    pub store_outages: u8,
}

/// One world to search.
#[derive(Clone, Copy, Debug)]
pub struct Scope {
    /// Two or three; they are called a1, b1, c1, and a2 after a restart under another id.
    pub upstreams: usize,
    /// One or two; each is held by an upstream at first.
    pub ranges: usize,
    /// Whether a node is a standby. A cut then separates the granter from an upstream and
    /// from the standby, which still reaches the upstream.
    pub standby: bool,
    /// How long a copy of an order may live.
    pub transport: Transport,
    /// Timing and guards of all granters.
    pub timing: GranterTiming,
    /// Whether a grant is only written to a process that has just answered.
    pub probe_before_grant: bool,
    /// What may happen.
    pub faults: Faults,
    /// Longest time that passes in one step if nothing happens. A fault begins or ends
    /// between steps, so a shorter time finds what hangs on its moment, at the price of more
    /// steps.
    pub max_time_step: Duration,
    /// Look only at this promise, to see that each is checked by itself.
    pub only_invariant: Option<Invariant>,
    /// Count also grants that the rule excludes since a path healed or their sender was
    /// continued just before.
    pub count_excluded: bool,
    /// Take an upstream that was started again under its id for another one: it needs a
    /// higher token than it had before.
    pub distinguish_restarts: bool,
    /// Within which time keys must have an owner, if that is to be checked: in each state
    /// all faults but cuts end, and an upstream that is not cut off is to have them.
    pub owned_within: Option<Duration>,
}

impl Scope {
    /// Two upstreams, one range, the product's timing, no faults.
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
            distinguish_restarts: false,
            owned_within: None,
        }
    }

    /// The same with other faults.
    pub fn with(self, faults: Faults) -> Self {
        Self { faults, ..self }
    }
}

/// The product's timing, with one pace for any number of ranges.
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
