//! Fencing of upstreams that lost keys without having confirmed a release.
//!
//! An abandoned order may still be accepted later: data written to a connection continues to
//! be sent, and a network partition delays it for as long as the partition lasts. An upstream
//! refuses an old grant only if it has seen a higher token on one of its keys. Waiting for
//! all grants to expire does not help, because the duration of an old grant counts from when
//! it is accepted.
//!
//! Invariant: an upstream that lost keys without a reply is named in each record from the one
//! that revokes them to the one after its reply. This granter and its successors send it
//! releases of the keys under fresh tokens, and it gets no keys before it has answered one or
//! has terminated. Without this rule an upstream that was partitioned for five seconds accepted a
//! renewal from before the partition 1.2 s after its end, while another upstream held the
//! keys.

use crate::order::{CallId, GrantReply};
use crate::range::KeyRange;
use crate::record::FencingToken;
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between releases to an upstream that has not answered one. After a partition, old
/// orders arrive at retransmission steps, which double from 0.2 s; the sooner the upstream is
/// fenced, the fewer of them arrive first.
const RELEASE_INTERVAL: Duration = Duration::from_millis(200);
/// Age from which an unanswered release no longer counts as active. A connection attempt
/// fails sooner than this, and orders are waited for as long.
const ACTIVE_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of active releases to one upstream. The second one is sent before the first
/// is given up on, which takes as long as a connection attempt. More of them delay a granter
/// that is already slow: sending one every 0.2 s without a limit, it served 60 in 100
/// requests in the simulator, and 78 with two.
const MAX_ACTIVE_PER_UPSTREAM: usize = 2;
/// Maximum number of pending releases to one upstream, active or not. An upstream that
/// accepts connections and never replies keeps each of them open for 3 s, so that it gets a
/// release every 0.5 s.
const MAX_PENDING_PER_UPSTREAM: usize = 6;
/// Maximum number of active releases for all upstreams of a service. Each waits 0.35 s for a
/// connection, so this allows 140 a second; the upstream whose last release is oldest goes
/// first.
const MAX_ACTIVE_TOTAL: usize = 48;
/// Interval between checks of whether a release to an upstream is due; each check scans the
/// slices.
const CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// Part of the time since keys were lost that passes between releases to an unregistered upstream
/// that reach nobody.
const NOBODY_THERE_PART: u32 = 4;
/// How long an unregistered upstream is sent releases. Data written before it vanished
/// arrives by the retransmission after 51 s at the latest; senders reset their connections
/// long before that.
pub(crate) const FORGET_AFTER: Duration = Duration::from_secs(60);

/// An upstream that may still accept old grants of keys that it lost.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct UnfencedUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The keys.
    pub ranges: Vec<KeyRange>,
}

/// Change in the fencing of an upstream that lost keys without a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceNotice {
    /// It lost keys and has not replied.
    Unfenced(UpstreamId),
    /// It replied, this long after it lost the first of them.
    Fenced(UpstreamId, Duration),
    /// It has been unregistered for so long that it is assumed to have terminated.
    Forgotten(UpstreamId),
}

/// Time until an unregistered upstream is sent another release after one that reached nobody,
/// since its machine refused the connection or its address is not known; `lost_for` is the time
/// since it lost the keys.
///
/// A machine that refuses connections also resets those that earlier orders were written to,
/// and a registration makes the next release due at once, so none of these delays lets an
/// earlier order in. Failure that this prevents: after a power loss of all nodes with a third of the
/// upstreams, a granter gave more than half of its orders to upstreams that were gone, and
/// wrote its record half as often.
pub(crate) fn delay_while_nobody_there(lost_for: Duration) -> Duration {
    RELEASE_INTERVAL.max(lost_for / NOBODY_THERE_PART)
}

/// A release that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DueRelease {
    pub upstream: UpstreamId,
    pub range: KeyRange,
    pub token: FencingToken,
}

/// A pending release.
#[derive(Clone, Copy, Debug)]
struct SentRelease {
    range: KeyRange,
    token: FencingToken,
    at: Time,
}

#[derive(Clone, Debug)]
struct LostHolder {
    /// Keys whose release it has not confirmed.
    ranges: Vec<KeyRange>,
    /// Token of its releases, higher than all tokens under which it was granted keys.
    token: FencingToken,
    since: Time,
    /// Since when it has not been registered.
    missing_since: Option<Time>,
    /// When a release of each range was last sent.
    released_at: BTreeMap<KeyRange, Time>,
    pending: BTreeMap<CallId, SentRelease>,
    /// When it is checked next.
    check_at: Time,
}

impl LostHolder {
    fn active_releases(&self, now: Time) -> usize {
        let pending = self.pending.values();
        let active = pending.filter(|sent| now.since(sent.at) < ACTIVE_PERIOD);
        active.count()
    }

    /// Number of releases that may be sent to it now.
    fn room(&self, now: Time) -> usize {
        let active_room = MAX_ACTIVE_PER_UPSTREAM.saturating_sub(self.active_releases(now));
        active_room.min(MAX_PENDING_PER_UPSTREAM.saturating_sub(self.pending.len()))
    }

    fn last_release(&self, range: &KeyRange) -> Option<Time> {
        self.released_at.get(range).copied()
    }

    /// Whether it has confirmed the release of all keys, and no active release could still
    /// revoke keys that it is granted next.
    fn has_answered(&self, now: Time) -> bool {
        self.ranges.is_empty() && self.active_releases(now) == 0
    }
}

/// Upstreams that lost keys without a reply.
#[derive(Clone, Debug, Default)]
pub(crate) struct LostHolders {
    holders: BTreeMap<UpstreamId, LostHolder>,
    notices: Vec<FenceNotice>,
}

impl LostHolders {
    /// Records that an upstream lost keys without a reply. `token` is higher than all tokens
    /// under which it was granted keys.
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
        // Pending releases may have been sent before these keys were lost.
        holder.token = token;
        holder.released_at.clear();
        holder.check_at = now;
    }

    /// Whether the upstream still has to confirm a release.
    pub fn is_unfenced(&self, upstream: &UpstreamId) -> bool {
        self.holders.contains_key(upstream)
    }

    /// Records that an upstream has terminated and accepts no more orders.
    pub fn mark_terminated(&mut self, upstream: &UpstreamId) {
        self.holders.remove(upstream);
    }

    /// Removes upstreams that have terminated.
    pub fn remove_terminated(&mut self, has_terminated: impl Fn(&UpstreamId) -> bool) {
        self.holders.retain(|upstream, _| !has_terminated(upstream));
    }

    /// All upstreams that still have to confirm a release.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.holders.keys()
    }

    /// Updates which upstreams are registered.
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

    /// Removes upstreams that have confirmed all releases, and those that have been
    /// unregistered for too long. Returns the former, which may get keys again.
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

    /// The releases that are due: registered upstreams first, among these the one whose last
    /// release is oldest. `holds_others` tells whether an upstream keeps other keys; one that
    /// has none is sent a single release of the whole key space.
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

    /// Records that a release is sent.
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

    /// The upstream that a release was sent to.
    pub fn recipient(&self, call: CallId) -> Option<UpstreamId> {
        let mut holders = self.holders.iter();
        let recipient = holders.find(|(_, holder)| holder.pending.contains_key(&call));
        recipient.map(|(upstream, _)| upstream.clone())
    }

    /// Applies the reply to a release.
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
        let is_gone = reply.is_nobody_there() && holder.missing_since.is_some();
        holder.check_at = match is_gone {
            true => now + delay_while_nobody_there(now.since(holder.since)),
            false => now,
        };
        if matches!(reply, GrantReply::Released(_)) && sent.token == holder.token {
            holder.ranges.retain(|range| !sent.range.covers(*range));
        }
    }

    /// The upstreams that the next record names.
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

    /// Number of unfenced upstreams.
    pub fn count(&self) -> usize {
        self.holders.len()
    }

    /// Takes the notices since the last call.
    pub fn take_notices(&mut self) -> Vec<FenceNotice> {
        std::mem::take(&mut self.notices)
    }
}
