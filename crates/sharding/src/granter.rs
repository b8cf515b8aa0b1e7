//! Grants the slices of one service and takes them back.
//!
//! Invariants:
//! - A grant is sent only after a record that names its holder is durable, so
//!   a successor knows every upstream that may hold keys.
//! - A slice goes to another holder only after the last one released it under
//!   a token above all its grants, is known to have ended, or cannot hold an
//!   unexpired grant. A grant without an answer counts as taken when it was
//!   given up on, which holds only if nothing of it comes later.
//! - A grant that its upstream may carry out later counts as taken at the end of the
//!   lifetime of orders ([`doubt`]).
//! - So an upstream that lost keys without an answer is told of it until it answers, and
//!   gets none before ([`crate::FenceNotice`]).
//! - Whoever calls [`Granter::poll`] must have the authority to grant at that
//!   instant; the granter itself knows nothing of leases.

mod contact;
mod doubt;
mod holders;
mod least_loaded;
mod lost_holders;
mod moves;
mod orders;
mod replies;
mod restarts;
mod standbys;
mod tokens;
mod withheld;

use crate::load::LoadMap;
use crate::lost_holders::LostHolders;
use crate::order::CallId;
use crate::range::{KeyRange, ShardKey};
use crate::record::{AssignmentRecord, SliceState};
use crate::slice::{BlockUse, OwnedAgain, Phase, Slice};
use crate::standby::{StandbyBounds, Standbys};
use beamtray_catalog::UpstreamId;
use beamtray_metastore::Epoch;
use beamtray_types::Time;
pub use contact::{Contact, UnansweredGrants};
pub use doubt::DoubtNotice;
use orders::OrderWindow;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use withheld::WithheldKeys;

/// How long an upstream that lost keys for its silence gets none.
const EXCLUSION_PERIOD: Duration = Duration::from_secs(4);
/// Between two questions to a holder whose address is contested.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Timing of grants.
#[derive(Clone, Copy, Debug)]
pub struct GranterTiming {
    /// How long a grant holds: the keys of a holder that fell silent are without
    /// an owner for about that long.
    pub hold: Duration,
    /// Between renewals.
    pub renewal: Duration,
    /// Least time between two orders of a granter, on average: many slices are
    /// renewed less often and held for as much longer.
    pub min_order_interval: Duration,
    /// Longest time between renewals that comes of this.
    pub max_renewal: Duration,
    /// How much longer a holder may count a hold by its own clock, in percent.
    pub drift_percent: u32,
    /// How long an order may still be on its way after it was given up on.
    pub transit: Duration,
    /// How long an answer to an order is waited for before it is given up on.
    pub order_timeout: Duration,
    /// How long an upstream that has an order and does not answer it may take to carry it out.
    pub order_lifetime: Duration,
    /// How long a holder may leave grants unanswered before its slices are
    /// taken back.
    pub silence_timeout: Duration,
    /// How long no upstream must have appeared before keys are divided for the
    /// first time.
    pub quiet_period: Duration,
    /// How long nodes may take to hear that a slice is leaving; the release
    /// waits for that.
    pub release_delay: Duration,
    /// Protections in force.
    pub guards: GranterGuards,
}

/// How grants are renewed, and for how long they hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantPace {
    /// How long a grant holds.
    pub hold: Duration,
    /// Between renewals.
    pub renewal: Duration,
}

impl GranterTiming {
    /// The pace for so many slices.
    pub fn pace(&self, slices: usize) -> GrantPace {
        let slices = u32::try_from(slices).unwrap_or(u32::MAX);
        let needed = self.min_order_interval.saturating_mul(slices);
        let renewal = needed.clamp(self.renewal, self.max_renewal);
        GrantPace {
            hold: self.hold + (renewal - self.renewal),
            renewal,
        }
    }

    /// Most slices that are renewed in time, each at the slowest pace.
    pub(crate) fn renewable(&self) -> u32 {
        let pause = self.min_order_interval.as_nanos().max(1);
        let renewable = self.max_renewal.as_nanos() / pause;
        u32::try_from(renewable).unwrap_or(u32::MAX)
    }

    /// The longest that a holder may count a grant of that length.
    pub(crate) fn bound(&self, hold: Duration) -> Duration {
        hold * (100 + self.drift_percent) / 100
    }

    /// The longest that a holder may count any grant.
    fn longest_bound(&self) -> Duration {
        self.bound(self.longest_hold())
    }

    /// The longest time for which keys are granted.
    fn longest_hold(&self) -> Duration {
        self.hold + (self.max_renewal - self.renewal)
    }
}

/// What the directory says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateState {
    /// It takes new keys.
    Ready,
    /// It keeps its keys and gets no others while there are upstreams that are ready: it is
    /// cold.
    Cold,
    /// It is to lose its keys.
    Draining,
}

/// An upstream that may hold keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub id: UpstreamId,
    /// What the directory says of it.
    pub state: CandidateState,
    /// Requests a second that it can work on.
    pub capacity: f64,
    /// When it last answered a request of any node, as far as known.
    pub last_answered: Option<Time>,
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
    /// Keys of a silent holder wait until no standby can prolong its hold.
    pub waits_for_standbys: bool,
    /// An upstream that lost keys without an answer is told of it until it answers, and
    /// gets none before.
    pub fences_lost_holders: bool,
    /// Each order has a token that no order had before.
    pub renews_tokens: bool,
    /// A record that the store may have gone back from is doubted.
    pub doubts_records: bool,
    /// Keys of a silent holder wait until no grant that it may have left lying can be in
    /// force.
    pub waits_for_doubt: bool,
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
        }
    }
}

#[derive(Clone, Debug)]
struct Call {
    sent: Time,
    first: ShardKey,
    holder: UpstreamId,
    /// How long the keys are granted; none for a release.
    hold: Option<Duration>,
}

/// Grants the slices of one service.
#[derive(Clone, Debug)]
pub struct Granter {
    timing: GranterTiming,
    epoch: Epoch,
    token_blocks: u64,
    slices: BTreeMap<ShardKey, Slice>,
    candidates: BTreeMap<UpstreamId, Candidate>,
    /// Whether it was ever stated which upstreams there are. Before that a holder
    /// that is not among them has not left.
    knows_candidates: bool,
    ended: Vec<UpstreamId>,
    withheld: Vec<WithheldKeys>,
    /// Until when grants may be in force that the record which was taken over does not tell.
    record_doubted_until: Time,
    /// When holders whose address is contested were last asked.
    probed_at: BTreeMap<UpstreamId, Time>,
    /// Upstreams that lost keys for their silence, until when they get none.
    excluded_until: BTreeMap<UpstreamId, Time>,
    calls: BTreeMap<CallId, Call>,
    window: OrderWindow,
    contacts: BTreeMap<UpstreamId, Contact>,
    unanswered_grants: UnansweredGrants,
    standbys: Standbys,
    lost_holders: LostHolders,
    /// Upstreams that are not registered any more, by when they were last.
    departed_at: BTreeMap<UpstreamId, Time>,
    owned_again: Vec<OwnedAgain>,
    doubt_notices: Vec<DoubtNotice>,
    /// When records last told for how long keys are in doubt.
    doubt_recorded_at: Time,
    polled_at: Time,
    next_call: u64,
    /// Sequence of the next record.
    next_sequence: u64,
    /// Sequence of the newest record that is durable.
    durable_sequence: u64,
    dirty: bool,
    /// When an upstream was first seen, and when the last one appeared.
    first_appeared: Option<Time>,
    last_appeared: Time,
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
            token_blocks: 0,
            slices: BTreeMap::new(),
            candidates: BTreeMap::new(),
            knows_candidates: false,
            ended: Vec::new(),
            withheld: Vec::new(),
            record_doubted_until: Time::ZERO,
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

    /// Continues the assignments of the granter before. Its grants may be in
    /// force until one hold after its authority ended, which was before `now`.
    fn adopt(&mut self, now: Time, record: &AssignmentRecord) {
        self.standbys.adopt(now, &record.standbys);
        let expires_at = if self.timing.guards.respects_predecessor {
            now + self.timing.longest_bound() + self.timing.transit
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
        if self.timing.guards.fences_lost_holders {
            self.adopt_unfenced(now, &record.unfenced);
        }
    }

    /// States which upstreams there are.
    pub fn set_candidates(&mut self, now: Time, candidates: impl IntoIterator<Item = Candidate>) {
        let next: BTreeMap<UpstreamId, Candidate> = candidates
            .into_iter()
            .map(|candidate| (candidate.id.clone(), candidate))
            .collect();
        if next.keys().any(|id| !self.candidates.contains_key(id)) {
            self.first_appeared.get_or_insert(now);
            self.last_appeared = now;
        }
        self.knows_candidates = true;
        self.lost_holders
            .set_registered(now, |id| next.contains_key(id));
        self.record_departures(now, &next);
        self.fence_restarts(now, &next);
        let same = next.keys().eq(self.candidates.keys());
        self.candidates = next;
        if !same {
            self.prune_contacts();
        }
    }

    /// Forgets contacts of upstreams that are gone and hold nothing.
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

    /// Notes that an upstream has ended, so that it holds nothing.
    pub fn mark_ended(&mut self, id: &UpstreamId) {
        if !self.ended.contains(id) {
            self.ended.push(id.clone());
        }
        self.lost_holders.mark_ended(id);
    }

    /// Lets one grant of a holder be due soon, to see whether it still has its
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

    /// The record to write, when it has changed since the last one.
    pub fn take_record(&mut self) -> Option<AssignmentRecord> {
        if !self.dirty {
            return None;
        }
        self.dirty = false;
        let record = self.snapshot();
        self.next_sequence += 1;
        Some(record)
    }

    /// All that the next record would tell.
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

    /// Notes that the record of that sequence is durable.
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

    /// Notes that a record was not written, so that the next one is due.
    pub fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Slices that have an owner again since the last call.
    pub fn take_owned_again(&mut self) -> Vec<OwnedAgain> {
        std::mem::take(&mut self.owned_again)
    }

    /// Grants that were left unanswered.
    pub fn unanswered_grants(&self) -> UnansweredGrants {
        self.unanswered_grants
    }

    /// How many slices there are.
    pub fn slice_count(&self) -> usize {
        self.slices.len()
    }

    /// How many slices are held under a grant at `now`.
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
        awaits_doubt_end: false,
    }
}
