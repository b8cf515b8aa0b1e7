//! Upstreams that lost keys without an answer, and are told of it until they answer.
//!
//! An order that was given up on may still be taken: what was written to a connection goes
//! on being sent, and a cut keeps it back for as long as the cut lasts. An upstream refuses
//! an old grant only if it has seen a higher token on one of its keys. The wait for the end
//! of all holds does not help: the time of an old grant counts from when it is taken.
//!
//! Invariant: whoever lost keys without an answer is named in each record from the one that
//! asks it for them to the one after its answer; it is sent releases of them under fresh
//! tokens, by this granter and its successors, and gets no keys before it has answered one
//! or has ended. Without it an upstream that was cut off for five seconds took a renewal
//! from before the cut 1.2 s after the cut, while another one held the keys.

use crate::order::{CallId, GrantReply};
use crate::range::KeyRange;
use crate::record::FencingToken;
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Between two releases to an upstream that has not answered one. The sooner it is told
/// after a cut, the fewer old orders come before: they come at steps of retransmission,
/// which double from 0.2 s.
const RELEASE_INTERVAL: Duration = Duration::from_millis(200);
/// After this a release that has no answer is not counted on any more: a connection that
/// does not come up is given up on sooner, and orders are waited for as long.
const ACTIVE_PERIOD: Duration = Duration::from_millis(500);
/// Most releases to one upstream that are counted on. The second one goes out before the
/// first is given up on, which takes as long as a connection may take to come up. More of
/// them hold up a granter that is late with everything: with one every 0.2 s however many
/// were under way, it served 60 in 100 requests of the simulator, and 78 with two.
const MAX_ACTIVE_PER_UPSTREAM: usize = 2;
/// Most releases to one upstream that are under way at all. One that takes connections and
/// says nothing leaves each of them open for 3 s, so that it is told each 0.5 s.
const MAX_PENDING_PER_UPSTREAM: usize = 6;
/// Most releases that are counted on over all upstreams of a service. Each waits 0.35 s for
/// a connection, so these are 140 a second, and who was told longest ago is told first.
const MAX_ACTIVE_TOTAL: usize = 48;
/// Between two looks at whether a release to an upstream is due, which go through the
/// slices.
const CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// How long an upstream that is not registered any more is told. What was written before
/// it vanished comes by the retransmission after 51 s at the latest; senders reset their
/// connections long before that.
pub(crate) const FORGET_AFTER: Duration = Duration::from_secs(60);

/// An upstream that may still take old grants of keys that it lost.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct UnfencedUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The keys.
    pub ranges: Vec<KeyRange>,
}

/// What became of an upstream that lost keys without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceNotice {
    /// It lost keys and has not answered.
    Unfenced(UpstreamId),
    /// It answered, that long after it lost the first of them.
    Fenced(UpstreamId, Duration),
    /// It has not been registered for so long that it is taken to have ended.
    Forgotten(UpstreamId),
}

/// A release that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DueRelease {
    pub upstream: UpstreamId,
    pub range: KeyRange,
    pub token: FencingToken,
}

/// A release under way.
#[derive(Clone, Copy, Debug)]
struct SentRelease {
    range: KeyRange,
    token: FencingToken,
    at: Time,
}

#[derive(Clone, Debug)]
struct LostHolder {
    /// Keys for which it has not answered.
    ranges: Vec<KeyRange>,
    /// Of its releases: above all tokens under which it was given keys.
    token: FencingToken,
    since: Time,
    /// Since when it is not registered.
    missing_since: Option<Time>,
    /// When a release of these keys was last sent.
    released_at: BTreeMap<KeyRange, Time>,
    pending: BTreeMap<CallId, SentRelease>,
    /// When it is looked at next.
    check_at: Time,
}

impl LostHolder {
    fn active_releases(&self, now: Time) -> usize {
        let pending = self.pending.values();
        let active = pending.filter(|sent| now.since(sent.at) < ACTIVE_PERIOD);
        active.count()
    }

    /// Releases that may be sent to it.
    fn room(&self, now: Time) -> usize {
        let active_room = MAX_ACTIVE_PER_UPSTREAM.saturating_sub(self.active_releases(now));
        active_room.min(MAX_PENDING_PER_UPSTREAM.saturating_sub(self.pending.len()))
    }

    fn last_release(&self, range: &KeyRange) -> Option<Time> {
        self.released_at.get(range).copied()
    }

    /// Whether it has answered for all keys, and no release that could take away what it is
    /// given next is likely to come.
    fn has_answered(&self, now: Time) -> bool {
        self.ranges.is_empty() && self.active_releases(now) == 0
    }
}

/// Upstreams that lost keys without an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct LostHolders {
    holders: BTreeMap<UpstreamId, LostHolder>,
    notices: Vec<FenceNotice>,
}

impl LostHolders {
    /// Notes that an upstream lost keys without an answer. `token` is above all under which
    /// it was given keys.
    pub fn add(&mut self, now: Time, upstream: &UpstreamId, range: KeyRange, token: FencingToken) {
        if !self.holders.contains_key(upstream) {
            self.notices.push(FenceNotice::Unfenced(upstream.clone()));
        }
        let holder = self.holders.entry(upstream.clone()).or_insert(LostHolder {
            ranges: Vec::new(),
            token,
            since: now,
            missing_since: None,
            released_at: BTreeMap::new(),
            pending: BTreeMap::new(),
            check_at: now,
        });
        if !holder.ranges.contains(&range) {
            holder.ranges.push(range);
        }
        // Releases that are under way may have been sent before these keys were lost.
        holder.token = token;
        holder.released_at.clear();
        holder.check_at = now;
    }

    /// Whether the upstream still owes an answer.
    pub fn is_unfenced(&self, upstream: &UpstreamId) -> bool {
        self.holders.contains_key(upstream)
    }

    /// Notes that an upstream has ended: it takes nothing any more.
    pub fn mark_ended(&mut self, upstream: &UpstreamId) {
        self.holders.remove(upstream);
    }

    /// Notes that upstreams have ended.
    pub fn remove_ended(&mut self, has_ended: impl Fn(&UpstreamId) -> bool) {
        self.holders.retain(|upstream, _| !has_ended(upstream));
    }

    /// All that still owe an answer.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.holders.keys()
    }

    /// States whether upstreams are registered.
    pub fn set_registered(&mut self, now: Time, is_registered: impl Fn(&UpstreamId) -> bool) {
        for (upstream, holder) in &mut self.holders {
            if !is_registered(upstream) {
                holder.missing_since.get_or_insert(now);
            } else if holder.missing_since.take().is_some() {
                holder.released_at.clear();
                holder.check_at = now;
            }
        }
    }

    /// Lets those go that have answered, and those that have not been registered for long.
    /// The former, who may get keys again.
    pub fn remove_settled(&mut self, now: Time) -> Vec<UpstreamId> {
        let notices = &mut self.notices;
        let mut answered = Vec::new();
        self.holders.retain(|upstream, holder| {
            if holder.has_answered(now) {
                let after = now.since(holder.since);
                notices.push(FenceNotice::Fenced(upstream.clone(), after));
                answered.push(upstream.clone());
                return false;
            }
            let since = holder.missing_since;
            let is_over = since.is_some_and(|since| now.since(since) >= FORGET_AFTER);
            if is_over {
                notices.push(FenceNotice::Forgotten(upstream.clone()));
            }
            !is_over
        });
        answered
    }

    /// Releases that are due, first to those that are registered, of these to who was told
    /// longest ago. `holds_others` tells whether an upstream is to keep other keys; one that
    /// has none is released of all at once.
    pub fn due(
        &mut self,
        now: Time,
        holds_others: impl Fn(&UpstreamId) -> bool,
    ) -> Vec<DueRelease> {
        let active_releases = self
            .holders
            .values()
            .map(|holder| holder.active_releases(now));
        let mut total_room = MAX_ACTIVE_TOTAL.saturating_sub(active_releases.sum());
        let holders = self.holders.iter_mut();
        let mut holders: Vec<_> = holders
            .filter(|(_, holder)| now >= holder.check_at && holder.room(now) > 0)
            .collect();
        holders.sort_by_key(|(_, holder)| {
            let last_release = holder.released_at.values().max().copied();
            (holder.missing_since.is_some(), last_release)
        });
        let mut due = Vec::new();
        for (upstream, holder) in holders {
            let room = holder.room(now).min(total_room);
            if room == 0 {
                break;
            }
            holder.check_at = now + CHECK_INTERVAL;
            let mut ranges = match holds_others(upstream) {
                true => holder.ranges.clone(),
                false if holder.ranges.is_empty() => Vec::new(),
                false => vec![KeyRange::ALL],
            };
            ranges.retain(|range| {
                let last_release = holder.last_release(range);
                last_release.is_none_or(|at| now.since(at) >= RELEASE_INTERVAL)
            });
            ranges.sort_by_key(|range| holder.last_release(range));
            ranges.truncate(room);
            total_room -= ranges.len();
            due.extend(ranges.into_iter().map(|range| DueRelease {
                upstream: upstream.clone(),
                range,
                token: holder.token,
            }));
        }
        due
    }

    /// Notes that a release is sent.
    pub fn sent(&mut self, now: Time, call: CallId, release: &DueRelease) {
        if let Some(holder) = self.holders.get_mut(&release.upstream) {
            let sent = SentRelease {
                range: release.range,
                token: release.token,
                at: now,
            };
            holder.released_at.insert(release.range, now);
            holder.pending.insert(call, sent);
        }
    }

    /// Whom a release went to.
    pub fn recipient(&self, call: CallId) -> Option<UpstreamId> {
        let mut holders = self.holders.iter();
        let recipient = holders.find(|(_, holder)| holder.pending.contains_key(&call));
        recipient.map(|(upstream, _)| upstream.clone())
    }

    /// Takes the answer to a release.
    pub fn handle_reply(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        call: CallId,
        reply: &GrantReply,
    ) {
        let Some(holder) = self.holders.get_mut(upstream) else {
            return;
        };
        let Some(sent) = holder.pending.remove(&call) else {
            return;
        };
        holder.check_at = now;
        if matches!(reply, GrantReply::Released(_)) && sent.token == holder.token {
            holder.ranges.retain(|range| !sent.range.covers(*range));
        }
    }

    /// Those that the next record names.
    pub fn record(&self) -> Vec<UnfencedUpstream> {
        let holders = self.holders.iter();
        holders
            .filter(|(_, holder)| !holder.ranges.is_empty())
            .map(|(upstream, holder)| UnfencedUpstream {
                upstream: upstream.clone(),
                ranges: holder.ranges.clone(),
            })
            .collect()
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.holders.len()
    }

    /// What became known since the last call.
    pub fn take_notices(&mut self) -> Vec<FenceNotice> {
        std::mem::take(&mut self.notices)
    }
}
