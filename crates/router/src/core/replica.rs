//! Replicates one prefix of the metadata store: reads it in full, then watches it.

use crate::core::views::Snapshot;
use beamtray_metastore::{
    Item, Mirror, MirrorChange, Revision, StoreCall, StoreEvent, StoreOutcome,
};
use beamtray_types::Time;
use std::time::Duration;

/// Delay before the first retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum retry delay. A successful call of another kind ends the delay: lease renewals are cheap
/// and tried more often.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Timeout of the first watch after a full read; it doubles with each further watch. A watch that
/// starts while the store compacts its history may receive nothing, and reports the lost history
/// only when its timeout expires: starting with the full timeout, changes were missed for 25 s.
const INITIAL_WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after its timeout a watch may be answered. Then its answer counts as lost and the watch
/// is made again, which returns what the lost answer reported.
const WATCH_ANSWER_DELAY: Duration = Duration::from_millis(300);

/// Timeout of the watch after one whose answer was lost: it shows soon whether the store answers.
const REPEATED_WATCH_TIMEOUT: Duration = Duration::from_millis(100);

/// The result of a replica's last call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaHealth {
    /// The call succeeded.
    Healthy,
    /// The call failed, or the history was compacted.
    Failed,
}

#[derive(Clone, Debug)]
enum Phase {
    Reading {
        at: Option<Revision>,
        items: Vec<Item>,
    },
    Watching,
}

/// Timeouts and delays of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaTiming {
    /// Maximum timeout of a watch.
    ///
    /// Invariant: a change whose answer was lost is read this and [`WATCH_ANSWER_DELAY`] after the
    /// watch began. Nothing else shows the loss: a connection that lost an answer stays open, and
    /// other calls are answered.
    pub max_watch_timeout: Duration,
    /// Delay after changes, so that one call returns several of them.
    pub batch_delay: Duration,
}

/// A replica of one prefix.
#[derive(Clone, Debug)]
pub struct Replica {
    prefix: String,
    timing: ReplicaTiming,
    /// Maximum size of a stored value, in bytes.
    max_value_size: usize,
    /// Timeout of the next watch.
    next_watch_timeout: Duration,
    mirror: Mirror,
    /// Revision of the latest change seen.
    latest: Revision,
    /// Number of abandoned calls.
    generation: u32,
    phase: Phase,
    pending: bool,
    /// When the pending watch counts as lost.
    overdue_at: Option<Time>,
    retry_at: Time,
    failures: u32,
    /// When a call last succeeded.
    last_answer: Option<Time>,
}

impl Replica {
    /// Creates an empty replica.
    pub fn new(prefix: &str, timing: ReplicaTiming) -> Self {
        Self {
            prefix: prefix.to_owned(),
            timing,
            max_value_size: usize::MAX,
            next_watch_timeout: INITIAL_WATCH_TIMEOUT.min(timing.max_watch_timeout),
            mirror: Mirror::default(),
            latest: Revision::default(),
            generation: 0,
            phase: Phase::Reading {
                at: None,
                items: Vec::new(),
            },
            pending: false,
            overdue_at: None,
            retry_at: Time::ZERO,
            failures: 0,
            last_answer: None,
        }
    }

    /// Replaces values of more than this many bytes by empty ones, which fail to decode. Otherwise
    /// oversized values of other writers would fill the memory of every node and the links between
    /// nodes.
    pub fn with_max_value_size(mut self, bytes: usize) -> Self {
        self.max_value_size = bytes;
        self
    }

    fn drop_oversized_values(&self, mut outcome: StoreOutcome) -> StoreOutcome {
        match &mut outcome {
            StoreOutcome::Page { items, .. } => self.drop_oversized_items(items.iter_mut()),
            StoreOutcome::Events { events, .. } => {
                let items = events.iter_mut().filter_map(|event| match event {
                    StoreEvent::Put(item) => Some(item),
                    StoreEvent::Removed { .. } => None,
                });
                self.drop_oversized_items(items);
            }
            _ => {}
        }
        outcome
    }

    fn drop_oversized_items<'a>(&self, items: impl Iterator<Item = &'a mut Item>) {
        for item in items.filter(|item| item.value.len() > self.max_value_size) {
            item.value = Vec::new();
        }
    }

    /// The replicated items.
    pub fn mirror(&self) -> &Mirror {
        &self.mirror
    }

    /// The prefix that is replicated.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Time since a call last succeeded.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.last_answer.unwrap_or(Time::ZERO))
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0 || self.last_answer.is_none()
    }

    /// Whether a call is pending.
    pub fn is_pending(&self) -> bool {
        self.pending
    }

    /// The call that is due.
    pub fn poll(&mut self, now: Time) -> Option<StoreCall> {
        if self.pending || now < self.retry_at {
            return None;
        }
        self.pending = true;
        self.overdue_at = None;
        Some(match (&self.phase, self.mirror.revision()) {
            (Phase::Watching, Some(after)) => {
                let wait = self.next_watch_timeout;
                self.overdue_at = Some(now + wait + WATCH_ANSWER_DELAY);
                StoreCall::Watch {
                    prefix: self.prefix.clone(),
                    after,
                    wait,
                }
            }
            (Phase::Watching, None) => StoreCall::Range {
                prefix: self.prefix.clone(),
                after: None,
            },
            (Phase::Reading { items, .. }, _) => StoreCall::Range {
                prefix: self.prefix.clone(),
                after: items.last().map(|item| item.key.clone()),
            },
        })
    }

    /// Whether the pending watch should have ended by now.
    pub fn is_watch_overdue(&self, now: Time) -> bool {
        self.pending && self.overdue_at.is_some_and(|at| now >= at)
    }

    /// Gives up the pending watch, whose answer counts as lost, as a failed call. The next one starts
    /// at the same revision, so what the lost answer reported is returned at once.
    pub fn give_up_watch(&mut self, now: Time) {
        self.generation += 1;
        self.pending = false;
        self.note_failure(now);
        self.next_watch_timeout = REPEATED_WATCH_TIMEOUT.min(self.timing.max_watch_timeout);
    }

    /// Counts a failed call and delays the next one.
    fn note_failure(&mut self, now: Time) {
        self.failures += 1;
        let pause = RETRY_DELAY * 2u32.saturating_pow(self.failures.min(8) - 1);
        self.retry_at = now + pause.min(MAX_RETRY_DELAY);
    }

    /// Generation of the pending or next call.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// Revision of the latest change seen.
    pub fn latest(&self) -> Revision {
        self.latest
    }

    /// Whether this replica lacks a change of the given revision.
    pub fn is_behind(&self, revision: Revision) -> bool {
        revision > self.latest && self.mirror.revision().is_none_or(|at| revision > at)
    }

    /// Abandons the pending call, which may be waiting on a dead connection.
    pub fn restart(&mut self, now: Time) {
        self.generation += 1;
        self.pending = false;
        self.retry_at = now;
        if matches!(self.phase, Phase::Reading { .. }) {
            self.restart_reading();
        }
    }

    /// Abandons the pending call and reads the prefix again, after the connection to the store, and
    /// the watch with it, was lost.
    pub fn reread(&mut self, now: Time) {
        self.restart_reading();
        self.restart(now);
    }

    /// Handles the outcome of a call of the given generation.
    pub fn handle(
        &mut self,
        now: Time,
        generation: u32,
        outcome: StoreOutcome,
    ) -> (ReplicaHealth, Vec<MirrorChange>) {
        let outcome = self.drop_oversized_values(outcome);
        if generation != self.generation {
            return (ReplicaHealth::Healthy, self.apply_late(outcome));
        }
        self.pending = false;
        match outcome {
            StoreOutcome::Page { items, more, at } => {
                self.mark_healthy(now);
                (ReplicaHealth::Healthy, self.add_page(items, more, at))
            }
            StoreOutcome::Events { at, .. } if self.is_other_era(at) => {
                self.restart_reading();
                (ReplicaHealth::Failed, Vec::new())
            }
            StoreOutcome::Events { events, at } => {
                self.mark_healthy(now);
                self.next_watch_timeout =
                    (self.next_watch_timeout * 2).min(self.timing.max_watch_timeout);
                if !events.is_empty() {
                    self.retry_at = now + self.timing.batch_delay;
                }
                if events.is_empty() {
                    // An empty watch result doesn't prove that nothing changed: changes may have
                    // been withheld. The next watch starts at the same revision and returns them,
                    // or reports that they have been compacted.
                    return (ReplicaHealth::Healthy, Vec::new());
                }
                for event in &events {
                    self.note_revision(event.revision());
                }
                (ReplicaHealth::Healthy, self.mirror.apply(at, events))
            }
            StoreOutcome::Compacted => {
                self.restart_reading();
                (ReplicaHealth::Failed, Vec::new())
            }
            outcome => {
                self.note_failure(now);
                // A watch that was cut off may have missed changes whose history has since been
                // compacted. A new watch from the same revision would only report that after its
                // wait, so the prefix is read again instead.
                let was_cut = matches!(outcome, StoreOutcome::Unknown);
                if was_cut || matches!(self.phase, Phase::Reading { .. }) {
                    self.restart_reading();
                }
                (ReplicaHealth::Failed, Vec::new())
            }
        }
    }

    /// Whether the store has begun a new era since this replica was filled: the revision at which
    /// the watch started may then denote a different state.
    fn is_other_era(&self, at: Revision) -> bool {
        self.mirror
            .revision()
            .is_none_or(|known| known.era != at.era)
    }

    /// Retries a failed call immediately, since the store answers other calls.
    pub fn retry(&mut self, now: Time) {
        if self.failures > 0 {
            self.retry_at = self.retry_at.min(now);
        }
    }

    /// Applies the result of an abandoned watch. It contains all changes since a revision of this
    /// replica, so it is as valid as a timely one. If it were dropped, a slow node would abandon
    /// every watch before its result arrives, and never catch up.
    fn apply_late(&mut self, outcome: StoreOutcome) -> Vec<MirrorChange> {
        let StoreOutcome::Events { events, at } = outcome else {
            return Vec::new();
        };
        if events.is_empty() || self.mirror.revision().is_none() {
            return Vec::new();
        }
        for event in &events {
            self.note_revision(event.revision());
        }
        self.mirror.apply(at, events)
    }

    fn mark_healthy(&mut self, now: Time) {
        self.failures = 0;
        self.last_answer = Some(now);
    }

    fn restart_reading(&mut self) {
        self.phase = Phase::Reading {
            at: None,
            items: Vec::new(),
        };
    }

    /// Adds a page to a full read.
    ///
    /// Invariant: a change counts as seen only once it has been applied. A read may be discarded
    /// because a snapshot of another node was adopted meanwhile, or because a later page failed; if
    /// its changes were already counted, this node would lack them and request them from nobody.
    fn add_page(&mut self, page: Vec<Item>, more: bool, page_at: Revision) -> Vec<MirrorChange> {
        let Phase::Reading { at, items } = &mut self.phase else {
            return Vec::new();
        };
        // Later pages may contain newer items, but changes to the earlier pages only arrive with
        // the watch, so the revision of the first page counts.
        let from = *at.get_or_insert(page_at);
        if from.era != page_at.era {
            self.restart_reading();
            return Vec::new();
        }
        items.extend(page);
        if more {
            return Vec::new();
        }
        let items = std::mem::take(items);
        self.phase = Phase::Watching;
        self.next_watch_timeout = INITIAL_WATCH_TIMEOUT.min(self.timing.max_watch_timeout);
        let changes = self.mirror.replace(from, items);
        for change in &changes {
            self.note_revision(match change {
                MirrorChange::Present(item) => item.revision,
                // The exact revision of the removal is unknown; it is at most that of the read.
                MirrorChange::Absent(_) => from,
            });
        }
        changes
    }

    fn note_revision(&mut self, revision: Revision) {
        self.latest = self.latest.max(revision);
    }

    fn note_items(&mut self, items: &[Item]) {
        for item in items {
            self.note_revision(item.revision);
        }
    }

    /// Applies a change that this node wrote itself.
    pub fn apply_own_write(&mut self, item: Item) -> Vec<MirrorChange> {
        self.note_revision(item.revision);
        let at = item.revision;
        self.mirror.apply(at, vec![StoreEvent::Put(item)])
    }

    /// Adopts a snapshot or delta from another node. The store is then watched from its revision
    /// on.
    pub fn adopt_snapshot(&mut self, snapshot: Snapshot) -> Vec<MirrorChange> {
        let Snapshot {
            at,
            mut items,
            removals,
            is_full,
            ..
        } = snapshot;
        if self.mirror.revision().is_some_and(|known| at <= known) {
            return Vec::new();
        }
        self.phase = Phase::Watching;
        self.drop_oversized_items(items.iter_mut());
        self.note_items(&items);
        if is_full {
            return self.mirror.replace(at, items);
        }
        let removed = removals.into_iter().map(|removal| StoreEvent::Removed {
            key: removal.key,
            revision: removal.revision,
        });
        let written = items.into_iter().map(StoreEvent::Put);
        let events: Vec<StoreEvent> = removed.chain(written).collect();
        for event in &events {
            self.note_revision(event.revision());
        }
        self.mirror.apply(at, events)
    }
}
