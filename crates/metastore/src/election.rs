//! Election of the granter, the node that may grant keys.
//!
//! The granter key is attached to a lease, the epoch key is not. The transaction that
//! acquires the granter key also increments the epoch. The holder's authority ends on its
//! own clock before the store can assign the granter key to another node.
//!
//! A process that finds the granter key held by a previous run of its own node, at its own
//! address, replaces it immediately: that process has ended, and its authority with it,
//! while its lease could remain for up to its full time to live.

use crate::call::{
    Condition, Item, LeaseId, Revision, StoreCall, StoreEra, StoreOutcome, Transaction, Write,
};
use crate::lease::{LeaseKeeper, LeaseTiming};
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of a granter's term; each term has a higher epoch than the previous ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct Epoch(pub u64);

/// Highest epoch that is accepted from the store: tokens carry the epoch in 32 bits, and the
/// epochs that follow must fit as well.
const MAX_EPOCH: Epoch = Epoch((1 << 31) - 1);

impl Epoch {
    /// Returns the first epoch of a store era, which is above all epochs of earlier eras. The
    /// restored store does not know the epochs that it lost, so the distance between the
    /// first epochs of two eras is more than the number of terms that an era can have.
    pub fn first_of(era: StoreEra) -> Self {
        Self((u64::from(era.0) * EPOCHS_PER_ERA).min(MAX_EPOCH.0 / 2))
    }
}

/// Maximum number of terms in an era: one per second for most of a day.
const EPOCHS_PER_ERA: u64 = 1 << 16;

/// Value of the granter key.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct GranterRecord {
    /// Name of the node.
    pub node: String,
    /// Identifies the run of the node's process.
    pub run: u64,
    /// Epoch of the granter's term.
    pub epoch: Epoch,
    /// Address on which the node receives messages from its peers.
    pub peer_address: SocketAddr,
}

/// Configuration of an [`Election`].
#[derive(Clone, Debug)]
pub struct ElectionConfig {
    /// Granter key, attached to the granter's lease.
    pub granter_key: String,
    /// Key that stores the highest epoch.
    pub epoch_key: String,
    /// Name of this node.
    pub node: String,
    /// Identifies this run of the node's process.
    pub run: u64,
    /// Address on which this node receives messages from its peers.
    pub peer_address: SocketAddr,
    /// Timing of the granter's lease.
    pub lease: LeaseTiming,
    /// How long the granter key must be absent before this node tries to acquire it; differs
    /// between nodes, so that they do not all try at once.
    pub candidacy_delay: Duration,
}

/// The authority to grant keys, to be checked immediately before each use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    /// Epoch of the term.
    pub epoch: Epoch,
    /// When the authority ends, on this node's clock.
    pub valid_until: Time,
    /// Revision of the granter key, the precondition of the granter's writes.
    pub revision: Revision,
    /// Epoch of the previous term, as far as known to the store.
    pub predecessor: Epoch,
}

/// The call whose response an election waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// A call for the lease.
    Lease,
    /// The transaction that acquires the granter key.
    Acquire,
}

#[derive(Clone, Copy, Debug)]
struct Leadership {
    epoch: Epoch,
    revision: Revision,
    lease: LeaseId,
    predecessor: Epoch,
}

/// The term that a pending acquisition would begin, and the previous one.
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

/// One node's participation in the election.
#[derive(Clone, Debug)]
pub struct Election {
    config: ElectionConfig,
    keeper: LeaseKeeper,
    pending: Option<Pending>,
    attempted: Option<Attempt>,
    /// Era of the store, zero if unknown.
    era: StoreEra,
    /// Whether to acquire the granter key again although the store names this process as its
    /// holder.
    reclaiming: bool,
    leadership: Option<Leadership>,
    vacant_since: Option<Time>,
    /// Revision that the granter key must have for this node to acquire it: absent, or the
    /// revision written by a previous run of this node, or by this run in an earlier era.
    expected_revision: Revision,
    /// Revision at which the granter key was last evaluated.
    last_observed: Option<Revision>,
    /// Added to the candidacy delay.
    extra_delay: Duration,
    retry_at: Time,
    /// When the lease is revoked, after this node has given up its authority.
    revoke_at: Option<Time>,
    stopped: bool,
}

impl Election {
    /// Creates the election state of a node that is not the granter.
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
            revoke_at: None,
            stopped: false,
        }
    }

    /// Sets a delay on top of [`ElectionConfig::candidacy_delay`], which gives other nodes
    /// precedence.
    pub fn set_extra_delay(&mut self, extra_delay: Duration) {
        self.extra_delay = extra_delay;
    }

    /// Returns the authority to grant keys, if this node has it at `now`.
    pub fn authority(&self, now: Time) -> Option<Authority> {
        let leadership = self.leadership?;
        let valid_until = self.keeper.valid_until()?;
        let same_lease = self.keeper.lease(now)? == leadership.lease;
        same_lease.then_some(Authority {
            epoch: leadership.epoch,
            valid_until,
            revision: leadership.revision,
            predecessor: leadership.predecessor,
        })
    }

    /// Returns the call that is due, if any. `view` holds the granter key and the epoch key as
    /// seen by this node, and is `None` while it has no view of the store.
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
        if let Some(revoke_at) = self.revoke_at {
            return self.revoke_when_due(now, revoke_at);
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

    /// Handles the beginning of a store era. Acknowledged writes may be lost, including the
    /// acquisition of the granter key, and other nodes may have held the key since the state
    /// that the store reverted to. The authority must therefore be acquired again, in a term
    /// above all previous ones.
    pub fn begin_era(&mut self, era: StoreEra) {
        self.era = era;
        self.reclaiming |= self.leadership.take().is_some();
        self.attempted = None;
        self.last_observed = None;
        self.expected_revision = Revision::ABSENT;
    }

    /// Updates the state from the granter key as seen by this node.
    fn observe(&mut self, now: Time, granter: Option<&Item>) {
        let Some(item) = granter else {
            self.vacant_since.get_or_insert(now);
            self.expected_revision = Revision::ABSENT;
            self.last_observed = None;
            // The key may not be visible yet right after this node wrote it, so only the
            // lease decides whether this node is still the granter.
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
        // An acquisition whose response was lost is recognized here.
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

    /// Handles the outcome of the pending call.
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
                // The lease expired before it was used.
                self.keeper = LeaseKeeper::new(self.config.lease);
            }
            _ => self.retry_at = now + self.config.candidacy_delay,
        }
    }

    /// Gives up the authority now and the lease after `delay`, so that another node takes over. This
    /// node remains a candidate.
    ///
    /// Invariant: what was sent under the authority has arrived or failed when the lease is revoked.
    /// Otherwise a successor could act before it.
    pub fn step_down(&mut self, now: Time, delay: Duration) {
        if self.leadership.take().is_some() {
            self.attempted = None;
            self.revoke_at = Some(now + delay);
        }
    }

    fn revoke_when_due(&mut self, now: Time, revoke_at: Time) -> Option<StoreCall> {
        if now < revoke_at {
            return None;
        }
        self.revoke_at = None;
        let call = self.keeper.resign()?;
        Some(self.send(now, ElectionStep::Lease, call))
    }

    /// Resigns permanently and returns the call that revokes the lease.
    pub fn resign(&mut self) -> Option<StoreCall> {
        self.stopped = true;
        self.leadership = None;
        self.keeper.resign()
    }
}

/// Returns the highest epoch so far. Each term increments the epoch in a write of its own, so
/// no epoch exceeds the revision of the write that began it. If the value is unreadable or out
/// of range, the revision of the key is therefore an upper bound of all previous epochs.
fn last_epoch(item: Option<&Item>) -> Epoch {
    let Some(item) = item else {
        return Epoch::default();
    };
    let read = Epoch::try_from_slice(&item.value).ok();
    let read = read.filter(|epoch| *epoch <= MAX_EPOCH);
    read.unwrap_or(Epoch(item.revision.number))
}

fn encode(value: &impl BorshSerialize) -> Vec<u8> {
    // Borsh serialization to memory cannot fail.
    borsh::to_vec(value).unwrap_or_default()
}
