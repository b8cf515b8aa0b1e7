//! Follows one prefix of the metadata store: reads it whole, then watches.

use crate::core::views::Snapshot;
use beamtray_metastore::{
    Item, Mirror, MirrorChange, Revision, StoreCall, StoreEvent, StoreOutcome,
};
use beamtray_types::Time;
use std::time::Duration;

/// First pause after a failure.
const RETRY: Duration = Duration::from_millis(60);
/// Longest pause after failures. A call of another sort that is answered ends
/// it: lease renewals, which are cheap, are tried more often.
const LONGEST_RETRY: Duration = Duration::from_millis(1_200);

/// Wait of the first watch after a reading; each further one waits twice as long. A watch
/// that begins while the store drops its history may hear nothing until its wait is over,
/// and tells only then that history was lost: with the whole wait, changes were missed for
/// 25 s.
const FIRST_WATCH: Duration = Duration::from_millis(500);

/// How the last call went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaHealth {
    /// It was answered.
    Sound,
    /// It was not, or history was lost.
    Troubled,
}

#[derive(Clone, Debug)]
enum Phase {
    Reading {
        at: Option<Revision>,
        items: Vec<Item>,
    },
    Watching,
}

/// Pauses of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaTiming {
    /// Longest wait of a watch.
    pub wait: Duration,
    /// Pause after changes, so that several come with one call.
    pub gather: Duration,
}

/// Follows one prefix.
#[derive(Clone, Debug)]
pub struct Replica {
    prefix: String,
    timing: ReplicaTiming,
    /// Longest value that is kept, in bytes.
    longest_value: usize,
    /// Wait of the next watch.
    watch_wait: Duration,
    mirror: Mirror,
    /// Newest change that was seen.
    latest: Revision,
    /// Counts the calls that were given up on.
    generation: u32,
    phase: Phase,
    pending: bool,
    retry_at: Time,
    failures: u32,
    /// When a call was last answered.
    last_answer: Option<Time>,
}

impl Replica {
    /// A replica that knows nothing.
    pub fn new(prefix: &str, timing: ReplicaTiming) -> Self {
        Self {
            prefix: prefix.to_owned(),
            timing,
            longest_value: usize::MAX,
            watch_wait: FIRST_WATCH.min(timing.wait),
            mirror: Mirror::default(),
            latest: Revision::default(),
            generation: 0,
            phase: Phase::Reading {
                at: None,
                items: Vec::new(),
            },
            pending: false,
            retry_at: Time::ZERO,
            failures: 0,
            last_answer: None,
        }
    }

    /// Keeps longer values than so many bytes as empty ones, which nothing can be read from:
    /// another writer's would fill the memory of every node and the links between them.
    pub fn with_longest_value(mut self, bytes: usize) -> Self {
        self.longest_value = bytes;
        self
    }

    fn bound_values(&self, mut outcome: StoreOutcome) -> StoreOutcome {
        match &mut outcome {
            StoreOutcome::Page { items, .. } => self.bound_items(items.iter_mut()),
            StoreOutcome::Events { events, .. } => {
                let items = events.iter_mut().filter_map(|event| match event {
                    StoreEvent::Put(item) => Some(item),
                    StoreEvent::Removed { .. } => None,
                });
                self.bound_items(items);
            }
            _ => {}
        }
        outcome
    }

    fn bound_items<'a>(&self, items: impl Iterator<Item = &'a mut Item>) {
        for item in items.filter(|item| item.value.len() > self.longest_value) {
            item.value = Vec::new();
        }
    }

    /// The copy.
    pub fn mirror(&self) -> &Mirror {
        &self.mirror
    }

    /// The prefix.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Time since a call was last answered.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.last_answer.unwrap_or(Time::ZERO))
    }

    /// Whether the last call failed.
    pub fn is_troubled(&self) -> bool {
        self.failures > 0 || self.last_answer.is_none()
    }

    /// Whether a call is under way.
    pub fn is_pending(&self) -> bool {
        self.pending
    }

    /// The call that is due.
    pub fn poll(&mut self, now: Time) -> Option<StoreCall> {
        if self.pending || now < self.retry_at {
            return None;
        }
        self.pending = true;
        Some(match (&self.phase, self.mirror.revision()) {
            (Phase::Watching, Some(after)) => StoreCall::Watch {
                prefix: self.prefix.clone(),
                after,
                wait: self.watch_wait,
            },
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

    /// Number of the call that is under way or comes next.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// Newest change that was seen.
    pub fn latest(&self) -> Revision {
        self.latest
    }

    /// Whether a change of that revision has passed this replica by.
    pub fn lacks(&self, revision: Revision) -> bool {
        revision > self.latest && self.mirror.revision().is_none_or(|at| revision > at)
    }

    /// Gives up on the call under way: it may wait on a path that is dead.
    pub fn restart(&mut self, now: Time) {
        self.generation += 1;
        self.pending = false;
        self.retry_at = now;
        if matches!(self.phase, Phase::Reading { .. }) {
            self.read_again();
        }
    }

    /// Gives up on the call under way, and reads the prefix again: the path to the store
    /// was dead, and the watch with it.
    pub fn reread(&mut self, now: Time) {
        self.read_again();
        self.restart(now);
    }

    /// Takes the outcome of the call of that generation.
    pub fn handle(
        &mut self,
        now: Time,
        generation: u32,
        outcome: StoreOutcome,
    ) -> (ReplicaHealth, Vec<MirrorChange>) {
        let outcome = self.bound_values(outcome);
        if generation != self.generation {
            return (ReplicaHealth::Sound, self.take_late(outcome));
        }
        self.pending = false;
        match outcome {
            StoreOutcome::Page { items, more, at } => {
                self.sound(now);
                (ReplicaHealth::Sound, self.page(items, more, at))
            }
            StoreOutcome::Events { at, .. } if self.is_of_other_era(at) => {
                self.read_again();
                (ReplicaHealth::Troubled, Vec::new())
            }
            StoreOutcome::Events { events, at } => {
                self.sound(now);
                self.watch_wait = (self.watch_wait * 2).min(self.timing.wait);
                if !events.is_empty() {
                    self.retry_at = now + self.timing.gather;
                }
                if events.is_empty() {
                    // A watch that heard nothing proves nothing: changes may have
                    // been kept from it. The next one asks for the same ones, or
                    // learns that they are forgotten.
                    return (ReplicaHealth::Sound, Vec::new());
                }
                for event in &events {
                    self.note(event.revision());
                }
                (ReplicaHealth::Sound, self.mirror.apply(at, events))
            }
            StoreOutcome::Compacted => {
                self.read_again();
                (ReplicaHealth::Troubled, Vec::new())
            }
            outcome => {
                self.failures += 1;
                let pause = RETRY * 2u32.saturating_pow(self.failures.min(8) - 1);
                self.retry_at = now + pause.min(LONGEST_RETRY);
                // A watch that was cut may have heard nothing for a while, and the history
                // may be gone: the next watch from the same revision waits for a change,
                // and only then learns that it has missed some.
                let was_cut = matches!(outcome, StoreOutcome::Unknown);
                if was_cut || matches!(self.phase, Phase::Reading { .. }) {
                    self.read_again();
                }
                (ReplicaHealth::Troubled, Vec::new())
            }
        }
    }

    /// Whether the store has begun another era since this copy was filled: the revision
    /// that a watch began at may be another state by now.
    fn is_of_other_era(&self, at: Revision) -> bool {
        self.mirror
            .revision()
            .is_none_or(|known| known.era != at.era)
    }

    /// Tries again at once what has failed: the store answers other calls.
    pub fn retry(&mut self, now: Time) {
        if self.failures > 0 {
            self.retry_at = self.retry_at.min(now);
        }
    }

    /// Takes the answer to a watch that was given up on. It tells of all changes
    /// since a revision that this copy had then, so it is as good as in time: on
    /// a slow node each watch would be given up on before it answers, for ever.
    fn take_late(&mut self, outcome: StoreOutcome) -> Vec<MirrorChange> {
        let StoreOutcome::Events { events, at } = outcome else {
            return Vec::new();
        };
        if events.is_empty() || self.mirror.revision().is_none() {
            return Vec::new();
        }
        for event in &events {
            self.note(event.revision());
        }
        self.mirror.apply(at, events)
    }

    fn sound(&mut self, now: Time) {
        self.failures = 0;
        self.last_answer = Some(now);
    }

    fn read_again(&mut self) {
        self.phase = Phase::Reading {
            at: None,
            items: Vec::new(),
        };
    }

    /// Takes a page of a reading.
    ///
    /// Invariant: a change counts as seen only once it is in the copy. A reading may be
    /// dropped, since another node's copy was taken meanwhile or a later page failed; were
    /// its changes noted, this node would lack them and ask nobody.
    fn page(&mut self, page: Vec<Item>, more: bool, page_at: Revision) -> Vec<MirrorChange> {
        let Phase::Reading { at, items } = &mut self.phase else {
            return Vec::new();
        };
        // Later pages may hold newer items; what changed on earlier ones since
        // comes with the watch, so the first page's revision counts.
        let from = *at.get_or_insert(page_at);
        if from.era != page_at.era {
            self.read_again();
            return Vec::new();
        }
        items.extend(page);
        if more {
            return Vec::new();
        }
        let items = std::mem::take(items);
        self.phase = Phase::Watching;
        self.watch_wait = FIRST_WATCH.min(self.timing.wait);
        let changes = self.mirror.replace(from, items);
        for change in &changes {
            self.note(match change {
                MirrorChange::Present(item) => item.revision,
                // When it was removed is not told: by the reading at the latest.
                MirrorChange::Absent(_) => from,
            });
        }
        changes
    }

    fn note(&mut self, revision: Revision) {
        self.latest = self.latest.max(revision);
    }

    fn note_items(&mut self, items: &[Item]) {
        for item in items {
            self.note(item.revision);
        }
    }

    /// Takes a change that this node made itself.
    pub fn made(&mut self, item: Item) -> Vec<MirrorChange> {
        self.note(item.revision);
        let at = item.revision;
        self.mirror.apply(at, vec![StoreEvent::Put(item)])
    }

    /// Takes another node's copy, or what it has beyond this one. The store is
    /// then watched from there on.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Vec<MirrorChange> {
        let Snapshot {
            at,
            mut items,
            removals,
            is_whole,
            ..
        } = snapshot;
        if self.mirror.revision().is_some_and(|known| at <= known) {
            return Vec::new();
        }
        self.phase = Phase::Watching;
        self.bound_items(items.iter_mut());
        self.note_items(&items);
        if is_whole {
            return self.mirror.replace(at, items);
        }
        let removed = removals.into_iter().map(|removal| StoreEvent::Removed {
            key: removal.key,
            revision: removal.revision,
        });
        let written = items.into_iter().map(StoreEvent::Put);
        let events: Vec<StoreEvent> = removed.chain(written).collect();
        for event in &events {
            self.note(event.revision());
        }
        self.mirror.apply(at, events)
    }
}
