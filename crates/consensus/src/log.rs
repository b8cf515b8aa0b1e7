//! The log's entries and the snapshot that precedes them.

use crate::membership::Membership;
use beamtray_types::{LogIndex, Term};
use borsh::{BorshDeserialize, BorshSerialize};

/// What an entry does when it is applied.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term.
    Noop,
    /// A command of the application.
    Command(Vec<u8>),
    /// A change of members, in force as soon as it is in the log.
    Membership(Membership),
}

/// One entry.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Entry {
    /// Term of the leader that wrote it.
    pub term: Term,
    /// Its position.
    pub index: LogIndex,
    /// What it does.
    pub payload: Payload,
}

/// The application's state up to an index.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Snapshot {
    /// Last index that the state includes.
    pub index: LogIndex,
    /// Term of that index.
    pub term: Term,
    /// Members as of that index.
    pub membership: Membership,
    /// The application's encoding of its state.
    pub data: Vec<u8>,
}

/// A snapshot and the entries that follow it without a gap.
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

    /// Term of the entry at `index`, when the log still knows it.
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

    /// Entries from `first` on, at most `limit`.
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

    /// Adds a leader's entries, dropping what conflicts with them.
    ///
    /// Entries that are already there are kept even when the message holds
    /// fewer than the log: a late, shorter message must not undo a longer one.
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

    /// The members in force: the last change in the log, committed or not.
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

    /// The last change of members at or below `index`.
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

    /// Replaces everything up to `snapshot.index` by the snapshot.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let dropped = (snapshot.index.0 - self.snapshot.index.0) as usize;
        self.entries.drain(..dropped.min(self.entries.len()));
        self.snapshot = snapshot;
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
