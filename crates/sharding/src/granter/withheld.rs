//! Keys of which it is not known who holds them.
//!
//! Invariant: where the record of a granter before can't be read, its keys go to nobody
//! until every grant that it may have given there has run out, and every order of a standby
//! that still knows the record. That is the wait for a holder that does not answer, and no
//! longer: 3.3 s, or 8.5 s with the longest holds, in which nobody serves these keys. Records
//! name them. Counter-case: a granter found that all keys had gone on unseen and wrote them
//! down as free; it was killed, and its successor gave them away beside their holders.

use super::Granter;
use crate::range::{KeyRange, ShardKey};
use crate::record::{FencingToken, RecordNumber};
use crate::slice::Phase;
use beamtray_types::Time;

/// Keys that go to nobody for a while.
#[derive(Clone, Copy, Debug)]
pub(super) struct WithheldKeys {
    range: KeyRange,
    until: Time,
}

impl Granter {
    /// Takes over keys at `now` whose record can't be read.
    pub fn withhold(&mut self, now: Time, range: KeyRange) {
        if !self.timing.guards.respects_predecessor {
            return;
        }
        let until = now + self.timing.longest_bound() + self.timing.transit;
        self.withheld.push(WithheldKeys { range, until });
    }

    /// Has keys go to nobody until then.
    pub(super) fn withhold_until(&mut self, range: KeyRange, until: Time) {
        self.withheld.push(WithheldKeys { range, until });
    }

    /// The keys that go to nobody, and until when.
    pub(super) fn withheld_keys(&self) -> impl Iterator<Item = (KeyRange, Time)> {
        self.withheld.iter().map(|keys| (keys.range, keys.until))
    }

    /// Takes over at `now` a record that may be older than the last grants: the store may have
    /// gone back since it was written.
    ///
    /// Its holders are renewed under its tokens, which harms nobody: one that has given keys
    /// back since, or has got them under a later token, answers that the token is outdated.
    /// That proves that the keys went on, to a holder that is not known, and nobody gets them
    /// before its grants have run out. Counter-case: such a holder was given the same keys
    /// under a fresh token, took them, and held them for 1.5 s beside those who had them.
    pub fn doubt_record(&mut self, now: Time) {
        if self.timing.guards.doubts_records {
            self.record_doubted_until = now + self.timing.longest_bound() + self.timing.transit;
        }
    }

    /// Whether an answer "outdated" tells that the keys went on to a holder that the record
    /// which was taken over does not name.
    pub(super) fn moved_unseen(&self, now: Time, token: Option<FencingToken>) -> bool {
        let is_inherited = token < Some(FencingToken::new(self.epoch, 0));
        now < self.record_doubted_until && is_inherited
    }

    /// Nobody is known to hold a slice, and somebody may.
    pub(super) fn withhold_slice(&mut self, now: Time, first: ShardKey) {
        let until = self.record_doubted_until;
        let recorded_in = self.next_sequence;
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        slice.set_phase(Phase::Free { handover: None });
        slice.recorded_in = recorded_in;
        slice.changed_at = now;
        let range = slice.range;
        self.withheld.push(WithheldKeys { range, until });
        self.dirty = true;
    }

    /// Takes over at `now` keys whose standbys the record does not tell, since its head can't
    /// be read: a holder that does not answer keeps its keys until the last word of any
    /// standby has run out, 15 s at most.
    pub fn adopt_unknown_standbys(&mut self, now: Time) {
        if self.timing.guards.respects_predecessor {
            self.standbys.adopt_unknown(now);
        }
    }

    /// Forgets keys that somebody may hold again.
    pub(super) fn expire_withheld(&mut self, now: Time) {
        if self.withheld.is_empty() {
            return;
        }
        // A standby that knows any record of this term prolongs nothing there.
        let first_record = RecordNumber {
            epoch: self.epoch,
            sequence: 1,
        };
        let prolonged = if self.timing.guards.waits_for_standbys {
            self.standbys.hold_until(first_record)
        } else {
            Time::ZERO
        };
        self.withheld.retain(|keys| now < keys.until.max(prolonged));
    }

    /// Whether some keys go to nobody yet. Their load is not known to belong to those who
    /// are thought to hold them.
    pub(super) fn withholds_any(&self) -> bool {
        !self.withheld.is_empty()
    }

    /// Whether some of these keys go to nobody yet.
    pub(super) fn is_withheld(&self, range: KeyRange) -> bool {
        let mut withheld = self.withheld.iter();
        withheld.any(|keys| keys.range.overlaps(range))
    }
}
