//! Answers of the store, and what they tell of the path to it.

use super::{NodeCore, TROUBLE_TOLD};
use crate::core::message::{Output, StoreTask};
use crate::core::relays::STANDBY_TRUST;
use beamtray_metastore::{StoreEra, StoreOutcome};
use beamtray_types::Time;

impl NodeCore {
    /// The store's answers tell an era. With a later one all copies are read again, and what
    /// they had before stays in force until then.
    pub(super) fn store_era(&mut self, now: Time, era: StoreEra) {
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

    pub(super) fn store(&mut self, now: Time, task: &StoreTask, outcome: StoreOutcome) {
        self.follow_path(now, task, &outcome);
        match task {
            StoreTask::View(view, generation) => {
                self.judge_store(now);
                self.views.handle(now, *view, *generation, outcome);
                self.viewed(now);
            }
            task => {
                let known = &self.views.assignments;
                self.control.handle_store(now, task, outcome, known);
            }
        }
        if let Some(snapshot) = self.control.take_reading() {
            self.views.adopt(now, vec![snapshot]);
            self.viewed(now);
        }
        let written = self.control.take_written();
        if !written.is_empty() {
            for item in written {
                self.views.wrote(now, item);
            }
            self.viewed(now);
        }
        self.poll_control(now);
    }

    /// Judges whether the store itself is sound, before registrations that vanished are
    /// taken in: the trouble of some nodes' paths would have upstreams that left get
    /// requests for half of the contact time longer.
    pub(super) fn judge_store(&mut self, now: Time) {
        let sound_at = self.control.store_sound_at();
        let is_answered = sound_at.is_some_and(|at| now.since(at) < STANDBY_TRUST);
        let had_trouble = self
            .trouble_at
            .is_some_and(|at| now.since(at) < TROUBLE_TOLD);
        if (is_answered && !had_trouble) || self.views.relays.any_untroubled(now) {
            self.views.directory.note_store_healthy(now);
        }
    }

    /// After calls that got no answer, one that does shows that the path is
    /// back. Watches that were waiting on the dead path would never hear.
    ///
    /// A watch that fails does not say when: its path may have been dead long
    /// ago. Only other calls tell that the store is in trouble now.
    fn follow_path(&mut self, now: Time, task: &StoreTask, outcome: &StoreOutcome) {
        if matches!(outcome, StoreOutcome::Unknown) {
            self.path_failed = true;
            if !matches!(task, StoreTask::View(..)) {
                self.trouble_at = Some(now);
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

    /// Doubts what hung on connections from before the machine was suspended. Leases, holds
    /// and trust in relays have aged by themselves.
    pub(super) fn woke(&mut self, now: Time) {
        self.views.restart_all(now);
        self.poll_control(now);
    }
}
