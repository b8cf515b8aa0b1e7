//! Follows one prefix of the metadata store: reads it whole, then watches.

use beamtray_metastore::{Item, Mirror, MirrorChange, Revision, StoreCall, StoreOutcome};
use beamtray_types::Time;
use std::time::Duration;

/// First pause after a failure.
const RETRY: Duration = Duration::from_millis(60);
/// Longest pause after failures.
const LONGEST_RETRY: Duration = Duration::from_millis(400);

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

/// Follows one prefix.
#[derive(Clone, Debug)]
pub struct Replica {
    prefix: String,
    wait: Duration,
    mirror: Mirror,
    phase: Phase,
    pending: bool,
    retry_at: Time,
    failures: u32,
    /// When a call was last answered.
    last_answer: Option<Time>,
}

impl Replica {
    /// A replica that knows nothing; its watches wait up to `wait`.
    pub fn new(prefix: &str, wait: Duration) -> Self {
        Self {
            prefix: prefix.to_owned(),
            wait,
            mirror: Mirror::default(),
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

    /// The copy.
    pub fn mirror(&self) -> &Mirror {
        &self.mirror
    }

    /// The prefix.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Whether the last call failed.
    pub fn is_troubled(&self) -> bool {
        self.failures > 0 || self.last_answer.is_none()
    }

    /// The call that is due.
    pub fn poll(&mut self, now: Time) -> Option<StoreCall> {
        if self.pending || now < self.retry_at {
            return None;
        }
        self.pending = true;
        Some(match (&self.phase, self.mirror.at()) {
            (Phase::Watching, Some(after)) => StoreCall::Watch {
                prefix: self.prefix.clone(),
                after,
                wait: self.wait,
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

    /// Takes the outcome of the call that is under way.
    pub fn handle(
        &mut self,
        now: Time,
        outcome: StoreOutcome,
    ) -> (ReplicaHealth, Vec<MirrorChange>) {
        self.pending = false;
        match outcome {
            StoreOutcome::Page { items, more, at } => {
                self.sound(now);
                (ReplicaHealth::Sound, self.page(items, more, at))
            }
            StoreOutcome::Events { events, at } => {
                self.sound(now);
                (ReplicaHealth::Sound, self.mirror.apply(at, events))
            }
            StoreOutcome::Compacted => {
                self.read_again();
                (ReplicaHealth::Troubled, Vec::new())
            }
            _ => {
                self.failures += 1;
                let pause = RETRY * 2u32.saturating_pow(self.failures.min(4) - 1);
                self.retry_at = now + pause.min(LONGEST_RETRY);
                if matches!(self.phase, Phase::Reading { .. }) {
                    self.read_again();
                }
                (ReplicaHealth::Troubled, Vec::new())
            }
        }
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

    fn page(&mut self, page: Vec<Item>, more: bool, page_at: Revision) -> Vec<MirrorChange> {
        let Phase::Reading { at, items } = &mut self.phase else {
            return Vec::new();
        };
        // Later pages may hold newer items; what changed on earlier ones since
        // comes with the watch, so the first page's revision counts.
        let from = *at.get_or_insert(page_at);
        items.extend(page);
        if more {
            return Vec::new();
        }
        let items = std::mem::take(items);
        self.phase = Phase::Watching;
        self.mirror.replace(from, items)
    }

    /// Takes another node's copy.
    pub fn adopt(&mut self, at: Revision, items: Vec<Item>) -> Vec<MirrorChange> {
        if self.mirror.at().is_some_and(|known| at <= known) {
            return Vec::new();
        }
        self.mirror.replace(at, items)
    }
}
