//! Responses of the store, and what they show about the path to it.

use super::{NodeCore, STORE_FAILURE_REPORT_WINDOW};
use crate::core::message::{Output, StoreTask};
use crate::core::relays::STANDBY_RELAY_MAX_AGE;
use beamtray_metastore::{StoreEra, StoreOutcome};
use beamtray_types::Time;

impl NodeCore {
    /// Handles an era reported by the store. After a newer one, all views are read again; their
    /// previous contents stay in force until then.
    pub(super) fn handle_store_era(&mut self, now: Time, era: StoreEra) {
        if self.era.is_some_and(|known| era <= known) {
            return;
        }
        let before = self.era.replace(era);
        self.outputs.push(Output::StoreEra { before, era });
        if before.is_some() {
            self.views.restart_all(now);
        }
        self.control.begin_era(era);
    }

    pub(super) fn handle_store(&mut self, now: Time, task: &StoreTask, outcome: StoreOutcome) {
        self.track_store_path(now, task, &outcome);
        match task {
            StoreTask::View(view, generation) => {
                self.update_store_health(now);
                self.views.handle(now, *view, *generation, outcome);
                self.apply_view_changes(now);
            }
            task => {
                let known = &self.views.assignments;
                self.control.handle_store(now, task, outcome, known);
            }
        }
        if let Some(snapshot) = self.control.take_loaded_state() {
            self.views.adopt(now, vec![snapshot]);
            self.apply_view_changes(now);
        }
        let written = self.control.take_own_writes();
        if !written.is_empty() {
            for item in written {
                self.views.record_own_write(now, item);
            }
            self.apply_view_changes(now);
        }
        self.poll_control(now);
    }

    /// Determines whether the store itself is healthy, before vanished registrations are applied.
    /// If path failures of single nodes counted as store failures, upstreams that left would
    /// receive requests for half of the contact time longer.
    pub(super) fn update_store_health(&mut self, now: Time) {
        let last_contact = self.control.last_store_contact();
        let was_answered = last_contact.is_some_and(|at| now.since(at) < STANDBY_RELAY_MAX_AGE);
        let failed_recently = self
            .store_failed_at
            .is_some_and(|at| now.since(at) < STORE_FAILURE_REPORT_WINDOW);
        if (was_answered && !failed_recently) || self.views.relays.any_healthy(now) {
            self.views.directory.note_store_healthy(now);
        }
    }

    /// Treats an answered call after unanswered ones as proof that the path has recovered. Watches
    /// that were waiting on the dead path would never return.
    ///
    /// The failure of a watch doesn't show when it occurred: its path may have been dead for long.
    /// Only other calls show that the store is failing now.
    fn track_store_path(&mut self, now: Time, task: &StoreTask, outcome: &StoreOutcome) {
        if matches!(outcome, StoreOutcome::Unknown) {
            self.path_failed = true;
            if !matches!(task, StoreTask::View(..)) {
                self.store_failed_at = Some(now);
                self.views.directory.note_store_failure(now);
            }
            return;
        }
        if matches!(outcome, StoreOutcome::Refused) {
            self.was_refused = true;
            return;
        }
        let was_refused = std::mem::take(&mut self.was_refused);
        if std::mem::take(&mut self.path_failed) {
            self.views.restart_all(now);
        } else if was_refused {
            self.views.retry_all(now);
        }
    }

    /// Restarts what depends on connections from before the machine was suspended. Leases, holds
    /// and trust in relays have expired by themselves.
    pub(super) fn resumed(&mut self, now: Time) {
        self.views.restart_all(now);
        self.poll_control(now);
    }
}
