//! Configuration of the core, built from the settings and constants.

use super::NodeSettings;
use crate::core::{ControlConfig, CoreConfig, GRANT_TIMEOUT, NodeRecord, Timing};
use beamtray_catalog::DirectoryPolicy;
use beamtray_dispatch::{ColdStartBound, DispatchConfig, QuotaBound, RetryBudgetConfig};
use beamtray_metastore::LeaseTiming;
use beamtray_sharding::{BalanceLimits, GranterGuards, GranterTiming};
use std::time::Duration;

/// Lease of a node's entry in the store.
const NODE_TTL: Duration = Duration::from_secs(8);
const NODE_RENEWAL: Duration = Duration::from_millis(3_000);
/// Lease of the granter's role: how long keys are without a granter after it is lost.
const GRANTER_TTL: Duration = Duration::from_millis(2_000);
const GRANTER_RENEWAL: Duration = Duration::from_millis(500);
/// Duration of a grant. When a granter is lost, a hold has at least this less
/// [`GRANT_RENEWAL`] left, which outlasts the [`GRANTER_TTL`] until the next granter takes
/// over. Store outages are bridged by standbys.
const GRANT_HOLD: Duration = Duration::from_millis(3_000);
const GRANT_RENEWAL: Duration = Duration::from_millis(750);
/// Average time between orders of a granter with a whole core. An estimate: if an order with
/// its connection costs 0.2 ms of processor time, orders take a fifth of the core.
const ORDER_INTERVAL: Duration = Duration::from_millis(1);
/// Upper limit of the time between orders, for nodes with very little processor time.
const MAX_ORDER_INTERVAL: Duration = Duration::from_millis(10);
const MAX_RENEWAL: Duration = Duration::from_millis(2_000);
/// How much longer a holder may count a hold by its own clock, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;
/// How long an upstream may take to carry out an order that it has not answered, as specified
/// by the users' platform.
const ORDER_LIFETIME: Duration = Duration::from_secs(12);
const MAX_ORDER_TRANSIT: Duration = Duration::from_millis(300);
/// A silent holder has lost its keys after this and the remainder of its hold.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
const GRANT_NOTICE: Duration = Duration::from_millis(20);
/// Longest wait of a watch; each watch that ends without events costs a call.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(25);
/// Part of the contact time for which a watch waits. What is left of the contact time is for noticing
/// that its answer was lost and for telling all nodes: they must act by the change within it.
const WATCH_WAIT_DIVISOR: u32 = 2;
/// At the first start of all nodes, the time until all of them have registered.
const FIRST_START_DELAY: Duration = Duration::from_millis(500);
/// Additional delay of a node with very little processor time.
const MAX_EXTRA_START_DELAY: Duration = Duration::from_millis(1_500);
/// Share of the time in which a key that was taken away must stop being accepted, for which a node
/// goes by a configuration that it has not seen confirmed. The rest is for requests under way.
const KEY_AGE_SHARE: f64 = 0.75;
/// Share of a core from which a node waits no longer than [`FIRST_START_DELAY`].
const FULL_SPEED_SHARE: f64 = 0.5;

impl NodeSettings {
    /// Builds the core's configuration for this run of the process.
    pub fn core_config(&self, run: u64) -> CoreConfig {
        let record = NodeRecord {
            name: self.node.clone(),
            run,
            zone: self.zone.clone(),
            peers: self.listen.peers,
            capacity: self.limits.relay_capacity(),
            declines_standby: false,
        };
        CoreConfig {
            dispatch: self.dispatch_config(run),
            control: self.control_config(record),
            directory: self.directory_policy(),
            watch_timeout: self.watch_wait(),
            start_delay: self.start_delay(),
            seeds: self.seeds.clone(),
            timing: Timing::default(),
            accept_leaving_notices: true,
            share_suspicions: true,
        }
    }

    fn watch_wait(&self) -> Duration {
        (self.contact_time() / WATCH_WAIT_DIVISOR).min(MAX_WATCH_WAIT)
    }

    fn contact_time(&self) -> Duration {
        Duration::from_millis(self.bounds.contact_ms.max(500))
    }

    /// How long this node waits for others to register before it reads the list of nodes.
    /// Relays are the nodes with the most capacity, so they read it first and pass it on.
    fn start_delay(&self) -> Duration {
        if !self.first_start {
            return Duration::ZERO;
        }
        let shortfall = (1.0 - self.limits.processor_share / FULL_SPEED_SHARE).max(0.0);
        FIRST_START_DELAY + MAX_EXTRA_START_DELAY.mul_f64(shortfall)
    }

    fn dispatch_config(&self, run: u64) -> DispatchConfig {
        // The other half of the drain time is reserved for learning that the upstream leaves
        // and for requests that reach it late: connecting alone may take a third of a second,
        // and a node may have a tenth of a core.
        let drain = Duration::from_millis(self.bounds.drain_ms.max(200));
        DispatchConfig {
            node: self.node.clone(),
            run,
            zone: self.zone.as_str().into(),
            budget: RetryBudgetConfig {
                ratio: self.bounds.retry_ratio,
                allowance: self.bounds.retry_allowance,
                window: Duration::from_secs_f64(self.bounds.retry_window_s),
            },
            queue_limit: 2_000,
            max_queued: 6,
            zone_cost: Duration::from_millis(80),
            drain_grace: drain / 2,
            cold_start: ColdStartBound {
                overage: self.bounds.cold_overage,
                slack: self.bounds.cold_slack,
            },
            quota: QuotaBound {
                window: Duration::from_secs_f64(self.bounds.quota_window_s),
                overage: self.bounds.quota_overage,
                slack: self.bounds.quota_slack,
            },
            max_key_age: self
                .bounds
                .strict_revocation
                .then(|| Duration::from_millis(self.bounds.revoke_ms).mul_f64(KEY_AGE_SHARE)),
            zones: self.zones.iter().map(|zone| zone.as_str().into()).collect(),
            evacuation_grace: Duration::from_millis(self.bounds.evacuate_ms) / 2,
            honors_rate_limits: true,
            enforces_quotas: true,
            honors_backoff: true,
            uses_gateways: true,
            requires_proof_before_retry: true,
        }
    }

    /// An upstream that left while the store was available must receive nothing once the drain
    /// time is over, so doubt about its absence ends before a node counts as connected again.
    fn directory_policy(&self) -> DirectoryPolicy {
        let contact = self.contact_time();
        DirectoryPolicy {
            outage_grace: contact / 6,
            reregistration_timeout: contact * 53 / 100,
        }
    }

    fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.bounds.heartbeat_ms.max(500))
    }

    fn control_config(&self, record: NodeRecord) -> ControlConfig {
        let heartbeat = self.heartbeat();
        let max_hold = match self.bounds.longest_hold_ms {
            0 => GRANT_HOLD + MAX_RENEWAL,
            max_hold => Duration::from_millis(max_hold),
        };
        let hold = max_hold.min(GRANT_HOLD);
        let renewal = GRANT_RENEWAL.min(hold / 4);
        let min_ttl = Duration::from_millis(self.store.least_ttl_ms);
        let election_delay = Duration::from_millis(20 + hash_run(record.run) % 180);
        ControlConfig {
            record,
            node_lease: LeaseTiming {
                ttl: NODE_TTL.max(min_ttl),
                renewal: NODE_RENEWAL,
            },
            granter_lease: LeaseTiming {
                ttl: GRANTER_TTL.max(min_ttl),
                renewal: GRANTER_RENEWAL,
            },
            election_delay,
            persist_suspicions: true,
            is_first_start: self.first_start,
            grants: GranterTiming {
                hold,
                renewal,
                min_order_interval: ORDER_INTERVAL
                    .div_f64(self.limits.processor_share.min(1.0))
                    .min(MAX_ORDER_INTERVAL),
                max_renewal: renewal + (max_hold - hold).min(MAX_RENEWAL - renewal),
                drift_percent: CLOCK_DRIFT_PERCENT,
                transit: MAX_ORDER_TRANSIT,
                order_timeout: GRANT_TIMEOUT,
                order_lifetime: ORDER_LIFETIME,
                silence_timeout: SILENCE_TIMEOUT,
                quiet_period: heartbeat,
                release_delay: GRANT_NOTICE,
                guards: GranterGuards::default(),
            },
            balance: BalanceLimits {
                max_moves: 8,
                max_overload_moves_share: 0.25,
                overload_utilization: 1.0,
                busy_utilization: 0.45,
                min_utilization_gap: 0.3,
                min_requests: 2.0,
                move_cooldown: Duration::from_millis(700),
                load_window_secs: 1.8,
            },
        }
    }
}

/// Hashes a run number so that nodes get different delays.
fn hash_run(run: u64) -> u64 {
    run.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32
}
