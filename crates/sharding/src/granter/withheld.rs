//! Keys of which it is not known who holds them.
//!
//! Invariant: where the record of a granter before can't be read, its keys go to nobody
//! until every grant that it may have given there has run out, and every order of a standby
//! that still knows the record. That is the wait for a holder that does not answer, and no
//! longer: 3.3 s, or 8.5 s with the longest holds, in which nobody serves these keys.

use super::Granter;
use crate::range::KeyRange;
use crate::record::RecordNumber;
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

    /// Takes over at `now` keys whose standbys the record does not tell, since its head can't
    /// be read: a holder that does not answer keeps its keys until the last word of any
    /// standby has run out, 15 s at most.
    pub fn standbys_unknown(&mut self, now: Time) {
        if self.timing.guards.respects_predecessor {
            self.standbys.adopt_unknown(now);
        }
    }

    /// Forgets keys that somebody may hold again.
    pub(super) fn end_withholding(&mut self, now: Time) {
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

    /// Whether some of these keys go to nobody yet.
    pub(super) fn is_withheld(&self, range: KeyRange) -> bool {
        let mut withheld = self.withheld.iter();
        withheld.any(|keys| keys.range.overlaps(range))
    }
}
