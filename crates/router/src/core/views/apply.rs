//! Applies changes of the replicas to the node's views.

use super::{ViewName, ViewNotice, Views};
use crate::core::records::{NodeRecord, RouterKeys, RouterRecord, decode_part, decode_speeds};
use beamtray_catalog::{Configuration, DirectoryChange, UpstreamName, UpstreamRecord};
use beamtray_dispatch::SuspicionRecord;
use beamtray_metastore::{GranterRecord, Item, MirrorChange, Revision};
use beamtray_sharding::{AssignmentHead, AssignmentPart};
use beamtray_types::{ServiceName, Time};
use borsh::BorshDeserialize;
use std::collections::HashSet;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

impl Views {
    pub(super) fn apply(&mut self, now: Time, view: ViewName, mut changes: Vec<MirrorChange>) {
        drop_superseded_writes(&mut changes);
        // The newest registration at an address wins, so registrations are applied in revision
        // order.
        changes.sort_by_key(|change| match change {
            MirrorChange::Absent(_) => Revision::ABSENT,
            MirrorChange::Present(item) => item.revision,
        });
        if view == ViewName::Upstreams {
            self.remove_vanished(now, &changes);
        }
        for change in changes {
            if let MirrorChange::Absent(key) = &change {
                self.unreadable.forget(key);
                self.unknown_services.remove(key);
            }
            match view {
                ViewName::Operator => self.apply_operator(now, change),
                ViewName::Upstreams => self.apply_upstream(now, change),
                ViewName::Members | ViewName::State => self.apply_router_change(change),
            }
        }
    }

    fn apply_operator(&mut self, now: Time, change: MirrorChange) {
        let prefix = self.dialect.keys().evacuation_prefix;
        match change {
            MirrorChange::Present(item) => match item.key.strip_prefix(prefix) {
                Some(zone) => self.evacuate(now, zone),
                None => self.apply_configuration(now, item),
            },
            MirrorChange::Absent(key) => {
                if let Some(zone) = key.strip_prefix(prefix) {
                    self.readmit(now, zone);
                }
            }
        }
    }

    fn evacuate(&mut self, now: Time, zone: &str) {
        let change = self.directory.evacuate(now, zone.into());
        self.note_directory(change);
    }

    fn readmit(&mut self, now: Time, zone: &str) {
        let configuration = self.configuration.as_deref();
        let warm_up = |service: &ServiceName| {
            let service = configuration.and_then(|known| known.service(service));
            let cold_start = service.and_then(|service| service.cold_start);
            cold_start.map_or(Duration::ZERO, |cold_start| cold_start.duration)
        };
        let change = self.directory.readmit(now, zone.into(), warm_up);
        self.note_directory(change);
    }

    fn apply_configuration(&mut self, now: Time, item: Item) {
        if item.key != self.dialect.keys().configuration {
            return;
        }
        let decoded = self.dialect.decode_configuration(&item.value);
        let checked = decoded.map_err(|error| error.to_string());
        let checked = checked.and_then(|configuration| match configuration.check() {
            Ok(()) => Ok(configuration),
            Err(error) => Err(error.to_string()),
        });
        // An invalid configuration leaves the previous one in force.
        let Some(configuration) = self.readable(&item.key, checked) else {
            return;
        };
        let in_force = self.configuration.as_ref();
        if in_force.is_some_and(|known| known.version >= configuration.version) {
            return;
        }
        self.notices.push(ViewNotice::Configured {
            version: configuration.version.0,
            routes: configuration.routes.len(),
        });
        self.update_known_services(now, &configuration);
        self.configuration = Some(Rc::new(configuration));
    }

    /// Updates which services are known, and so which registrations belong to unknown services.
    fn update_known_services(&mut self, now: Time, configuration: &Configuration) {
        for record in self.unknown_services.set_known(configuration) {
            let changes = self.directory.register(now, record);
            self.note_directory(changes);
        }
        // Upstreams that registered before any configuration was known.
        let registered = self.directory.iter().map(|known| &known.record);
        let unnamed: Vec<Rc<UpstreamRecord>> = registered
            .filter(|record| self.unknown_services.is_unknown(&record.service))
            .cloned()
            .collect();
        let prefix = self.dialect.keys().upstream_prefix;
        for record in unnamed {
            let key = format!("{prefix}{}", record.id.name);
            self.set_aside(now, key, Rc::unwrap_or_clone(record));
        }
    }

    /// Stores a registration of an unknown service separately, without using it.
    fn set_aside(&mut self, now: Time, key: String, record: UpstreamRecord) {
        self.withdraw(now, &key);
        self.notices
            .extend(self.unknown_services.insert(key, record));
    }

    /// Returns the decoded value, or records that the value of the key is unreadable.
    fn readable<T>(&mut self, key: &str, decoded: Result<T, impl fmt::Display>) -> Option<T> {
        match decoded {
            Ok(value) => {
                self.unreadable.forget(key);
                Some(value)
            }
            Err(error) => {
                let notice = self.unreadable.record(key.to_owned(), &error.to_string());
                self.notices.extend(notice);
                None
            }
        }
    }

    fn apply_upstream(&mut self, now: Time, change: MirrorChange) {
        // Removals have been applied together, in `remove_vanished`.
        let MirrorChange::Present(item) = change else {
            return;
        };
        let decoded = self.dialect.decode_upstream(&item.key, &item.value);
        let Some(record) = self.readable(&item.key, decoded) else {
            self.unknown_services.remove(&item.key);
            return self.withdraw(now, &item.key);
        };
        if self.unknown_services.is_unknown(&record.service) {
            return self.set_aside(now, item.key, record);
        }
        self.unknown_services.remove(&item.key);
        let changes = self.directory.register(now, record);
        self.note_directory(changes);
    }

    /// Removes the registration that the key had before.
    fn withdraw(&mut self, now: Time, key: &str) {
        let prefix = self.dialect.keys().upstream_prefix;
        let name = UpstreamName(key.strip_prefix(prefix).unwrap_or(key).to_owned());
        let change = self.directory.withdraw(now, &name);
        self.note_directory(change);
    }

    fn remove_vanished(&mut self, now: Time, changes: &[MirrorChange]) {
        let prefix = self.dialect.keys().upstream_prefix;
        let absent = changes.iter().filter_map(|change| match change {
            MirrorChange::Absent(key) => key.strip_prefix(prefix),
            MirrorChange::Present(_) => None,
        });
        let names: Vec<UpstreamName> = absent.map(|name| UpstreamName(name.to_owned())).collect();
        if !names.is_empty() {
            let changes = self.directory.handle_missing(now, &names);
            self.note_directory(changes);
        }
    }

    pub(super) fn note_directory(&mut self, changes: impl IntoIterator<Item = DirectoryChange>) {
        self.notices
            .extend(changes.into_iter().map(ViewNotice::Directory));
    }

    fn apply_router_change(&mut self, change: MirrorChange) {
        match change {
            MirrorChange::Present(item) => self.apply_record(item),
            MirrorChange::Absent(key) => {
                if key == RouterKeys::GRANTER {
                    self.granter_left();
                } else if let Some(name) = key.strip_prefix(RouterKeys::NODES) {
                    self.nodes.remove(name);
                    self.nodes_changed = true;
                }
            }
        }
    }

    fn granter_left(&mut self) {
        let epoch = self.granter.take().map_or(0, |granter| granter.epoch.0);
        self.notices.push(ViewNotice::Granter { node: None, epoch });
    }

    fn apply_record(&mut self, item: Item) {
        let Item { key, value, .. } = item;
        match RouterRecord::parse(&key) {
            Some(RouterRecord::Head(service)) => {
                let head = self.readable(&key, AssignmentHead::try_from_slice(&value));
                if let Some(head) = head {
                    self.apply_head(service, head);
                }
            }
            Some(RouterRecord::Part(service, part)) => {
                let decoded = decode_part(part, &value);
                if let Some(part) = self.readable(&key, decoded) {
                    self.apply_part(service, part);
                }
            }
            Some(RouterRecord::Node(name)) => {
                match self.readable(&key, NodeRecord::try_from_slice(&value)) {
                    Some(record) => self.nodes.insert(name, record),
                    None => self.nodes.remove(&name),
                };
                self.nodes_changed = true;
            }
            Some(RouterRecord::Speeds) => {
                self.speeds = self.readable(&key, decode_speeds(&value));
            }
            Some(RouterRecord::Suspicions) => {
                let record = self.readable(&key, SuspicionRecord::try_from_slice(&value));
                self.suspicions = record.or(self.suspicions.take());
            }
            Some(RouterRecord::Granter) => {
                match self.readable(&key, GranterRecord::try_from_slice(&value)) {
                    Some(record) => self.granter_seen(record),
                    None => self.granter_left(),
                }
            }
            None => {}
        }
    }

    fn granter_seen(&mut self, record: GranterRecord) {
        self.notices.push(ViewNotice::Granter {
            node: Some(record.node.clone()),
            epoch: record.epoch.0,
        });
        self.granter = Some(record);
    }

    fn apply_head(&mut self, service: ServiceName, head: AssignmentHead) {
        let number = head.number;
        let assignment = self.assignments.entry(service.clone()).or_default();
        if Rc::make_mut(assignment).apply_head(head) {
            self.changed_assignments.insert(service.clone());
            self.notices.push(ViewNotice::Assigned {
                service,
                epoch: number.epoch.0,
                sequence: number.sequence,
            });
        }
    }

    fn apply_part(&mut self, service: ServiceName, part: AssignmentPart) {
        let assignment = self.assignments.entry(service.clone()).or_default();
        if Rc::make_mut(assignment).apply_part(part) {
            self.changed_assignments.insert(service);
        }
    }
}

/// Drops writes of entries that are later removed. Removals are applied first and together, so such
/// a write would otherwise undo the removal: one store response may contain both an upstream's last
/// write of its entry and its removal.
fn drop_superseded_writes(changes: &mut Vec<MirrorChange>) {
    let mut removed: HashSet<String> = HashSet::new();
    let mut kept: Vec<MirrorChange> = Vec::with_capacity(changes.len());
    for change in changes.drain(..).rev() {
        match &change {
            MirrorChange::Absent(key) => {
                removed.insert(key.clone());
            }
            MirrorChange::Present(item) if removed.contains(&item.key) => continue,
            MirrorChange::Present(_) => {}
        }
        kept.push(change);
    }
    kept.reverse();
    *changes = kept;
}
