//! Log entries and the snapshot that precedes them.

use crate::membership::Membership;
use beamtray_types::{LogIndex, Term};
use borsh::{BorshDeserialize, BorshSerialize};

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Payload {
    /// No operation; the first entry of each leader's term.
    Noop,
    /// An application command.
    Command(Vec<u8>),
    /// A membership change, effective as soon as it is appended to the log.
    Membership(Membership),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Index of the entry in the log.
    pub index: LogIndex,
    /// Content of the entry.
    pub payload: Payload,
}

/// A snapshot of the application's state up to an index.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Snapshot {
    /// Last index included in the snapshot.
    pub index: LogIndex,
    /// Term of the entry at that index.
    pub term: Term,
    /// Membership as of that index.
    pub membership: Membership,
    /// Application state in the application's own encoding.
    pub data: Vec<u8>,
}

/// A snapshot and the contiguous entries that follow it.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot,
            entries: Vec::new(),
        }
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.snapshot.index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, unless it is compacted or
    /// beyond the end of the log.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let position = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(position as usize)
    }

    /// Returns up to `limit` entries, beginning at index `first`.
    pub(crate) fn entries_from(&self, first: LogIndex, limit: usize) -> Vec<Entry> {
        let skipped = first.0.saturating_sub(self.snapshot.index.0 + 1) as usize;
        self.entries
            .iter()
            .skip(skipped)
            .take(limit)
            .cloned()
            .collect()
    }

    pub(crate) fn push(&mut self, term: Term, payload: Payload) -> LogIndex {
        let index = self.last_index().next();
        self.entries.push(Entry {
            term,
            index,
            payload,
        });
        index
    }

    /// Appends a leader's entries and truncates conflicting ones.
    ///
    /// Existing entries without a conflict are kept even if they extend beyond
    /// the message: a delayed, shorter message must not truncate the entries of
    /// a longer one.
    pub(crate) fn merge(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.snapshot.index {
                continue;
            }
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) => {
                    let keep = (entry.index.0 - self.snapshot.index.0 - 1) as usize;
                    self.entries.truncate(keep);
                    self.entries.push(entry);
                }
                None => self.entries.push(entry),
            }
        }
    }

    /// Returns the effective membership: the last change in the log, committed
    /// or not.
    pub(crate) fn membership(&self) -> (LogIndex, &Membership) {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some((entry.index, membership)),
                _ => None,
            })
            .unwrap_or((self.snapshot.index, &self.snapshot.membership))
    }

    /// Returns the membership as of `index`.
    pub(crate) fn membership_at(&self, index: LogIndex) -> Membership {
        self.entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index)
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some(membership.clone()),
                _ => None,
            })
            .unwrap_or_else(|| self.snapshot.membership.clone())
    }

    /// Replaces all entries up to `snapshot.index` with the snapshot.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let dropped = (snapshot.index.0 - self.snapshot.index.0) as usize;
        self.entries.drain(..dropped.min(self.entries.len()));
        self.snapshot = snapshot;
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
