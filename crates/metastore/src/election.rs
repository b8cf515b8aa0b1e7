//! Which node may grant keys.
//!
//! The granter's key hangs on a lease, the epoch's key on none. Taking the
//! place raises the epoch in the same transaction. The place's authority ends
//! on the holder's own clock before the store can give it to another.
//!
//! A process that finds the place held by an earlier run of its own node, at its own
//! address, takes it over at once: that process has ended, and its authority with it.
//! Its lease would go on for up to its whole life.

use crate::call::{
    Condition, Item, LeaseId, Revision, StoreCall, StoreEra, StoreOutcome, Transaction, Write,
};
use crate::lease::{LeaseKeeper, LeaseTiming};
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of a granter's term; each term has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct Epoch(pub u64);

/// Highest number of a term that is believed: tokens carry it in 32 bits, and terms
/// that are counted from here on must fit, too.
const MAX_EPOCH: Epoch = Epoch((1 << 31) - 1);

impl Epoch {
    /// The first one of an era of the store. Above all of the eras before: those that the
    /// store has forgotten are not known to it, and an era has fewer terms than lie between.
    pub fn first_of(era: StoreEra) -> Self {
        Self((u64::from(era.0) * EPOCHS_PER_ERA).min(MAX_EPOCH.0 / 2))
    }
}

/// Terms that an era has at most: one a second for most of a day.
const EPOCHS_PER_ERA: u64 = 1 << 16;

/// What the granter's key holds.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct GranterRecord {
    /// Name of the node.
    pub node: String,
    /// Tells one run of the node from the others.
    pub run: u64,
    /// Its term.
    pub epoch: Epoch,
    /// Where it hears other nodes.
    pub peer_address: SocketAddr,
}

/// Keys and timing of an election.
#[derive(Clone, Debug)]
pub struct ElectionConfig {
    /// Key that the granter holds under its lease.
    pub granter_key: String,
    /// Key of the highest epoch.
    pub epoch_key: String,
    /// Name of this node.
    pub node: String,
    /// Number of this run.
    pub run: u64,
    /// Where this node hears others.
    pub peer_address: SocketAddr,
    /// The lease.
    pub lease: LeaseTiming,
    /// How long the place is left vacant before this node tries to take it;
    /// differs from node to node, so that not all try at once.
    pub candidacy_delay: Duration,
}

/// The right to grant, to be checked right before every use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The term.
    pub epoch: Epoch,
    /// When the right ends on this node's clock.
    pub until: Time,
    /// Revision of the granter's key: writes are made on this condition.
    pub revision: Revision,
    /// The last term before, as far as the store knew.
    pub predecessor: Epoch,
}

/// What an election waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// An answer about the lease.
    Lease,
    /// An answer to the taking of the place.
    Acquire,
}

#[derive(Clone, Copy, Debug)]
struct Leadership {
    epoch: Epoch,
    revision: Revision,
    lease: LeaseId,
    predecessor: Epoch,
}

/// The term that the pending taking of the place would begin, and the one before.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    epoch: Epoch,
    predecessor: Epoch,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    step: ElectionStep,
    sent: Time,
}

/// One node's part in the election.
#[derive(Clone, Debug)]
pub struct Election {
    config: ElectionConfig,
    keeper: LeaseKeeper,
    pending: Option<Pending>,
    attempted: Option<Attempt>,
    /// The store's era, if it is known.
    era: StoreEra,
    /// Whether the place is taken again though the store names this process as its holder.
    reclaiming: bool,
    leadership: Option<Leadership>,
    vacant_since: Option<Time>,
    /// Revision that the granter's key must have when this node takes the place: none
    /// is there, or that of an earlier run of this node.
    expected_revision: Revision,
    /// The granter's key as it was seen last, which need not be read again.
    last_observed: Option<Revision>,
    /// Added to the patience.
    extra_delay: Duration,
    retry_at: Time,
    stopped: bool,
}

impl Election {
    /// A node that holds no place.
    pub fn new(config: ElectionConfig) -> Self {
        let keeper = LeaseKeeper::new(config.lease);
        Self {
            config,
            keeper,
            pending: None,
            attempted: None,
            era: StoreEra::default(),
            reclaiming: false,
            leadership: None,
            vacant_since: None,
            expected_revision: Revision::ABSENT,
            last_observed: None,
            extra_delay: Duration::ZERO,
            retry_at: Time::ZERO,
            stopped: false,
        }
    }

    /// Lets other nodes try to take a vacant place that much earlier.
    pub fn set_extra_delay(&mut self, extra_delay: Duration) {
        self.extra_delay = extra_delay;
    }

    /// The right to grant at `now`, if this node has it.
    pub fn authority(&self, now: Time) -> Option<Authority> {
        let leadership = self.leadership?;
        let until = self.keeper.valid_until()?;
        let same_lease = self.keeper.lease(now)? == leadership.lease;
        same_lease.then_some(Authority {
            epoch: leadership.epoch,
            until,
            revision: leadership.revision,
            predecessor: leadership.predecessor,
        })
    }

    /// The call that is due. `granter` and `epoch` are the two keys as this
    /// node sees them; `None` for the whole argument while it sees nothing.
    pub fn poll(
        &mut self,
        now: Time,
        view: Option<(Option<&Item>, Option<&Item>)>,
    ) -> Option<StoreCall> {
        let (granter, epoch) = view?;
        self.observe(now, granter);
        if self.pending.is_some() || self.stopped || now < self.retry_at {
            return None;
        }
        if self.leadership.is_some() {
            let call = self.keeper.poll(now)?;
            return Some(self.send(now, ElectionStep::Lease, call));
        }
        let vacant_since = self.vacant_since?;
        let is_vacant = self.expected_revision == Revision::ABSENT;
        let candidacy_delay = self.config.candidacy_delay + self.extra_delay;
        if is_vacant && now.since(vacant_since) < candidacy_delay {
            return None;
        }
        let Some(lease) = self.keeper.lease(now) else {
            let call = self.keeper.poll(now)?;
            return Some(self.send(now, ElectionStep::Lease, call));
        };
        let call = self.acquire_call(lease, epoch);
        Some(self.send(now, ElectionStep::Acquire, call))
    }

    /// The store has begun an era. What it acknowledged before may be gone, the place among
    /// it, and others may have had it since the state that it went back to: the right to
    /// grant has to be won again, in a term above all that were.
    pub fn begin_era(&mut self, era: StoreEra) {
        self.era = era;
        self.reclaiming |= self.leadership.take().is_some();
        self.attempted = None;
        self.last_observed = None;
        self.expected_revision = Revision::ABSENT;
    }

    /// Follows the granter's key as this node sees it.
    fn observe(&mut self, now: Time, granter: Option<&Item>) {
        let Some(item) = granter else {
            self.vacant_since.get_or_insert(now);
            self.expected_revision = Revision::ABSENT;
            self.last_observed = None;
            // The key may be unseen as yet right after this node wrote it;
            // the lease alone decides whether the place is still held.
            return;
        };
        let is_settled = self.attempted.is_none() || self.leadership.is_some();
        if self.last_observed == Some(item.revision) && is_settled {
            return;
        }
        self.last_observed = Some(item.revision);
        self.vacant_since = None;
        let Ok(record) = GranterRecord::try_from_slice(&item.value) else {
            return;
        };
        let is_own = record.node == self.config.node && record.run == self.config.run;
        if !is_own {
            let is_lost = self
                .leadership
                .is_some_and(|leadership| item.revision > leadership.revision);
            if is_lost {
                self.leadership = None;
            }
            let is_previous_run =
                record.node == self.config.node && record.peer_address == self.config.peer_address;
            if is_previous_run && self.leadership.is_none() {
                self.vacant_since = Some(now);
                self.expected_revision = item.revision;
            }
            return;
        }
        // A taking of the place whose answer was lost shows here.
        if self.leadership.is_none()
            && let Some(attempt) = self.attempted
            && attempt.epoch == record.epoch
            && let Some(lease) = self.keeper.lease(now)
        {
            self.set_leadership(attempt, item.revision, lease);
        }
        if self.leadership.is_none() && self.reclaiming {
            self.vacant_since = Some(now);
            self.expected_revision = item.revision;
        }
    }

    fn set_leadership(&mut self, attempt: Attempt, revision: Revision, lease: LeaseId) {
        self.reclaiming = false;
        self.leadership = Some(Leadership {
            epoch: attempt.epoch,
            revision,
            lease,
            predecessor: attempt.predecessor,
        });
    }

    fn send(&mut self, now: Time, step: ElectionStep, call: StoreCall) -> StoreCall {
        self.pending = Some(Pending { step, sent: now });
        call
    }

    fn acquire_call(&mut self, lease: LeaseId, epoch: Option<&Item>) -> StoreCall {
        let predecessor = last_epoch(epoch);
        let next = Epoch(predecessor.0 + 1).max(Epoch::first_of(self.era));
        self.attempted = Some(Attempt {
            epoch: next,
            predecessor,
        });
        let record = GranterRecord {
            node: self.config.node.clone(),
            run: self.config.run,
            epoch: next,
            peer_address: self.config.peer_address,
        };
        let condition = |key: &str, revision| Condition {
            key: key.to_owned(),
            revision,
        };
        let write = |key: &str, value, lease| Write {
            key: key.to_owned(),
            value,
            lease,
        };
        let epoch_revision = epoch.map_or(Revision::ABSENT, |item| item.revision);
        StoreCall::Commit(Transaction {
            conditions: vec![
                condition(&self.config.granter_key, self.expected_revision),
                condition(&self.config.epoch_key, epoch_revision),
            ],
            writes: vec![
                write(&self.config.granter_key, encode(&record), Some(lease)),
                write(&self.config.epoch_key, encode(&next), None),
            ],
            removals: Vec::new(),
        })
    }

    /// Takes the outcome of the call that is under way.
    pub fn handle(&mut self, now: Time, outcome: &StoreOutcome) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match pending.step {
            ElectionStep::Lease => {
                self.keeper.handle(now, pending.sent, outcome);
                if matches!(outcome, StoreOutcome::Absent) {
                    self.leadership = None;
                }
            }
            ElectionStep::Acquire => self.handle_acquire(now, outcome),
        }
    }

    fn handle_acquire(&mut self, now: Time, outcome: &StoreOutcome) {
        match outcome {
            StoreOutcome::Committed { revision } => {
                if let (Some(lease), Some(attempt)) = (self.keeper.lease(now), self.attempted) {
                    self.set_leadership(attempt, *revision, lease);
                }
            }
            StoreOutcome::Absent => {
                // The lease ended before it was used.
                self.keeper = LeaseKeeper::new(self.config.lease);
            }
            _ => self.retry_at = now + self.config.candidacy_delay,
        }
    }

    /// Gives the place up for good; the call that tells the store.
    pub fn resign(&mut self) -> Option<StoreCall> {
        self.stopped = true;
        self.leadership = None;
        self.keeper.resign()
    }
}

/// The highest epoch so far. Each epoch rises by one in a write of its own, so none is above
/// the revision of the write in which it began: where the number can't be read, or is out
/// of range, the revision of that value is above all before it.
fn last_epoch(item: Option<&Item>) -> Epoch {
    let Some(item) = item else {
        return Epoch::default();
    };
    let read = Epoch::try_from_slice(&item.value).ok();
    let read = read.filter(|epoch| *epoch <= MAX_EPOCH);
    read.unwrap_or(Epoch(item.revision.number))
}

fn encode(value: &impl BorshSerialize) -> Vec<u8> {
    // Writing borsh to memory can't fail.
    borsh::to_vec(value).unwrap_or_default()
}
