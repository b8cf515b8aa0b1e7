//! Grants that an upstream may have received without executing them yet.
//!
//! An unresponsive upstream may have a grant in its buffers or a queue and execute it later,
//! because it was paused or its workers were slow. Resetting the connection does not withdraw
//! such a grant, and a higher token takes effect only once it is read. The grant is therefore
//! assumed to be executed at the end of the lifetime of orders, and its duration counts from
//! then.
//!
//! Invariant: keys that no reply returned go to another upstream only when every unanswered
//! grant that reached their holder, or may have, has expired. Two failures that this
//! prevents:
//!
//! - An upstream was paused for 6.5 s with renewals in its buffers. Its keys were reassigned
//!   after 4 s; it resumed and accepted the renewals while the next holder was serving the
//!   keys.
//! - An upstream received a grant without executing it, answered others under higher tokens,
//!   terminated, and restarted under its name: the new process knew no token and accepted the
//!   grant. So a reply does not end the doubt. Keys that were returned meanwhile are assigned
//!   to the upstream of the same name again, unless it is draining.
//!
//! Records name the keys in doubt and the remaining time; a successor counts that time from
//! its own start, which is later.
//!
//! Not covered: an upstream that keeps an order for longer than the lifetime of orders, and a
//! delayed grant whose granter ended before it gave the grant up and recorded the doubt, unless
//! no process is left that observed the granter ([`super::lost_predecessor`]).

use super::{Call, CandidateState, Granter, GranterTiming};
use crate::range::{KeyRange, ShardKey};
use crate::record::DoubtedKeys;
use crate::slice::{Doubt, Phase, Slice};
use beamtray_catalog::{UpstreamId, UpstreamName};
use beamtray_types::Time;
use std::time::Duration;

/// How long to wait for an upstream that returned keys in doubt and left the directory.
const REREGISTRATION_WAIT: Duration = Duration::from_secs(4);
/// Interval at which records update the remaining time of doubts.
const DOUBT_RECORD_INTERVAL: Duration = Duration::from_secs(2);

/// Keys that have no owner for longer than the duration of a grant, since their last holder
/// may still execute a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DoubtNotice {
    /// The keys.
    pub range: KeyRange,
    /// Their last holder.
    pub holder: UpstreamId,
    /// How much longer they wait if it does not reply.
    pub left: Duration,
}

impl GranterTiming {
    /// When a grant has certainly expired that was given up on at `now` and may still be
    /// executed.
    fn doubt_end(&self, now: Time, hold: Duration) -> Time {
        now + self.order_lifetime + self.bound(hold)
    }
}

impl Granter {
    /// Records at `now` that the holder of a slice may still execute a grant of that length.
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

    /// Ends the doubt of slices whose delayed grants have expired, and periodically records
    /// the remaining time of the others: a successor waits for as long as the last record
    /// says.
    pub(super) fn expire_doubts(&mut self, now: Time) {
        let mut is_any = self.withholds_any() || self.term_fence.until().is_some();
        is_any |= self.keys_with_grants_in_flight().next().is_some();
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

    /// Assigns free keys with a delayed grant to the upstream that received that grant, under
    /// its next token. If a restart of it then accepts the old grant, it takes the keys from
    /// nobody else.
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
                let stays =
                    one.state != CandidateState::Draining && !self.terminated.contains(&one.id);
                stays && one.id.name == upstream
            });
            match last.map(|one| one.id.clone()) {
                Some(id) if self.is_unfenced(&id) => {}
                Some(id) => self.assign(now, first, id),
                None if self.may_return(now, &upstream) => {}
                None => self.clear_doubt(first),
            }
        }
    }

    /// Whether an unregistered upstream may register again soon: the entry of an earlier
    /// process may have expired and removed the current entry with it.
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

    /// The keys in doubt and the withheld keys, as the next record contains them.
    pub(super) fn doubted_keys(&self) -> Vec<DoubtedKeys> {
        let slices = self.slices.values();
        let doubted = slices.filter_map(|slice| {
            let doubt = slice.doubt.as_ref()?;
            Some((slice.range, doubt.until))
        });
        let unrecorded = self.term_fence.until().map(|until| (KeyRange::ALL, until));
        let all = doubted
            .chain(self.withheld_keys())
            .chain(self.suspended_keys())
            .chain(self.keys_with_grants_in_flight())
            .chain(unrecorded);
        let left = all.map(|(range, until)| DoubtedKeys {
            range,
            left_ms: u32::try_from(until.since(self.polled_at).as_millis()).unwrap_or(u32::MAX),
        });
        left.collect()
    }

    /// Adopts the doubt that a record states for a slice. Keys without a holder are withheld
    /// meanwhile.
    pub(super) fn inherit_doubt(&mut self, now: Time, slice: &mut Slice, doubted: &[DoubtedKeys]) {
        let guards = self.timing.guards;
        let of_slice = doubted
            .iter()
            .filter(|keys| !keys.is_whole() && keys.range.overlaps(slice.range));
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

    /// Takes the notices of keys that wait for a delayed grant to expire, since the last
    /// call.
    pub fn take_doubt_notices(&mut self) -> Vec<DoubtNotice> {
        std::mem::take(&mut self.doubt_notices)
    }

    /// Number of slices that wait for a delayed grant to expire.
    pub fn doubted_count(&self) -> usize {
        let slices = self.slices.values();
        slices.filter(|slice| slice.awaits_doubt_end).count()
    }
}
