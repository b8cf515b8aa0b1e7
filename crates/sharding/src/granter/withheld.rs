//! Keys whose holder is unknown.
//!
//! Invariant: if the record of an earlier granter cannot be read, its keys are not assigned
//! until every grant that it may have sent for them has expired, and every order of a standby
//! that still knows the record. That is the wait for an unresponsive holder and no longer:
//! 3.3 s, or 8.5 s with the longest grants, during which nobody serves these keys. All
//! upstreams are fenced besides, which may take longer ([`super::term_fence`]). Records name
//! the keys. Failure that this prevents: a granter found that all keys had moved without its
//! knowledge and recorded them as free; it was killed, and its successor assigned them while
//! their holders still served them.

use super::Granter;
use crate::key_set::KeySet;
use crate::range::{KeyRange, ShardKey};
use crate::record::{FencingToken, RecordNumber};
use crate::slice::Phase;
use beamtray_types::Time;

/// Keys that are not assigned for some time.
#[derive(Clone, Copy, Debug)]
struct WithheldRange {
    range: KeyRange,
    until: Time,
}

/// All keys that are not assigned for some time.
#[derive(Clone, Debug, Default)]
pub(super) struct WithheldKeys {
    ranges: Vec<WithheldRange>,
    /// The keys of `ranges`.
    keys: KeySet,
}

impl WithheldKeys {
    fn insert(&mut self, range: KeyRange, until: Time) {
        self.ranges.push(WithheldRange { range, until });
        self.keys.insert(range);
    }

    /// Keeps only ranges until a time for which `keeps` holds.
    fn retain(&mut self, keeps: impl Fn(Time) -> bool) {
        let before = self.ranges.len();
        self.ranges.retain(|withheld| keeps(withheld.until));
        if self.ranges.len() < before {
            self.keys = self.ranges.iter().map(|withheld| withheld.range).collect();
        }
    }
}

impl Granter {
    /// Withholds keys at `now` whose record cannot be read. Withholding all keys suspends the
    /// renewal of recorded holders, too: the whole record may lack grants.
    pub fn withhold(&mut self, now: Time, range: KeyRange) {
        if !self.timing.guards.respects_predecessor {
            return;
        }
        if range == KeyRange::ALL {
            self.suspend_renewals(now);
        }
        let until = now + self.timing.longest_in_force();
        self.withheld.insert(range, until);
        self.begin_term_fence(until);
    }

    /// Withholds keys until then.
    pub(super) fn withhold_until(&mut self, range: KeyRange, until: Time) {
        self.withheld.insert(range, until);
    }

    /// The withheld keys, and until when.
    pub(super) fn withheld_keys(&self) -> impl Iterator<Item = (KeyRange, Time)> {
        let ranges = self.withheld.ranges.iter();
        ranges.map(|withheld| (withheld.range, withheld.until))
    }

    /// Marks the adopted record at `now` as possibly older than the last grants: the store
    /// may have reverted to an older state since it was written.
    ///
    /// Its holders are renewed under its tokens, unless all keys are withheld besides
    /// ([`super::recorded_holders`]). A holder that has since returned keys, or got
    /// them under a later token, replies that the token is outdated. That proves that the keys
    /// moved to an unknown holder, and they are not assigned before its grants have expired.
    /// Otherwise such a holder was granted the same keys under a fresh token, accepted, and
    /// held them for 1.5 s while their current holders did too.
    ///
    /// Not covered: a term that takes its own record for the last one although another node's
    /// was lost. A holder that lost keys without a reply accepts the old token then.
    pub fn doubt_record(&mut self, now: Time) {
        if self.timing.guards.doubts_records {
            self.record_doubted_until = now + self.timing.longest_in_force();
            self.begin_term_fence(now + self.timing.longest_possible());
        }
    }

    /// Whether an `Outdated` reply means that the keys moved to a holder that the adopted
    /// record does not name.
    pub(super) fn moved_unseen(&self, now: Time, token: Option<FencingToken>) -> bool {
        let is_inherited = token < Some(FencingToken::new(self.epoch, 0));
        let is_doubted = now < self.record_doubted_until || self.may_have_returned_keys(now);
        is_doubted && is_inherited
    }

    /// Withholds a slice whose holder is unknown, since it may have one.
    pub(super) fn withhold_slice(&mut self, now: Time, first: ShardKey) {
        let until = self.record_doubted_until;
        let recorded_in = self.next_sequence;
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        let holder = slice.current_holder().cloned();
        slice.set_phase(Phase::Free { handover: None });
        slice.recorded_in = recorded_in;
        slice.changed_at = now;
        let range = slice.range;
        if let Some(holder) = holder {
            self.fence_recorded_holder(now, &holder, range);
        }
        self.withheld.insert(range, until);
        self.dirty = true;
    }

    /// Accounts at `now` for the standbys and the unfenced upstreams of a record whose head
    /// cannot be read: an unresponsive holder keeps its keys until the last authorization of
    /// any standby has expired, 15 s at most, and all upstreams are fenced.
    pub fn adopt_unreadable_head(&mut self, now: Time) {
        if self.timing.guards.respects_predecessor {
            self.standbys.adopt_unknown(now);
            self.begin_term_fence(now + self.timing.longest_in_force());
        }
    }

    /// Drops withheld keys that may be assigned again.
    pub(super) fn expire_withheld(&mut self, now: Time) {
        if self.withheld.ranges.is_empty() {
            return;
        }
        // A standby that knows any record of this term does not extend grants of these keys.
        let first_record = RecordNumber {
            epoch: self.epoch,
            sequence: 1,
        };
        let prolonged = if self.timing.guards.waits_for_standbys {
            self.standbys.hold_until(first_record)
        } else {
            Time::ZERO
        };
        self.withheld.retain(|until| now < until.max(prolonged));
    }

    /// Whether any keys are withheld. Their load cannot be attributed to their recorded
    /// holders.
    pub(super) fn withholds_any(&self) -> bool {
        !self.withheld.ranges.is_empty()
    }

    /// Whether an upstream that no record names may hold any of these keys.
    pub(super) fn may_have_unknown_holder(&self, now: Time, range: KeyRange) -> bool {
        let mut withheld = self.withheld_keys();
        withheld.any(|(withheld, until)| now < until && withheld.overlaps(range))
    }

    /// Whether any of these keys are withheld.
    pub(super) fn is_withheld(&self, range: KeyRange) -> bool {
        self.withheld.keys.overlaps(range)
    }
}
