//! Answers of the store, and what they tell of the path to it.

use super::{NodeCore, STORE_FAILURE_REPORT_WINDOW};
use crate::core::message::{Output, StoreTask};
use crate::core::relays::STANDBY_RELAY_MAX_AGE;
use beamtray_metastore::{StoreEra, StoreOutcome};
use beamtray_types::Time;

impl NodeCore {
    /// The store's answers tell an era. With a later one all copies are read again, and what
    /// they had before stays in force until then.
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

    /// Judges whether the store itself is sound, before registrations that vanished are
    /// taken in: the trouble of some nodes' paths would have upstreams that left get
    /// requests for half of the contact time longer.
    pub(super) fn update_store_health(&mut self, now: Time) {
        let last_contact = self.control.last_store_contact();
        let was_answered = last_contact.is_some_and(|at| now.since(at) < STANDBY_RELAY_MAX_AGE);
        let failed_recently = self
            .store_failed_at
            .is_some_and(|at| now.since(at) < STORE_FAILURE_REPORT_WINDOW);
        if (was_answered && !failed_recently) || self.views.relays.any_healthy(now) {
            self.views.directory.store_is_sound(now);
        }
    }

    /// After calls that got no answer, one that does shows that the path is
    /// back. Watches that were waiting on the dead path would never hear.
    ///
    /// A watch that fails does not say when: its path may have been dead long
    /// ago. Only other calls tell that the store is in trouble now.
    fn track_store_path(&mut self, now: Time, task: &StoreTask, outcome: &StoreOutcome) {
        if matches!(outcome, StoreOutcome::Unknown) {
            self.path_failed = true;
            if !matches!(task, StoreTask::View(..)) {
                self.store_failed_at = Some(now);
                self.views.directory.store_troubled(now);
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

    /// Doubts what hung on connections from before the machine was suspended. Leases, holds
    /// and trust in relays have aged by themselves.
    pub(super) fn resumed(&mut self, now: Time) {
        self.views.restart_all(now);
        self.poll_control(now);
    }
}
