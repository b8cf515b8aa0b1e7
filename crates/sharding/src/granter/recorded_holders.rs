//! Renewal of holders that only a possibly outdated record names.
//!
//! After a rollback of the store, a recorded holder may have lost its keys in the meantime to
//! an upstream that the record does not name. No reply tells: a holder that lost its keys by
//! expiry alone accepts the recorded token, and every upstream accepts a fresh one.
//!
//! Invariant: a term whose record may lack grants does not renew a recorded holder while an
//! upstream that the record does not name may have a grant of the keys in force, as it assigns
//! no keys without a holder meanwhile ([`super::withheld`]). After that it renews the holder
//! under tokens of its own if all registered upstreams have replied to its releases
//! ([`super::term_fence`]). Failure that this prevents: an upstream lost its keys by expiry
//! while it could not be reached, and the store lost the record of that. The next term renewed
//! it under the recorded token, below the token of the current holder; if that one could not be
//! reached, both held the keys.
//!
//! While an upstream does not reply, recorded holders are renewed under their recorded tokens:
//! those that returned their keys refuse, so that a delayed grant of the upstream that has them
//! meets no other holder. Under fresh tokens they accepted.
//!
//! Records name the suspension, so that a successor continues it.
//!
//! The price is that after such a rollback keys are without an owner from when the grants of
//! the last term expire until the wait is over, 3.4 s at most with the shortest grants.
//!
//! Not covered: a holder that lost its keys by expiry alone while another registered upstream
//! does not reply. It accepts the recorded token. Waiting for that upstream would leave all keys
//! without an owner for 15 s.

use super::Granter;
use crate::range::{KeyRange, ShardKey};
use crate::record::FencingToken;
use crate::slice::{Phase, Slice};
use beamtray_types::Time;
use std::time::Duration;

/// Recorded holders keep their keys and get tokens of the term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenewalNotice {
    /// Number of slices that are renewed.
    pub slices: usize,
    /// Number of upstreams that have not replied to releases.
    pub unfenced: usize,
    /// How long after the start of the term.
    pub after: Duration,
}

impl Granter {
    /// Suspends the renewal of recorded holders, since the record may lack grants.
    pub(super) fn suspend_renewals(&mut self, now: Time) {
        let guards = self.timing.guards;
        if guards.doubts_records && guards.suspends_renewals {
            self.renewals_suspended_at.get_or_insert(now);
        }
    }

    /// Gives recorded holders tokens of this term once nobody else can hold their keys.
    pub(super) fn resume_renewals(&mut self, now: Time) {
        let Some(since) = self.renewals_suspended_at else {
            return;
        };
        if self.awaits_term_fence(now) {
            return;
        }
        let slices = self.slices.values();
        let resumed: Vec<ShardKey> = slices
            .filter(|slice| self.is_recorded_holder(slice))
            .filter(|slice| !self.may_have_unknown_holder(now, slice.range))
            .map(|slice| slice.range.first)
            .collect();
        if resumed.is_empty() {
            return;
        }
        for first in &resumed {
            self.take_block(*first);
        }
        self.renewal_notices.push(RenewalNotice {
            slices: resumed.len(),
            unfenced: self.unfenced_count(),
            after: now.since(since),
        });
    }

    /// Whether the holder of the slice is not renewed now.
    pub(super) fn is_renewal_suspended(&self, now: Time, slice: &Slice) -> bool {
        let suspended = self.renewals_suspended_at.is_some();
        suspended
            && self.is_recorded_holder(slice)
            && self.may_have_unknown_holder(now, slice.range)
    }

    /// Whether a holder that refuses a recorded token may have returned its keys to an upstream
    /// that does not reply.
    pub(super) fn may_have_returned_keys(&self, now: Time) -> bool {
        self.renewals_suspended_at.is_some() && self.awaits_term_fence(now)
    }

    /// Whether the slice is held under a token of an earlier term.
    fn is_recorded_holder(&self, slice: &Slice) -> bool {
        let is_held = matches!(slice.phase, Phase::Held { .. });
        is_held && slice.token() < Some(FencingToken::new(self.epoch, 0))
    }

    /// The keys for which the next record states that renewals are suspended, and until when
    /// unknown holders may hold them.
    pub(super) fn suspended_keys(&self) -> Option<(KeyRange, Time)> {
        self.renewals_suspended_at?;
        let mut slices = self.slices.values();
        let is_any = slices.any(|slice| self.is_recorded_holder(slice));
        is_any.then_some((KeyRange::ALL, self.record_doubted_until))
    }

    /// Takes the notices of resumed renewals since the last call.
    pub fn take_renewal_notices(&mut self) -> Vec<RenewalNotice> {
        std::mem::take(&mut self.renewal_notices)
    }
}
