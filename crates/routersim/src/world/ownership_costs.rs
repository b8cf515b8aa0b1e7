//! What the ownership of keys costs in a history, and the calls to the store.

use super::{HOUSEKEEPING, World};
use beamtray_metastore::StoreCall;
use beamtray_sharding::KeyRange;
use beamtray_types::Time;
use std::time::Duration;

/// What the ownership of keys costs in a history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnershipCosts {
    /// Time without an owner after the warm-up, averaged over all keys.
    pub unowned: Duration,
    /// Number of grants and releases that upstreams executed.
    pub orders: usize,
    /// Number of conditional writes that reached the store.
    pub writes: usize,
}

/// Calls that reached the store after the warm-up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCalls {
    /// Reads of keys and pages.
    pub reads: usize,
    /// Watches.
    pub watches: usize,
    /// Renewals of leases.
    pub renewals: usize,
    /// Transactions, and leases granted and ended.
    pub writes: usize,
}

impl World {
    /// Adds the keys without an owner now, which stands for the interval until the next call.
    pub(super) fn count_unowned_keys(&mut self) {
        if self.now < Time::ZERO + self.config.warm_up_time {
            return;
        }
        let upstreams = self.upstreams.iter().flatten();
        let grants = upstreams.flat_map(|upstream| upstream.grants(self.now));
        let owned: u32 = grants.map(|grant| grant.range.len()).sum();
        let all = KeyRange::ALL.len();
        let unowned = all.saturating_sub(owned);
        self.ownership_costs.unowned += HOUSEKEEPING * unowned / all;
    }

    /// Counts a call that reached the store.
    pub(super) fn count_store_call(&mut self, call: &StoreCall) {
        if matches!(call, StoreCall::Commit(_)) {
            self.ownership_costs.writes += 1;
        }
        if self.now < Time::ZERO + self.config.warm_up_time {
            return;
        }
        match call {
            StoreCall::Get { .. } | StoreCall::Range { .. } => self.store_calls.reads += 1,
            StoreCall::Watch { .. } => self.store_calls.watches += 1,
            StoreCall::KeepLease { .. } => self.store_calls.renewals += 1,
            StoreCall::Commit(_) | StoreCall::GrantLease { .. } | StoreCall::RevokeLease { .. } => {
                self.store_calls.writes += 1;
            }
        }
    }
}
