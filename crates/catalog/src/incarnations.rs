//! Which incarnation of each upstream counts.
//!
//! Births tell incarnations apart and don't order them, so the order in which their
//! entries appeared does: one that was not seen before has replaced the one that was. The
//! replaced one does not come back by a late write, which the store may carry out seconds
//! after its writer ended. The living one writes over it with its next heartbeat.
//!
//! A node that knows neither of two incarnations may see a late write of the dead one
//! after the living one's entry, and take it for a restart. Then the living one's entry
//! stands again soon and stays, which only a writer that lives can bring about: after
//! [`REINSTATEMENT_DELAY`] it counts again. Meanwhile requests and orders reach it all the same
//! where its address is the same, since they carry the name only.

use crate::upstream::{StartTimestamp, UpstreamId, UpstreamName, UpstreamRecord};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long the entry of a replaced incarnation must stand in the store before it is
/// believed. An entry goes after three heartbeats without a write, and heartbeats of up to
/// 3 s are known; a late write is written over within one.
pub const REINSTATEMENT_DELAY: Duration = Duration::from_secs(10);
/// How long a replaced incarnation is remembered: its last write may be that late.
const REPLACED_RETENTION: Duration = Duration::from_secs(120);

/// What an entry says of its writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// It is the incarnation that counts, as before, or the first one of its name.
    Current,
    /// It counts from now on in place of that one, which has ended.
    RestartOf(UpstreamId),
    /// It was replaced by another; the entry came late.
    Replaced,
}

#[derive(Clone, Debug)]
struct Replaced {
    since: Time,
    /// Its entry, if that is what stands in the store, and since when.
    reinstatement: Option<(Time, UpstreamRecord)>,
}

#[derive(Clone, Debug)]
struct NameHistory {
    current: Option<StartTimestamp>,
    seen_at: Time,
    replaced: BTreeMap<Option<StartTimestamp>, Replaced>,
}

/// The incarnations of each name that were seen of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct Incarnations {
    by_name: BTreeMap<UpstreamName, NameHistory>,
}

impl Incarnations {
    /// Notes that an entry stands in the store.
    pub fn observe_entry(&mut self, now: Time, record: &UpstreamRecord) -> Observation {
        let id = &record.id;
        let Some(history) = self.by_name.get_mut(&id.name) else {
            let history = NameHistory {
                current: id.started_at,
                seen_at: now,
                replaced: BTreeMap::new(),
            };
            self.by_name.insert(id.name.clone(), history);
            return Observation::Current;
        };
        if history.current == id.started_at {
            history.seen_at = now;
            history.cancel_reinstatements();
            return Observation::Current;
        }
        if let Some(replaced) = history.replaced.get_mut(&id.started_at) {
            let since = replaced
                .reinstatement
                .as_ref()
                .map_or(now, |(since, _)| *since);
            replaced.reinstatement = Some((since, record.clone()));
            return Observation::Replaced;
        }
        Observation::RestartOf(UpstreamId {
            name: id.name.clone(),
            started_at: history.replace(now, id.started_at),
        })
    }

    /// Notes that no entry of a name stands in the store.
    pub fn observe_absence(&mut self, now: Time, name: &UpstreamName) {
        if let Some(history) = self.by_name.get_mut(name) {
            history.seen_at = now;
            history.cancel_reinstatements();
        }
    }

    /// Forgets what is no longer of use; the entries of replaced incarnations that have
    /// stood for long enough, each with the one that counted in its place.
    pub fn expire(
        &mut self,
        now: Time,
        is_registered: impl Fn(&UpstreamName) -> bool,
    ) -> Vec<(UpstreamId, UpstreamRecord)> {
        let mut reinstated = Vec::new();
        for (name, history) in &mut self.by_name {
            if let Some(record) = history.take_due_reinstatement(now) {
                let started_at = history.replace(now, record.id.started_at);
                let name = name.clone();
                reinstated.push((UpstreamId { name, started_at }, record));
            }
            history.replaced.retain(|_, replaced| {
                replaced.reinstatement.is_some() || now.since(replaced.since) < REPLACED_RETENTION
            });
        }
        self.by_name.retain(|name, history| {
            now.since(history.seen_at) < REPLACED_RETENTION || is_registered(name)
        });
        reinstated
    }
}

impl NameHistory {
    /// Lets another incarnation count; the one that did.
    fn replace(&mut self, now: Time, started_at: Option<StartTimestamp>) -> Option<StartTimestamp> {
        let before = std::mem::replace(&mut self.current, started_at);
        self.seen_at = now;
        self.replaced.remove(&started_at);
        self.cancel_reinstatements();
        let replaced = Replaced {
            since: now,
            reinstatement: None,
        };
        self.replaced.insert(before, replaced);
        before
    }

    fn cancel_reinstatements(&mut self) {
        for replaced in self.replaced.values_mut() {
            replaced.reinstatement = None;
        }
    }

    /// The entry of a replaced incarnation that has stood for long enough.
    fn take_due_reinstatement(&mut self, now: Time) -> Option<UpstreamRecord> {
        let is_due = |(since, _): &(Time, UpstreamRecord)| now.since(*since) >= REINSTATEMENT_DELAY;
        let mut replaced = self.replaced.values_mut();
        let reinstatement = replaced.find_map(|replaced| {
            replaced
                .reinstatement
                .take_if(|reinstatement| is_due(reinstatement))
        })?;
        Some(reinstatement.1)
    }
}
