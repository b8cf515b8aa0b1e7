//! Grants the slices of one service and takes them back.
//!
//! Invariants:
//! - A grant is sent only after a record that names its holder is durable, so
//!   a successor knows every upstream that may hold keys.
//! - A slice goes to another holder only after the last one released it under
//!   a token above all its grants, is known to have ended, or cannot hold an
//!   unexpired grant. A grant without an answer counts as taken when it was
//!   given up on.
//! - Whoever calls [`Granter::poll`] must have the authority to grant at that
//!   instant; the granter itself knows nothing of leases.

use crate::balance::{BalanceLimits, Holding, MoveStep, Seat, plan_moves};
use crate::load::LoadMap;
use crate::order::{CallId, GrantOrder, GrantReply, Handover, OrderKind};
use crate::range::{KeyRange, ShardKey};
use crate::record::{AssignmentRecord, FencingToken, SliceState};
use crate::slice::{Phase, Slice};
use beamtray_catalog::UpstreamId;
use beamtray_metastore::Epoch;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest wait for upstreams to appear, as a multiple of the quiet asked for.
const LONGEST_SETTLE: u32 = 4;
/// Slices made for each upstream at the first start.
const SLICES_PER_UPSTREAM: u32 = 8;
/// Weight of a share of the keys next to counted requests, so that idle slices
/// are spread too.
const IDLE_WEIGHT: f64 = 4.0;
/// How long an upstream that lost keys for its silence gets none.
const AVOID: Duration = Duration::from_secs(4);
/// Between two questions to a holder whose address is contested.
const PROBE: Duration = Duration::from_millis(400);
/// Pause after an order that was refused or not answered.
const RETRY: Duration = Duration::from_millis(200);

/// Timing of grants.
#[derive(Clone, Copy, Debug)]
pub struct GranterTiming {
    /// How long a grant holds.
    pub hold: Duration,
    /// Between renewals.
    pub renewal: Duration,
    /// The longest that a holder may count `hold`, by its own clock.
    pub hold_bound: Duration,
    /// Added to that for orders that may still be on their way.
    pub transit: Duration,
    /// How long a holder may leave grants unanswered before its slices are
    /// taken back.
    pub silence: Duration,
    /// How long no upstream must have appeared before keys are divided for the
    /// first time.
    pub settle: Duration,
    /// How long nodes may take to hear that a slice is leaving; the release
    /// waits for that.
    pub notice: Duration,
    /// Protections in force.
    pub guards: GranterGuards,
}

/// What the directory says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes new keys.
    Ready,
    /// It is to lose its keys.
    Draining,
}

/// An upstream that may hold keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub id: UpstreamId,
    /// What the directory says of it.
    pub standing: Standing,
    /// Requests a second that it can work on.
    pub capacity: f64,
}

/// Protections that a test can switch off one by one to see what each is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GranterGuards {
    /// A grant waits until a record names its holder.
    pub records_first: bool,
    /// A holder that does not answer keeps its slices until its grants ran out.
    pub waits_for_lapse: bool,
    /// A new granter counts the grants of the one before as in force.
    pub respects_predecessor: bool,
    /// A grant without an answer counts as taken.
    pub counts_unanswered: bool,
}

impl Default for GranterGuards {
    fn default() -> Self {
        Self {
            records_first: true,
            waits_for_lapse: true,
            respects_predecessor: true,
            counts_unanswered: true,
        }
    }
}

#[derive(Clone, Debug)]
struct Call {
    first: ShardKey,
    holder: UpstreamId,
    is_grant: bool,
}

/// Grants the slices of one service.
#[derive(Clone, Debug)]
pub struct Granter {
    timing: GranterTiming,
    epoch: Epoch,
    counter: u64,
    slices: BTreeMap<ShardKey, Slice>,
    candidates: BTreeMap<UpstreamId, Candidate>,
    dead: Vec<UpstreamId>,
    /// When holders whose address is contested were last asked.
    probed: BTreeMap<UpstreamId, Time>,
    /// Upstreams that lost keys for their silence, until when they get none.
    avoided: BTreeMap<UpstreamId, Time>,
    calls: BTreeMap<CallId, Call>,
    next_call: u64,
    /// Sequence of the next record.
    next_sequence: u64,
    /// Sequence of the newest record that is durable.
    durable: u64,
    dirty: bool,
    /// When an upstream was first seen, and when the last one appeared.
    first_seen: Option<Time>,
    last_seen: Time,
    /// Load by key.
    pub load: LoadMap,
}

impl Granter {
    /// Takes over at `now` what the record says.
    pub fn new(
        now: Time,
        timing: GranterTiming,
        epoch: Epoch,
        record: Option<&AssignmentRecord>,
    ) -> Self {
        let mut granter = Self {
            timing,
            epoch,
            counter: 0,
            slices: BTreeMap::new(),
            candidates: BTreeMap::new(),
            dead: Vec::new(),
            probed: BTreeMap::new(),
            avoided: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            next_sequence: 1,
            durable: 0,
            dirty: false,
            first_seen: None,
            last_seen: now,
            load: LoadMap::default(),
        };
        if let Some(record) = record {
            granter.adopt(now, record);
        }
        granter
    }

    /// Continues the assignments of the granter before. Its grants may be in
    /// force until one hold after its authority ended, which was before `now`.
    fn adopt(&mut self, now: Time, record: &AssignmentRecord) {
        let lapses = if self.timing.guards.respects_predecessor {
            now + self.timing.hold_bound + self.timing.transit
        } else {
            now
        };
        for slice in &record.slices {
            let release = self.next_token();
            let (phase, lapses) = match &slice.state {
                SliceState::Free => (Phase::Free { handover: None }, now),
                SliceState::Held { holder, token } => (
                    Phase::Held {
                        holder: holder.clone(),
                        token: *token,
                        handover: None,
                    },
                    lapses,
                ),
                SliceState::Leaving { holder, token } => (
                    Phase::Leaving {
                        holder: holder.clone(),
                        token: *token,
                        release,
                        next: None,
                    },
                    lapses,
                ),
            };
            let slice = new_slice(now, slice.range, phase, lapses);
            self.slices.insert(slice.range.first, slice);
        }
    }

    fn next_token(&mut self) -> FencingToken {
        self.counter += 1;
        FencingToken::new(self.epoch, self.counter)
    }

    /// States which upstreams there are.
    pub fn set_candidates(&mut self, now: Time, candidates: impl IntoIterator<Item = Candidate>) {
        let next: BTreeMap<UpstreamId, Candidate> = candidates
            .into_iter()
            .map(|candidate| (candidate.id.clone(), candidate))
            .collect();
        if next.keys().any(|id| !self.candidates.contains_key(id)) {
            self.first_seen.get_or_insert(now);
            self.last_seen = now;
        }
        self.candidates = next;
    }

    /// Notes that an upstream has ended, so that it holds nothing.
    pub fn proved_dead(&mut self, id: &UpstreamId) {
        if !self.dead.contains(id) {
            self.dead.push(id.clone());
        }
    }

    /// Lets one grant of a holder be due soon, to see whether it still has its
    /// address.
    pub fn probe(&mut self, now: Time, id: &UpstreamId) {
        let due = self.probed.get(id).is_none_or(|at| now.since(*at) >= PROBE);
        if !due {
            return;
        }
        let held = self.slices.values_mut().find(|slice| {
            slice.holder() == Some(id) && slice.call.is_none() && slice.told_in <= self.durable
        });
        if let Some(slice) = held {
            slice.due = slice.due.min(now);
            self.probed.insert(id.clone(), now);
        }
    }

    /// Orders that are due. To be called only with authority to grant.
    pub fn poll(&mut self, now: Time) -> Vec<GrantOrder> {
        self.found(now);
        self.take_from_leavers(now);
        self.free_lapsed(now);
        self.assign_free(now);
        let firsts: Vec<ShardKey> = self.slices.keys().copied().collect();
        firsts
            .into_iter()
            .filter_map(|first| self.order(now, first))
            .collect()
    }

    /// Divides the keys at the very first start.
    fn found(&mut self, now: Time) {
        let ready = self.ready().count() as u32;
        if !self.slices.is_empty() || ready == 0 || !self.has_settled(now) {
            return;
        }
        for range in KeyRange::divide_all(ready * SLICES_PER_UPSTREAM) {
            let phase = Phase::Free { handover: None };
            self.slices
                .insert(range.first, new_slice(now, range, phase, now));
        }
    }

    /// Whether upstreams had time to appear: the first one is not to get all
    /// keys.
    fn has_settled(&self, now: Time) -> bool {
        let Some(first) = self.first_seen else {
            return false;
        };
        now.since(self.last_seen) >= self.timing.settle
            || now.since(first) >= self.timing.settle * LONGEST_SETTLE
    }

    fn ready(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates
            .values()
            .filter(|one| one.standing == Standing::Ready && !self.dead.contains(&one.id))
    }

    /// Upstreams that may get keys: those that are ready and answer, or all
    /// that are ready when none answers.
    fn takers(&self, now: Time) -> Vec<&Candidate> {
        let answers = |one: &&Candidate| {
            let until = self.avoided.get(&one.id);
            until.is_none_or(|until| now >= *until)
        };
        let answering: Vec<&Candidate> = self.ready().filter(answers).collect();
        if answering.is_empty() {
            self.ready().collect()
        } else {
            answering
        }
    }

    /// Starts to take slices back from holders that are to lose them.
    fn take_from_leavers(&mut self, now: Time) {
        let silence = self.timing.silence;
        let leaving: Vec<ShardKey> = self
            .slices
            .values()
            .filter(|slice| {
                let Some(holder) = slice.holder() else {
                    return false;
                };
                let ready = self
                    .candidates
                    .get(holder)
                    .is_some_and(|candidate| candidate.standing == Standing::Ready);
                let silent = slice
                    .silent_since
                    .is_some_and(|since| now.since(since) >= silence);
                !ready || silent || self.dead.contains(holder)
            })
            .map(|slice| slice.range.first)
            .collect();
        for first in leaving {
            self.avoid_silent(now, first);
            self.take_back(now, first, None);
        }
    }

    /// A holder that loses keys for its silence gets no others for a while.
    fn avoid_silent(&mut self, now: Time, first: ShardKey) {
        let slice = self.slices.get(&first);
        let silent = slice.filter(|slice| slice.silent_since.is_some());
        if let Some(holder) = silent.and_then(Slice::holder) {
            self.avoided.insert(holder.clone(), now + AVOID);
        }
    }

    fn take_back(&mut self, now: Time, first: ShardKey, next: Option<UpstreamId>) {
        let release = self.next_token();
        let told_in = self.next_sequence;
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        let Phase::Held { holder, token, .. } = &slice.phase else {
            return;
        };
        slice.phase = Phase::Leaving {
            holder: holder.clone(),
            token: *token,
            release,
            next,
        };
        slice.told_in = told_in;
        slice.due = now;
        slice.settled_at = now;
        self.dirty = true;
    }

    /// Frees slices that nobody can hold any more.
    fn free_lapsed(&mut self, now: Time) {
        let durable = self.durable;
        let waits = self.timing.guards.waits_for_lapse;
        for slice in self.slices.values_mut() {
            let Phase::Leaving { holder, .. } = &slice.phase else {
                continue;
            };
            let grant_under_way = slice
                .call
                .and_then(|call| self.calls.get(&call))
                .is_some_and(|call| call.is_grant);
            let lapsed = now >= slice.lapses || !waits;
            let lapsed = lapsed && !grant_under_way && slice.told_in <= durable;
            if lapsed || self.dead.contains(holder) {
                slice.phase = Phase::Free { handover: None };
                slice.call = None;
                slice.lapses = now;
            }
        }
    }

    /// Chooses holders for free slices, the least loaded upstream first.
    fn assign_free(&mut self, now: Time) {
        let free: Vec<ShardKey> = self
            .slices
            .values()
            .filter(|slice| matches!(slice.phase, Phase::Free { .. }))
            .map(|slice| slice.range.first)
            .collect();
        if free.is_empty() {
            return;
        }
        let mut loads = self.loads();
        for first in free {
            let weight = self.weight(self.slices[&first].range);
            let Some(id) = least_loaded(&loads, self.takers(now).into_iter()) else {
                return;
            };
            *loads.entry(id.clone()).or_default() += weight;
            self.give(now, first, id);
        }
    }

    fn give(&mut self, now: Time, first: ShardKey, holder: UpstreamId) {
        let token = self.next_token();
        let told_in = self.next_sequence;
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        let Phase::Free { handover } = &slice.phase else {
            return;
        };
        slice.phase = Phase::Held {
            holder,
            token,
            handover: handover.clone(),
        };
        slice.told_in = told_in;
        slice.due = now;
        slice.silent_since = None;
        slice.settled_at = now;
        self.dirty = true;
    }

    fn weight(&self, range: KeyRange) -> f64 {
        let share = f64::from(range.len()) / f64::from(KeyRange::ALL.len());
        self.load.of(range) + IDLE_WEIGHT * share
    }

    /// Weight of what each upstream holds.
    fn loads(&self) -> BTreeMap<UpstreamId, f64> {
        let mut loads = BTreeMap::new();
        for slice in self.slices.values() {
            if let Some(holder) = slice.holder() {
                *loads.entry(holder.clone()).or_default() += self.weight(slice.range);
            }
        }
        loads
    }

    /// The order that is due for a slice.
    fn order(&mut self, now: Time, first: ShardKey) -> Option<GrantOrder> {
        let slice = self.slices.get_mut(&first)?;
        let told = slice.told_in <= self.durable || !self.timing.guards.records_first;
        if slice.call.is_some() || now < slice.due || !told {
            return None;
        }
        let (holder, token, kind) = match &slice.phase {
            Phase::Free { .. } => return None,
            Phase::Held {
                holder,
                token,
                handover,
            } => {
                let kind = OrderKind::Grant {
                    hold: self.timing.hold,
                    handover: handover.clone(),
                };
                (holder.clone(), *token, kind)
            }
            Phase::Leaving {
                holder, release, ..
            } => (holder.clone(), *release, OrderKind::Release),
        };
        let call = CallId(self.next_call);
        self.next_call += 1;
        slice.call = Some(call);
        let is_grant = matches!(kind, OrderKind::Grant { .. });
        let sent = Call {
            first,
            holder: holder.clone(),
            is_grant,
        };
        self.calls.insert(call, sent);
        Some(GrantOrder {
            call,
            holder,
            range: slice.range,
            token,
            kind,
        })
    }

    /// Takes the answer to an order.
    ///
    /// Invariant: an answer concerns the holder that the order went to. The
    /// slice may be another's by then, when the first one was found dead while
    /// the order was on its way.
    pub fn handle(&mut self, now: Time, call: CallId, reply: GrantReply) {
        let Some(sent) = self.calls.remove(&call) else {
            return;
        };
        if reply == GrantReply::Replaced {
            self.proved_dead(&sent.holder);
        }
        let Call {
            first,
            holder,
            is_grant,
        } = sent;
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        if slice.call != Some(call) || slice.current() != Some(&holder) {
            return;
        }
        slice.call = None;
        if is_grant {
            self.granted(now, first, &reply);
        } else {
            self.released(now, first, reply);
        }
    }

    fn granted(&mut self, now: Time, first: ShardKey, reply: &GrantReply) {
        let timing = self.timing;
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        match reply {
            GrantReply::Granted => {
                slice.lapses = slice.lapses.max(now + timing.hold_bound);
                slice.due = now + timing.renewal;
                slice.silent_since = None;
                if let Phase::Held { handover, .. } = &mut slice.phase {
                    *handover = None;
                }
            }
            GrantReply::Unanswered => {
                if timing.guards.counts_unanswered {
                    let lapses = now + timing.hold_bound + timing.transit;
                    slice.lapses = slice.lapses.max(lapses);
                }
                slice.due = now + RETRY;
                slice.silent_since.get_or_insert(now);
            }
            GrantReply::Outdated => self.raise_token(now, first),
            GrantReply::Rejected | GrantReply::Replaced | GrantReply::Released(_) => {
                slice.due = now + RETRY;
                slice.silent_since.get_or_insert(now);
            }
        }
        if let Some(slice) = self.slices.get_mut(&first)
            && matches!(slice.phase, Phase::Leaving { .. })
        {
            // A grant that was under way when the slice began to leave.
            slice.due = now;
        }
    }

    /// The holder has seen a higher token: the same holder gets a new one.
    fn raise_token(&mut self, now: Time, first: ShardKey) {
        let fresh = self.next_token();
        let told_in = self.next_sequence;
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        if let Phase::Held { token, .. } = &mut slice.phase {
            *token = fresh;
            slice.told_in = told_in;
            slice.due = now;
            self.dirty = true;
        }
    }

    fn released(&mut self, now: Time, first: ShardKey, reply: GrantReply) {
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        let Phase::Leaving { holder, next, .. } = &slice.phase else {
            return;
        };
        let (holder, next) = (holder.clone(), next.clone());
        match reply {
            GrantReply::Released(handover) => self.freed(now, first, handover, next),
            GrantReply::Replaced => self.freed(now, first, None, next),
            GrantReply::Outdated => {
                let fresh = self.next_token();
                if let Some(slice) = self.slices.get_mut(&first)
                    && let Phase::Leaving { release, .. } = &mut slice.phase
                {
                    *release = fresh;
                    slice.due = now;
                }
            }
            GrantReply::Granted | GrantReply::Rejected | GrantReply::Unanswered => {
                slice.due = now + RETRY;
                // It is as silent as when it lost the keys.
                if let Some(until) = self.avoided.get_mut(&holder) {
                    *until = now + AVOID;
                }
            }
        }
    }

    fn freed(
        &mut self,
        now: Time,
        first: ShardKey,
        handover: Option<Handover>,
        next: Option<UpstreamId>,
    ) {
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        slice.phase = Phase::Free { handover };
        slice.lapses = now;
        let ready = |id: &UpstreamId| {
            self.candidates
                .get(id)
                .is_some_and(|candidate| candidate.standing == Standing::Ready)
        };
        if let Some(next) = next.filter(ready) {
            self.give(now, first, next);
        }
    }

    /// Moves slices from busy to idle upstreams, splitting them where needed;
    /// how many were moved.
    pub fn rebalance(&mut self, now: Time, limits: &BalanceLimits) -> usize {
        let leaving = self
            .slices
            .values()
            .filter(|slice| slice.holder().is_none());
        let room = limits.moves.saturating_sub(leaving.count());
        if room == 0 {
            return 0;
        }
        let seats: Vec<Seat> = self
            .takers(now)
            .into_iter()
            .map(|candidate| Seat {
                id: candidate.id.clone(),
                capacity: candidate.capacity,
            })
            .collect();
        let holdings: Vec<Holding> = self
            .slices
            .values()
            .filter_map(|slice| {
                Some(Holding {
                    range: slice.range,
                    holder: slice.holder()?.clone(),
                    movable: self.is_movable(now, slice, limits),
                })
            })
            .collect();
        let limits = BalanceLimits {
            moves: room,
            ..*limits
        };
        let steps = plan_moves(&seats, &holdings, &self.load, &limits);
        let moved = steps.len();
        for step in steps {
            self.start_move(now, step);
        }
        moved
    }

    fn is_movable(&self, now: Time, slice: &Slice, limits: &BalanceLimits) -> bool {
        slice.call.is_none()
            && slice.told_in <= self.durable
            && slice.silent_since.is_none()
            && now.since(slice.settled_at) >= limits.rest
    }

    fn start_move(&mut self, now: Time, step: MoveStep) {
        let Some(first) = self.carve(step.range) else {
            return;
        };
        self.take_back(now, first, Some(step.to));
    }

    /// Splits slices so that `range` is one by itself; its first key.
    fn carve(&mut self, range: KeyRange) -> Option<ShardKey> {
        self.split(range.first);
        if range.last < KeyRange::ALL.last {
            self.split(ShardKey(range.last.0 + 1));
        }
        let slice = self.slices.get(&range.first)?;
        (slice.range == range).then_some(range.first)
    }

    fn split(&mut self, at: ShardKey) {
        let Some((_, slice)) = self.slices.range_mut(..=at).next_back() else {
            return;
        };
        if slice.call.is_some() {
            return;
        }
        let Some((below, above)) = slice.range.split_at(at) else {
            return;
        };
        let mut upper = slice.clone();
        slice.range = below;
        upper.range = above;
        self.slices.insert(above.first, upper);
    }

    /// The record to write, when it has changed since the last one.
    pub fn record(&mut self) -> Option<AssignmentRecord> {
        if !self.dirty {
            return None;
        }
        self.dirty = false;
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        Some(AssignmentRecord {
            epoch: self.epoch,
            sequence,
            slices: self.slices.values().map(Slice::record).collect(),
        })
    }

    /// Notes that the record of that sequence is durable.
    pub fn written(&mut self, now: Time, sequence: u64) {
        let notice = self.timing.notice;
        for slice in self.slices.values_mut() {
            let told = slice.told_in > self.durable && slice.told_in <= sequence;
            if told && matches!(slice.phase, Phase::Leaving { .. }) {
                slice.due = slice.due.max(now + notice);
            }
        }
        self.durable = self.durable.max(sequence);
    }

    /// Notes that a record was not written, so that the next one is due.
    pub fn not_written(&mut self) {
        self.dirty = true;
    }

    /// How many slices there are.
    pub fn slice_count(&self) -> usize {
        self.slices.len()
    }

    /// How many slices are held under a grant at `now`.
    pub fn held_count(&self, now: Time) -> usize {
        let held = self.slices.values();
        held.filter(|slice| slice.holder().is_some() && now < slice.lapses)
            .count()
    }
}

fn new_slice(now: Time, range: KeyRange, phase: Phase, lapses: Time) -> Slice {
    Slice {
        range,
        phase,
        told_in: 0,
        lapses,
        call: None,
        due: now,
        silent_since: None,
        settled_at: now,
    }
}

fn least_loaded<'a>(
    loads: &BTreeMap<UpstreamId, f64>,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Option<UpstreamId> {
    let relative = |candidate: &Candidate| {
        let load = loads.get(&candidate.id).copied().unwrap_or_default();
        load / candidate.capacity.max(f64::MIN_POSITIVE)
    };
    candidates
        .min_by(|one, other| relative(one).total_cmp(&relative(other)))
        .map(|candidate| candidate.id.clone())
}
