//! Determines the current incarnation of each upstream.
//!
//! Start timestamps distinguish incarnations but do not order them, so incarnations are
//! ordered by when their entries first appear: a new incarnation replaces the current one.
//! A replaced incarnation does not return because of a late write, which the store may
//! apply seconds after the writer has terminated; the live incarnation overwrites it with its
//! next heartbeat.
//!
//! A node that knows neither of two incarnations may see a late write of the terminated one after
//! the entry of the live one, and mistake it for a restart. The live incarnation then soon
//! overwrites the entry and keeps it, which only a live writer can do, so after
//! [`REINSTATEMENT_DELAY`] it is current again. Until then requests and orders still reach
//! it if its address is unchanged, since they carry only the name.

use crate::upstream::{StartTimestamp, UpstreamId, UpstreamName, UpstreamRecord};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long the entry of a replaced incarnation must stay in the store before the
/// incarnation is reinstated. An entry expires after three heartbeats without a write, with
/// heartbeats of up to 3 s in use; a late write is overwritten within one heartbeat.
pub const REINSTATEMENT_DELAY: Duration = Duration::from_secs(10);
/// How long a replaced incarnation is remembered, since its last write may arrive that late.
const REPLACED_RETENTION: Duration = Duration::from_secs(120);

/// How an observed entry relates to the known incarnations of its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// The entry is of the current incarnation, or of the first one of its name.
    Current,
    /// The entry is of a new incarnation that replaces the given one, which has terminated.
    RestartOf(UpstreamId),
    /// The entry is a late write of a replaced incarnation.
    Replaced,
}

#[derive(Clone, Debug)]
struct Replaced {
    since: Time,
    /// Its entry and when that appeared, if it is the one in the store.
    reinstatement: Option<(Time, UpstreamRecord)>,
}

#[derive(Clone, Debug)]
struct NameHistory {
    current: Option<StartTimestamp>,
    seen_at: Time,
    replaced: BTreeMap<Option<StartTimestamp>, Replaced>,
}

/// The recently seen incarnations of each name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Incarnations {
    by_name: BTreeMap<UpstreamName, NameHistory>,
}

impl Incarnations {
    /// Records that an entry is present in the store.
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

    /// Records that the store has no entry for a name.
    pub fn observe_absence(&mut self, now: Time, name: &UpstreamName) {
        if let Some(history) = self.by_name.get_mut(name) {
            history.seen_at = now;
            history.cancel_reinstatements();
        }
    }

    /// Drops outdated records and reinstates replaced incarnations whose entries have stayed
    /// in the store for [`REINSTATEMENT_DELAY`]. Returns the entry of each reinstated
    /// incarnation, with the incarnation that it replaces.
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
    /// Makes another incarnation the current one and returns the previous one.
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

    /// Takes the entry of a replaced incarnation that is due for reinstatement.
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
