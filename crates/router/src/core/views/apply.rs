//! Turns changes of the copies into what the node believes.

use super::{ViewName, ViewNotice, Views};
use crate::core::records::{AssignmentKey, NodeRecord, OwnKeys};
use beamtray_catalog::{DirectoryChange, UpstreamName};
use beamtray_dispatch::{SpeedRecord, SuspicionRecord};
use beamtray_metastore::{GranterRecord, Item, MirrorChange, Revision};
use beamtray_sharding::{AssignmentHead, AssignmentPart};
use beamtray_types::Time;
use borsh::BorshDeserialize;
use std::io;
use std::rc::Rc;

impl Views {
    pub(super) fn apply(&mut self, now: Time, view: ViewName, mut changes: Vec<MirrorChange>) {
        // The newest registration at an address counts, so in their order.
        changes.sort_by_key(|change| match change {
            MirrorChange::Absent(_) => Revision(0),
            MirrorChange::Present(item) => item.revision,
        });
        if view == ViewName::Upstreams {
            self.vanish(now, &changes);
        }
        for change in changes {
            match view {
                ViewName::Operator => self.apply_operator(change),
                ViewName::Upstreams => self.apply_upstream(now, change),
                ViewName::Members | ViewName::State => self.apply_own(change),
            }
        }
    }

    fn apply_operator(&mut self, change: MirrorChange) {
        let MirrorChange::Present(item) = change else {
            return;
        };
        if item.key != self.dialect.keys().configuration {
            return;
        }
        let decoded = self.dialect.decode_configuration(&item.value);
        let configuration = match decoded {
            Ok(configuration) => configuration,
            Err(error) => return self.unreadable(item.key, error.to_string()),
        };
        if let Err(error) = configuration.check() {
            return self.unreadable(item.key, error.to_string());
        }
        let in_force = self.configuration.as_ref();
        if in_force.is_some_and(|known| known.version >= configuration.version) {
            return;
        }
        self.notices.push(ViewNotice::Configured {
            version: configuration.version.0,
            routes: configuration.routes.len(),
        });
        self.configuration = Some(Rc::new(configuration));
    }

    fn unreadable(&mut self, key: String, cause: String) {
        self.notices.push(ViewNotice::Unreadable { key, cause });
    }

    fn apply_upstream(&mut self, now: Time, change: MirrorChange) {
        match change {
            MirrorChange::Present(item) => {
                match self.dialect.decode_upstream(&item.key, &item.value) {
                    Ok(record) => {
                        let changes = self.directory.register(now, record);
                        self.note_directory(changes);
                    }
                    Err(error) => self.unreadable(item.key, error.to_string()),
                }
            }
            // Taken together before.
            MirrorChange::Absent(_) => {}
        }
    }

    fn vanish(&mut self, now: Time, changes: &[MirrorChange]) {
        let prefix = self.dialect.keys().upstream_prefix;
        let absent = changes.iter().filter_map(|change| match change {
            MirrorChange::Absent(key) => key.strip_prefix(prefix),
            MirrorChange::Present(_) => None,
        });
        let names: Vec<UpstreamName> = absent.map(|name| UpstreamName(name.to_owned())).collect();
        if !names.is_empty() {
            let changes = self.directory.vanish(now, &names);
            self.note_directory(changes);
        }
    }

    pub(super) fn note_directory(&mut self, changes: impl IntoIterator<Item = DirectoryChange>) {
        self.notices
            .extend(changes.into_iter().map(ViewNotice::Directory));
    }

    fn apply_own(&mut self, change: MirrorChange) {
        match change {
            MirrorChange::Present(item) => self.apply_record(item),
            MirrorChange::Absent(key) => {
                if key == OwnKeys::GRANTER {
                    let epoch = self.granter.take().map_or(0, |granter| granter.epoch.0);
                    self.notices.push(ViewNotice::Granter { node: None, epoch });
                } else if let Some(name) = key.strip_prefix(OwnKeys::NODES) {
                    self.nodes.remove(name);
                    self.nodes_changed = true;
                }
            }
        }
    }

    fn apply_record(&mut self, item: Item) {
        if let Some(key) = OwnKeys::assignment_key(&item.key) {
            if let Err(error) = self.assigned(key, &item.value) {
                self.unreadable(item.key, error.to_string());
            }
        } else if let Some(name) = item.key.strip_prefix(OwnKeys::NODES) {
            if let Ok(record) = NodeRecord::try_from_slice(&item.value) {
                self.nodes.insert(name.to_owned(), record);
                self.nodes_changed = true;
            }
        } else if item.key == OwnKeys::SPEEDS {
            self.speeds = SpeedRecord::try_from_slice(&item.value).ok();
        } else if item.key == OwnKeys::SUSPICIONS {
            match SuspicionRecord::try_from_slice(&item.value) {
                Ok(record) => self.suspicions = Some(record),
                Err(error) => self.unreadable(item.key, error.to_string()),
            }
        } else if item.key == OwnKeys::GRANTER
            && let Ok(record) = GranterRecord::try_from_slice(&item.value)
        {
            self.notices.push(ViewNotice::Granter {
                node: Some(record.node.clone()),
                epoch: record.epoch.0,
            });
            self.granter = Some(record);
        }
    }

    fn assigned(&mut self, key: AssignmentKey, value: &[u8]) -> io::Result<()> {
        match key {
            AssignmentKey::Head(service) => {
                let head = AssignmentHead::try_from_slice(value)?;
                let number = head.number;
                let assignment = self.assignments.entry(service.clone()).or_default();
                if Rc::make_mut(assignment).take_head(head) {
                    self.assigned.insert(service.clone());
                    self.notices.push(ViewNotice::Assigned {
                        service,
                        epoch: number.epoch.0,
                        sequence: number.sequence,
                    });
                }
            }
            AssignmentKey::Part(service, _) => {
                let part = AssignmentPart::try_from_slice(value)?;
                let assignment = self.assignments.entry(service.clone()).or_default();
                if Rc::make_mut(assignment).take_part(part) {
                    self.assigned.insert(service);
                }
            }
        }
        Ok(())
    }
}
