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
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Between two releases to an upstream that has not answered one. The sooner it is told
/// after a cut, the fewer old orders come before: they come at steps of retransmission,
/// which double from 0.2 s.
const PAUSE: Duration = Duration::from_millis(200);
/// Most releases to one upstream that are under way. The second one goes out before the
/// first is given up on, which takes as long as a connection may take to come up. More of
/// them hold up a granter that is late with everything: with one every 0.2 s however many
/// were under way, it served 60 in 100 requests of the simulator, and 78 with two.
const MOST_UNDER_WAY: usize = 2;
/// An upstream that is not registered has most likely ended: it is told after an eighth of
/// the time for which it has been missing, so that a hundred that
/// are lost together cost a granter 50 releases a second after a quarter of a minute.
const MISSING_PART: u32 = 8;
/// Longest time between two releases to one of those. When it registers again it is told
/// at once.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Most releases of that kind under way. Each waits 0.35 s for a connection: 140 a second.
const MOST_UNDER_WAY_IN_ALL: usize = 48;
/// Between two looks at whether a release to an upstream is due, which go through the
/// slices.
const LOOK: Duration = Duration::from_millis(30);
/// How long an upstream that is not registered any more is told. What was written before
/// it vanished comes by the retransmission after 51 s at the latest; senders reset their
/// connections long before that.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

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
}

#[derive(Clone, Debug)]
struct Fence {
    ranges: Vec<KeyRange>,
    since: Time,
    /// Since when it is not registered.
    missing_since: Option<Time>,
    /// When a release of these keys was last sent.
    sent: BTreeMap<KeyRange, Time>,
    /// Releases under way.
    calls: BTreeMap<CallId, KeyRange>,
    /// When it is looked at next.
    look_at: Time,
}

impl Fence {
    /// Least time between two releases of the same keys.
    fn pause(&self, now: Time) -> Duration {
        let missing = self.missing_since.map(|since| now.since(since));
        let part = missing.unwrap_or_default() / MISSING_PART;
        part.clamp(PAUSE, LONGEST_PAUSE)
    }
}

/// Upstreams that lost keys without an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fences {
    fences: BTreeMap<UpstreamId, Fence>,
    notices: Vec<FenceNotice>,
}

impl Fences {
    /// Notes that an upstream lost keys without an answer.
    pub fn add(&mut self, now: Time, upstream: &UpstreamId, range: KeyRange) {
        if !self.fences.contains_key(upstream) {
            self.notices.push(FenceNotice::Unfenced(upstream.clone()));
        }
        let fence = self.fences.entry(upstream.clone()).or_insert(Fence {
            ranges: Vec::new(),
            since: now,
            missing_since: None,
            sent: BTreeMap::new(),
            calls: BTreeMap::new(),
            look_at: now,
        });
        if !fence.ranges.contains(&range) {
            fence.ranges.push(range);
        }
        // Releases that are under way may have been sent before these keys were lost.
        fence.sent.clear();
        fence.calls.clear();
        fence.look_at = now;
    }

    /// Whether the upstream still owes an answer.
    pub fn is_unfenced(&self, upstream: &UpstreamId) -> bool {
        self.fences.contains_key(upstream)
    }

    /// Notes that an upstream has ended: it takes nothing any more.
    pub fn ended(&mut self, upstream: &UpstreamId) {
        self.fences.remove(upstream);
    }

    /// Notes that upstreams have ended.
    pub fn end(&mut self, has_ended: impl Fn(&UpstreamId) -> bool) {
        self.fences.retain(|upstream, _| !has_ended(upstream));
    }

    /// All that still owe an answer.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.fences.keys()
    }

    /// States whether upstreams are registered.
    pub fn set_registered(&mut self, now: Time, is_registered: impl Fn(&UpstreamId) -> bool) {
        for (upstream, fence) in &mut self.fences {
            if !is_registered(upstream) {
                fence.missing_since.get_or_insert(now);
            } else if fence.missing_since.take().is_some() {
                fence.sent.clear();
                fence.look_at = now;
            }
        }
    }

    /// Forgets those that have not been registered for long.
    pub fn forget(&mut self, now: Time) {
        let notices = &mut self.notices;
        self.fences.retain(|upstream, fence| {
            let since = fence.missing_since;
            let is_over = since.is_some_and(|since| now.since(since) >= FORGOTTEN_AFTER);
            if is_over {
                notices.push(FenceNotice::Forgotten(upstream.clone()));
            }
            !is_over
        });
    }

    /// Releases that are due. `holds_others` tells whether an upstream is to keep other
    /// keys; one that has none is released of all at once.
    pub fn due(
        &mut self,
        now: Time,
        holds_others: impl Fn(&UpstreamId) -> bool,
    ) -> Vec<DueRelease> {
        let under_way: usize = self.fences.values().map(|fence| fence.calls.len()).sum();
        let mut room_in_all = MOST_UNDER_WAY_IN_ALL.saturating_sub(under_way);
        let mut due = Vec::new();
        for (upstream, fence) in &mut self.fences {
            let room = MOST_UNDER_WAY.saturating_sub(fence.calls.len());
            let room = room.min(room_in_all);
            if now < fence.look_at || room == 0 {
                continue;
            }
            fence.look_at = now + LOOK;
            let ranges = match holds_others(upstream) {
                true => fence.ranges.clone(),
                false => vec![KeyRange::ALL],
            };
            let pause = fence.pause(now);
            let is_due = |range: &KeyRange| {
                let sent = fence.sent.get(range);
                sent.is_none_or(|sent| now.since(*sent) >= pause)
            };
            let before = due.len();
            let releases = ranges.into_iter().filter(is_due).take(room);
            due.extend(releases.map(|range| DueRelease {
                upstream: upstream.clone(),
                range,
            }));
            room_in_all -= due.len() - before;
        }
        due
    }

    /// Notes that a release is sent.
    pub fn sent(&mut self, now: Time, call: CallId, release: &DueRelease) {
        if let Some(fence) = self.fences.get_mut(&release.upstream) {
            fence.sent.insert(release.range, now);
            fence.calls.insert(call, release.range);
        }
    }

    /// Whom a release went to.
    pub fn asked(&self, call: CallId) -> Option<UpstreamId> {
        let mut fences = self.fences.iter();
        let asked = fences.find(|(_, fence)| fence.calls.contains_key(&call));
        asked.map(|(upstream, _)| upstream.clone())
    }

    /// Takes the answer to a release; whether the upstream has answered for all keys now.
    pub fn handle(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        call: CallId,
        reply: &GrantReply,
    ) -> bool {
        let Some(fence) = self.fences.get_mut(upstream) else {
            return false;
        };
        let Some(released) = fence.calls.remove(&call) else {
            return false;
        };
        if !matches!(reply, GrantReply::Released(_)) {
            return false;
        }
        fence.look_at = now;
        fence.ranges.retain(|range| !released.covers(*range));
        if !fence.ranges.is_empty() {
            return false;
        }
        let took = now.since(fence.since);
        self.fences.remove(upstream);
        self.notices
            .push(FenceNotice::Fenced(upstream.clone(), took));
        true
    }

    /// Those that the next record names.
    pub fn record(&self) -> Vec<UnfencedUpstream> {
        let fences = self.fences.iter();
        fences
            .map(|(upstream, fence)| UnfencedUpstream {
                upstream: upstream.clone(),
                ranges: fence.ranges.clone(),
            })
            .collect()
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.fences.len()
    }

    /// What became known since the last call.
    pub fn take_notices(&mut self) -> Vec<FenceNotice> {
        std::mem::take(&mut self.notices)
    }
}
