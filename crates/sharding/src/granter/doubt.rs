//! Grants that an upstream may have left lying.
//!
//! An upstream that answers nothing may have a grant in its buffers, or have put it aside,
//! and carry it out later: it stood still, or its workers were slow. No reset of a connection
//! takes such a grant back, and a higher token reaches only who reads it. So the time that
//! an order may lie counts, and then the hold, which begins when the grant is carried out.
//!
//! Invariant: keys that no answer gave back go to another only when every grant has run out
//! that came to their holder, or may have, and that it left unanswered. Two counter-cases:
//!
//! - An upstream stood still for 6.5 s with renewals in its buffers. Its keys went on after
//!   4 s; it woke and took them while the next holder was at work on them.
//! - An upstream left a grant lying, answered others under higher tokens, ended, and was up
//!   again under its name: the restart knew no token and took it. So an answer ends no doubt.
//!   Keys that were given back meanwhile go to the upstream of the same name again, if it is
//!   there to stay.
//!
//! Records name the keys that are in doubt, and for how much longer; a successor counts from
//! its own start, which is later.
//!
//! Not covered: an upstream that keeps an order for longer than the lifetime of orders, and
//! one that left a grant lying whose granter ended before it gave that up and wrote so.

use super::{Call, CandidateState, Granter, GranterTiming};
use crate::range::{KeyRange, ShardKey};
use crate::record::DoubtedKeys;
use crate::slice::{Doubt, Phase, Slice};
use beamtray_catalog::{UpstreamId, UpstreamName};
use beamtray_types::Time;
use std::time::Duration;

/// How long an upstream that has given keys back in doubt and left the directory is waited for.
const REREGISTRATION_WAIT: Duration = Duration::from_secs(4);
/// How often records tell how much doubt is left.
const DOUBT_RECORD_INTERVAL: Duration = Duration::from_secs(2);

/// Keys are without an owner for longer than a hold, since their last holder may have left
/// a grant lying.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DoubtNotice {
    /// The keys.
    pub range: KeyRange,
    /// Their last holder.
    pub holder: UpstreamId,
    /// How much longer they wait, if it does not answer.
    pub left: Duration,
}

impl GranterTiming {
    /// When a grant has run out for certain that was given up on at `now` and may lie with
    /// its upstream.
    fn doubt_end(&self, now: Time, hold: Duration) -> Time {
        now + self.order_lifetime + self.bound(hold)
    }
}

impl Granter {
    /// Notes at `now` that the holder of a slice may have left a grant of that length lying.
    pub(super) fn doubt_grant(&mut self, now: Time, sent: &Call, hold: Duration) {
        let guards = self.timing.guards;
        if !guards.waits_for_doubt || !guards.counts_unanswered {
            return;
        }
        let end = self.timing.doubt_end(now, hold);
        if let Some(slice) = self.slices.get_mut(&sent.first) {
            self.dirty |= slice.doubt.is_none();
            let before = slice.doubt.as_ref().map(|doubt| doubt.until);
            slice.doubt = Some(Doubt {
                upstream: sent.holder.name.clone(),
                until: before.map_or(end, |before| before.max(end)),
            });
        }
    }

    /// Ends the doubt of slices of which no grant can lie any more, and has records tell again
    /// how much of it is left: a successor waits for what the last one told.
    pub(super) fn expire_doubts(&mut self, now: Time) {
        let mut is_any = self.withholds_any();
        for slice in self.slices.values_mut() {
            if slice.doubt.as_ref().is_some_and(|doubt| now >= doubt.until) {
                slice.doubt = None;
                self.dirty = true;
            }
            is_any |= slice.doubt.is_some();
        }
        if is_any && now.since(self.doubt_recorded_at) >= DOUBT_RECORD_INTERVAL {
            self.doubt_recorded_at = now;
            self.dirty = true;
        }
    }

    /// Gives free keys of which a grant may lie back to the upstream that has it, under its
    /// next token: a restart of it that takes the old grant then takes it from nobody else.
    pub(super) fn reassign_doubted(&mut self, now: Time) {
        let slices = self.slices.values();
        let free = slices.filter(|slice| matches!(slice.phase, Phase::Free { .. }));
        let free = free.filter(|slice| !self.is_withheld(slice.range));
        let doubted = free.filter_map(|slice| {
            let doubt = slice.doubt.as_ref()?;
            Some((slice.range.first, doubt.upstream.clone()))
        });
        let doubted: Vec<(ShardKey, UpstreamName)> = doubted.collect();
        for (first, upstream) in doubted {
            let mut candidates = self.candidates.values();
            let last = candidates.find(|one| {
                let stays = one.state != CandidateState::Draining && !self.ended.contains(&one.id);
                stays && one.id.name == upstream
            });
            match last.map(|one| one.id.clone()) {
                Some(id) if self.lost_holders.is_unfenced(&id) => {}
                Some(id) => self.assign(now, first, id),
                None if self.may_return(now, &upstream) => {}
                None => self.clear_doubt(first),
            }
        }
    }

    /// Whether an upstream that is not registered may be so again soon: the entry of a process
    /// before it ran out and took its own with it.
    fn may_return(&self, now: Time, upstream: &UpstreamName) -> bool {
        let mut departed = self.departed_at.iter();
        departed.any(|(id, at)| id.name == *upstream && now.since(*at) < REREGISTRATION_WAIT)
    }

    fn clear_doubt(&mut self, first: ShardKey) {
        if let Some(slice) = self.slices.get_mut(&first) {
            slice.doubt = None;
            self.dirty = true;
        }
    }

    /// What the next record tells of keys in doubt, and of those that go to nobody.
    pub(super) fn doubted_keys(&self) -> Vec<DoubtedKeys> {
        let slices = self.slices.values();
        let doubted = slices.filter_map(|slice| {
            let doubt = slice.doubt.as_ref()?;
            Some((slice.range, doubt.until))
        });
        let all = doubted.chain(self.withheld_keys());
        let left = all.map(|(range, until)| DoubtedKeys {
            range,
            left_ms: u32::try_from(until.since(self.polled_at).as_millis()).unwrap_or(u32::MAX),
        });
        left.collect()
    }

    /// Takes over what a record says of the doubt of a slice. Keys without a holder go to nobody
    /// meanwhile.
    pub(super) fn inherit_doubt(&mut self, now: Time, slice: &mut Slice, doubted: &[DoubtedKeys]) {
        let guards = self.timing.guards;
        let of_slice = doubted
            .iter()
            .filter(|keys| keys.range.overlaps(slice.range));
        let left = of_slice.map(|keys| keys.left_ms).max();
        let Some(left) = left.filter(|_| guards.respects_predecessor) else {
            return;
        };
        let until = now + Duration::from_millis(left.into());
        match slice.current_holder() {
            Some(holder) if guards.waits_for_doubt => {
                slice.doubt = Some(Doubt {
                    upstream: holder.name.clone(),
                    until,
                });
            }
            Some(_) => {}
            None => self.withhold_until(slice.range, until),
        }
    }

    /// Keys that wait since their holder may have left a grant lying, since the last call.
    pub fn take_doubt_notices(&mut self) -> Vec<DoubtNotice> {
        std::mem::take(&mut self.doubt_notices)
    }

    /// How many slices wait for that.
    pub fn doubted_count(&self) -> usize {
        let slices = self.slices.values();
        slices.filter(|slice| slice.awaits_doubt_end).count()
    }
}
