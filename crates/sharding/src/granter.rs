//! Grants the slices of one service to upstreams and revokes them.
//!
//! Invariants:
//! - A grant is sent only after a record that names its holder is durable, so that a
//!   successor knows every upstream that may hold keys.
//! - A slice goes to another holder only after the previous one has released it under a token
//!   above all its grants, is known to have terminated, or cannot hold an unexpired grant. An
//!   unanswered grant counts as accepted at the time it was given up on, which is correct
//!   only if nothing of it arrives later.
//! - A grant that its upstream may execute later counts as accepted at the end of the
//!   lifetime of orders ([`doubt`]).
//! - The same holds for grants that were in flight when all processes ended
//!   ([`lost_predecessor`]).
//! - For that reason an upstream that lost keys without a reply is sent releases until it
//!   replies, and gets no keys before that ([`crate::FenceNotice`]).
//! - A term that may not know all earlier grants assigns keys only when all registered
//!   upstreams refuse them ([`term_fence`]), and renews the holders of its record no sooner
//!   ([`recorded_holders`]).
//! - Callers of [`Granter::poll`] must have the authority to grant at that instant; the
//!   granter itself knows nothing of leases.

mod contact;
mod doubt;
mod holders;
mod least_loaded;
mod lost_holders;
mod lost_predecessor;
mod moves;
mod orders;
mod recorded_holders;
mod replies;
mod restarts;
mod standbys;
mod term_fence;
mod tokens;
mod withheld;

use crate::load::LoadMap;
use crate::lost_holders::LostHolders;
use crate::order::CallId;
use crate::range::{KeyRange, ShardKey};
use crate::record::{AssignmentRecord, FencingToken, SliceState};
use crate::slice::{BlockUse, OwnedAgain, Phase, Slice};
use crate::standby::{StandbyBounds, Standbys};
use beamtray_catalog::UpstreamId;
use beamtray_metastore::Epoch;
use beamtray_types::Time;
pub use contact::{Contact, UnansweredGrants};
pub use doubt::DoubtNotice;
use orders::OrderWindow;
pub use recorded_holders::RenewalNotice;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use term_fence::TermFence;
use withheld::WithheldKeys;

/// How long an upstream that lost keys because it was unresponsive gets no new ones.
const EXCLUSION_PERIOD: Duration = Duration::from_secs(4);
/// Interval between probes of a holder whose address is claimed by another upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Timing of grants.
#[derive(Clone, Copy, Debug)]
pub struct GranterTiming {
    /// Duration of a grant. Keys of a holder that becomes unresponsive have no owner for
    /// about this long.
    pub hold: Duration,
    /// Interval between renewals.
    pub renewal: Duration,
    /// Minimum average time between two orders of a granter. With many slices, renewals are
    /// less frequent and grants correspondingly longer.
    pub min_order_interval: Duration,
    /// Upper bound on the renewal interval that results from this.
    pub max_renewal: Duration,
    /// How much longer a holder's clock may count a grant, in percent.
    pub drift_percent: u32,
    /// How long an order may still be in transit after it was given up on.
    pub transit: Duration,
    /// How long a reply to an order is waited for.
    pub order_timeout: Duration,
    /// How long an upstream that received an order without replying may take to execute it.
    pub order_lifetime: Duration,
    /// How long a holder may leave grants unanswered before its slices are revoked.
    pub silence_timeout: Duration,
    /// How long no new upstream must have appeared before the keys are first divided.
    pub quiet_period: Duration,
    /// How long nodes may take to learn that a slice is leaving; its release is delayed by
    /// that.
    pub release_delay: Duration,
    /// Enabled protections.
    pub guards: GranterGuards,
}

/// Renewal interval and duration of grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantPace {
    /// Duration of a grant.
    pub hold: Duration,
    /// Interval between renewals.
    pub renewal: Duration,
}

impl GranterTiming {
    /// The pace for that number of slices.
    pub fn pace(&self, slices: usize) -> GrantPace {
        let slices = u32::try_from(slices).unwrap_or(u32::MAX);
        let needed = self.min_order_interval.saturating_mul(slices);
        let renewal = needed.clamp(self.renewal, self.max_renewal);
        GrantPace {
            hold: self.hold + (renewal - self.renewal),
            renewal,
        }
    }

    /// Maximum number of slices that can be renewed in time at the slowest pace.
    pub(crate) fn renewable(&self) -> u32 {
        let pause = self.min_order_interval.as_nanos().max(1);
        let renewable = self.max_renewal.as_nanos() / pause;
        u32::try_from(renewable).unwrap_or(u32::MAX)
    }

    /// The longest time for which a holder may consider a grant of that length valid.
    pub(crate) fn bound(&self, hold: Duration) -> Duration {
        hold * (100 + self.drift_percent) / 100
    }

    /// The longest time for which a holder may consider any grant valid.
    fn longest_bound(&self) -> Duration {
        self.bound(self.longest_hold())
    }

    /// The longest time for which a grant that was sent may be in force, if it is executed at
    /// once.
    fn longest_in_force(&self) -> Duration {
        self.longest_bound() + self.transit
    }

    /// The longest time for which a grant that was sent may be executed or be in force.
    fn longest_possible(&self) -> Duration {
        self.order_lifetime + self.longest_in_force()
    }

    /// The longest duration of a grant.
    fn longest_hold(&self) -> Duration {
        self.hold + (self.max_renewal - self.renewal)
    }
}

/// State of an upstream according to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateState {
    /// It may get new keys.
    Ready,
    /// It is still cold: it keeps its keys and gets new ones only if no upstream is ready.
    Cold,
    /// Its keys are to be moved away.
    Draining,
}

/// An upstream that may hold keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub id: UpstreamId,
    /// Its state according to the directory.
    pub state: CandidateState,
    /// Requests per second that it can serve.
    pub capacity: f64,
    /// When it last answered a request of any node, as far as known.
    pub last_answered: Option<Time>,
}

/// Protections that tests can disable one by one to show what each one prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GranterGuards {
    /// A grant is sent only once a durable record names its holder.
    pub records_first: bool,
    /// An unresponsive holder keeps its slices until its grants have expired.
    pub waits_for_lapse: bool,
    /// A new granter treats its predecessor's grants as being in force.
    pub respects_predecessor: bool,
    /// An unanswered grant counts as accepted.
    pub counts_unanswered: bool,
    /// Keys of an unresponsive holder are reassigned only when no standby can extend its
    /// grants.
    pub waits_for_standbys: bool,
    /// An upstream that lost keys without a reply is sent releases until it replies, and gets
    /// no keys before that.
    pub fences_lost_holders: bool,
    /// Each order has a token that no earlier order had.
    pub renews_tokens: bool,
    /// A record is not trusted if the store may have reverted to an older state since it was
    /// written.
    pub doubts_records: bool,
    /// Keys of an unresponsive holder are reassigned only when no delayed grant of them can
    /// be in force.
    pub waits_for_doubt: bool,
    /// A term that may not know all earlier grants assigns keys only when each registered
    /// upstream has replied to releases under a token of this term.
    pub fences_all_upstreams: bool,
    /// A term that may not know all earlier grants renews recorded holders only when no
    /// other upstream can have a grant in force.
    pub suspends_renewals: bool,
    /// A term of which no process observed the predecessor waits for unresponsive holders that
    /// may have a grant in flight.
    pub assumes_grants_in_flight: bool,
}

impl Default for GranterGuards {
    fn default() -> Self {
        Self {
            records_first: true,
            waits_for_lapse: true,
            respects_predecessor: true,
            counts_unanswered: true,
            waits_for_standbys: true,
            fences_lost_holders: true,
            renews_tokens: true,
            doubts_records: true,
            waits_for_doubt: true,
            fences_all_upstreams: true,
            suspends_renewals: true,
            assumes_grants_in_flight: true,
        }
    }
}

#[derive(Clone, Debug)]
struct Call {
    sent: Time,
    first: ShardKey,
    holder: UpstreamId,
    /// Duration of the grant; `None` for a release.
    hold: Option<Duration>,
    token: FencingToken,
}

/// Grants the slices of one service.
#[derive(Clone, Debug)]
pub struct Granter {
    timing: GranterTiming,
    epoch: Epoch,
    token_blocks: u64,
    slices: BTreeMap<ShardKey, Slice>,
    candidates: BTreeMap<UpstreamId, Candidate>,
    /// Whether the list of upstreams has ever been set. Before that, a holder that is not in
    /// it has not left.
    knows_candidates: bool,
    terminated: BTreeSet<UpstreamId>,
    withheld: WithheldKeys,
    /// Until when grants that the adopted record does not contain may be in force.
    record_doubted_until: Time,
    term_fence: TermFence,
    /// Until when recorded holders may have grants in flight that nobody observed.
    grants_in_flight_until: Time,
    /// Since when recorded holders wait for tokens of this term, if the record may lack grants.
    renewals_suspended_at: Option<Time>,
    renewal_notices: Vec<RenewalNotice>,
    /// When holders with a contested address were last probed.
    probed_at: BTreeMap<UpstreamId, Time>,
    /// Upstreams that lost keys because they were unresponsive, and until when they get none.
    excluded_until: BTreeMap<UpstreamId, Time>,
    calls: BTreeMap<CallId, Call>,
    window: OrderWindow,
    contacts: BTreeMap<UpstreamId, Contact>,
    unanswered_grants: UnansweredGrants,
    standbys: Standbys,
    lost_holders: LostHolders,
    /// Upstreams that are no longer registered, and when they last were.
    departed_at: BTreeMap<UpstreamId, Time>,
    owned_again: Vec<OwnedAgain>,
    move_time: moves::MoveTime,
    doubt_notices: Vec<DoubtNotice>,
    /// When the remaining time of doubted keys was last recorded.
    doubt_recorded_at: Time,
    polled_at: Time,
    next_call: u64,
    /// Sequence number of the next record.
    next_sequence: u64,
    /// Sequence number of the newest durable record.
    durable_sequence: u64,
    dirty: bool,
    /// When the first upstream and the most recent new one appeared.
    first_appeared: Option<Time>,
    last_appeared: Time,
    /// Load by key.
    pub load: LoadMap,
}

impl Granter {
    /// Creates a granter that adopts the assignment of `record` at `now`.
    pub fn new(
        now: Time,
        timing: GranterTiming,
        epoch: Epoch,
        record: Option<&AssignmentRecord>,
    ) -> Self {
        let mut granter = Self {
            timing,
            epoch,
            token_blocks: 0,
            slices: BTreeMap::new(),
            candidates: BTreeMap::new(),
            knows_candidates: false,
            terminated: BTreeSet::new(),
            withheld: WithheldKeys::default(),
            record_doubted_until: Time::ZERO,
            term_fence: TermFence::default(),
            grants_in_flight_until: Time::ZERO,
            renewals_suspended_at: None,
            renewal_notices: Vec::new(),
            probed_at: BTreeMap::new(),
            excluded_until: BTreeMap::new(),
            calls: BTreeMap::new(),
            window: OrderWindow::default(),
            contacts: BTreeMap::new(),
            unanswered_grants: UnansweredGrants::default(),
            standbys: Standbys::new(StandbyBounds {
                hold: timing.longest_bound(),
                transit: timing.transit + timing.order_timeout,
            }),
            lost_holders: LostHolders::default(),
            departed_at: BTreeMap::new(),
            owned_again: Vec::new(),
            move_time: moves::MoveTime::default(),
            doubt_notices: Vec::new(),
            doubt_recorded_at: now,
            polled_at: now,
            next_call: 0,
            next_sequence: 1,
            durable_sequence: 0,
            dirty: false,
            first_appeared: None,
            last_appeared: now,
            load: LoadMap::default(),
        };
        if let Some(record) = record {
            granter.adopt(now, record);
        }
        granter
    }

    /// Adopts the assignment of the previous granter. Its grants may be in force until one
    /// grant duration after its authority ended, which was before `now`.
    fn adopt(&mut self, now: Time, record: &AssignmentRecord) {
        self.standbys.adopt(now, &record.standbys);
        let expires_at = if self.timing.guards.respects_predecessor {
            now + self.timing.longest_in_force()
        } else {
            now
        };
        for slice in &record.slices {
            let release = self.next_token();
            let (phase, expires_at) = match &slice.state {
                SliceState::Free => (Phase::Free { handover: None }, now),
                SliceState::Held { holder, token } => (
                    Phase::Held {
                        holder: holder.clone(),
                        token: *token,
                        handover: None,
                    },
                    expires_at,
                ),
                SliceState::Leaving { holder, token } => (
                    Phase::Leaving {
                        holder: holder.clone(),
                        token: *token,
                        release,
                        next: None,
                    },
                    expires_at,
                ),
            };
            let mut slice = new_slice(now, slice.range, phase, expires_at);
            self.inherit_doubt(now, &mut slice, &record.doubted);
            self.slices.insert(slice.range.first, slice);
        }
        self.adopt_term_fence(now, &record.doubted);
        if self.timing.guards.fences_lost_holders {
            self.adopt_unfenced(now, &record.unfenced);
        }
    }

    /// Sets the upstreams of the service.
    pub fn set_candidates(&mut self, now: Time, candidates: impl IntoIterator<Item = Candidate>) {
        let next: BTreeMap<UpstreamId, Candidate> = candidates
            .into_iter()
            .map(|candidate| (candidate.id.clone(), candidate))
            .collect();
        if next.keys().any(|id| !self.candidates.contains_key(id)) {
            self.first_appeared.get_or_insert(now);
            self.last_appeared = now;
            self.release_returned(now, &next);
        }
        self.knows_candidates = true;
        self.lost_holders
            .set_registered(now, |id| next.contains_key(id));
        self.term_fence
            .set_registered(now, |id| next.contains_key(id));
        self.record_departures(now, &next);
        self.fence_restarts(now, &next);
        let same = next.keys().eq(self.candidates.keys());
        self.candidates = next;
        if !same {
            self.prune_contacts();
        }
    }

    /// Makes the releases due of keys whose holders are among the next candidates again.
    fn release_returned(&mut self, now: Time, next: &BTreeMap<UpstreamId, Candidate>) {
        for slice in self.slices.values_mut() {
            if let Phase::Leaving { holder, .. } = &slice.phase
                && next.contains_key(holder)
                && !self.candidates.contains_key(holder)
            {
                slice.due_at = now;
            }
        }
    }

    /// Drops contacts of upstreams that are deregistered and hold nothing.
    fn prune_contacts(&mut self) {
        let holders: BTreeSet<&UpstreamId> = self
            .slices
            .values()
            .filter_map(Slice::current_holder)
            .collect();
        let candidates = &self.candidates;
        self.contacts
            .retain(|id, _| candidates.contains_key(id) || holders.contains(id));
    }

    /// Records that an upstream has terminated, so that it holds nothing.
    pub fn mark_terminated(&mut self, id: &UpstreamId) {
        self.terminated.insert(id.clone());
        self.lost_holders.mark_terminated(id);
        self.term_fence.mark_terminated(id);
    }

    /// Schedules one grant of a holder immediately, to learn whether it still has its
    /// address.
    pub fn probe_holder(&mut self, now: Time, id: &UpstreamId) {
        let due = self
            .probed_at
            .get(id)
            .is_none_or(|at| now.since(*at) >= PROBE_INTERVAL);
        if !due {
            return;
        }
        let held = self.slices.values_mut().find(|slice| {
            slice.holder() == Some(id)
                && slice.pending_call.is_none()
                && slice.recorded_in <= self.durable_sequence
        });
        if let Some(slice) = held {
            slice.due_at = slice.due_at.min(now);
            self.probed_at.insert(id.clone(), now);
        }
    }

    /// Takes the record to write, if it has changed since the last one.
    pub fn take_record(&mut self) -> Option<AssignmentRecord> {
        if !self.dirty {
            return None;
        }
        self.dirty = false;
        let record = self.snapshot();
        self.next_sequence += 1;
        Some(record)
    }

    /// The contents of the next record.
    pub fn snapshot(&self) -> AssignmentRecord {
        AssignmentRecord {
            epoch: self.epoch,
            sequence: self.next_sequence,
            standbys: self.standbys.ids(),
            unfenced: self.unfenced_record(),
            doubted: self.doubted_keys(),
            slices: self.slices.values().map(Slice::record).collect(),
        }
    }

    /// Records that the record with that sequence number is durable.
    pub fn mark_durable(&mut self, now: Time, sequence: u64) {
        let notice = self.timing.release_delay;
        for slice in self.slices.values_mut() {
            let is_recorded =
                slice.recorded_in > self.durable_sequence && slice.recorded_in <= sequence;
            if is_recorded && matches!(slice.phase, Phase::Leaving { .. }) {
                slice.due_at = slice.due_at.max(now + notice);
            }
        }
        self.durable_sequence = self.durable_sequence.max(sequence);
    }

    /// Requests another record, for example because the last one was not written.
    pub fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Takes the slices that have got an owner again since the last call.
    pub fn take_owned_again(&mut self) -> Vec<OwnedAgain> {
        std::mem::take(&mut self.owned_again)
    }

    /// Counts of unanswered grants.
    pub fn unanswered_grants(&self) -> UnansweredGrants {
        self.unanswered_grants
    }

    /// Number of slices.
    pub fn slice_count(&self) -> usize {
        self.slices.len()
    }

    /// Number of slices held under a valid grant at `now`.
    pub fn held_count(&self, now: Time) -> usize {
        let held = self.slices.values();
        held.filter(|slice| slice.holder().is_some() && now < slice.expires_at)
            .count()
    }
}

fn new_slice(now: Time, range: KeyRange, phase: Phase, expires_at: Time) -> Slice {
    Slice {
        range,
        phase,
        recorded_in: 0,
        tokens: BlockUse::Inherited,
        expires_at,
        pending_call: None,
        due_at: now,
        changed_at: now,
        unowned: None,
        doubt: None,
        unconfirmed_until: None,
        awaits_doubt_end: false,
    }
}
