//! One node's trials of requests that are under suspicion.

use super::lender::TrialOutcome;
use crate::fingerprint::Fingerprint;
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long the lender's answer is waited for, and how long after the question a permit may
/// be used: longer than a way across zones and back, and a turn of a node that has little
/// processor time.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a permit that came may go unused, from the question on. The lender counts it
/// from later.
pub(super) const PERMIT_LIFETIME: Duration = Duration::from_millis(300);
/// Pause after the lender had no permit: about what a request takes.
const DENIAL_BACKOFF: Duration = Duration::from_millis(40);
/// How long after the end of a trial's attempt proof of what became of its upstream is
/// waited for.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The lender was asked.
    Asked,
    /// It had none.
    Denied,
    /// A permit is here.
    Held,
    /// It is used: a request is under way, or the proof of what it did.
    UnderWay,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    number: u32,
    stage: Stage,
    asked: Time,
    /// When this stage ends if nothing happens.
    until: Time,
}

/// What a request that is under suspicion has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialStep {
    /// The lender is asked, with that number.
    Ask(u32),
    /// Something is waited for.
    Wait,
    /// It may be sent, once.
    Send,
}

/// A trial that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndedTrial {
    pub fingerprint: Fingerprint,
    pub number: u32,
    pub outcome: TrialOutcome,
}

/// The trials.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalTrials {
    trials: HashMap<Fingerprint, Trial>,
    last_number: u32,
    ended: Vec<EndedTrial>,
}

impl LocalTrials {
    /// Numbers of different processes must differ.
    pub fn set_last_number(&mut self, number: u32) {
        self.last_number = number;
    }

    /// What a request has to do now.
    pub fn step(&mut self, now: Time, fingerprint: Fingerprint) -> TrialStep {
        self.expire(now);
        if let Some(trial) = self.trials.get(&fingerprint) {
            return match trial.stage {
                Stage::Held => TrialStep::Send,
                Stage::Asked | Stage::Denied | Stage::UnderWay => TrialStep::Wait,
            };
        }
        self.last_number = self.last_number.wrapping_add(1);
        let trial = Trial {
            number: self.last_number,
            stage: Stage::Asked,
            asked: now,
            until: now + REPLY_TIMEOUT,
        };
        self.trials.insert(fingerprint, trial);
        TrialStep::Ask(trial.number)
    }

    /// Takes the lender's answer.
    pub fn handle_reply(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        number: u32,
        is_lent: bool,
    ) {
        let trial = self.trials.get_mut(&fingerprint);
        match trial.filter(|trial| trial.number == number) {
            Some(trial) if trial.stage != Stage::Asked => {}
            Some(trial) if is_lent => {
                trial.stage = Stage::Held;
                trial.until = trial.asked + PERMIT_LIFETIME;
            }
            Some(trial) => {
                trial.stage = Stage::Denied;
                trial.until = now + DENIAL_BACKOFF;
            }
            // It came too late: the lender need not wait for what will not be.
            None if is_lent => self.ended.push(EndedTrial {
                fingerprint,
                number,
                outcome: TrialOutcome::Unused,
            }),
            None => {}
        }
    }

    /// A request is sent by the permit; it has its end by that time.
    pub fn begin(&mut self, fingerprint: Fingerprint, ends: Time) {
        if let Some(trial) = self.trials.get_mut(&fingerprint) {
            trial.stage = Stage::UnderWay;
            trial.until = ends + CONFIRMATION_TIMEOUT;
        }
    }

    /// The trial ended.
    pub fn end(&mut self, fingerprint: Fingerprint, outcome: TrialOutcome) {
        let trial = self.trials.get(&fingerprint);
        let Some(trial) = trial.filter(|trial| trial.stage == Stage::UnderWay) else {
            return;
        };
        self.ended.push(EndedTrial {
            fingerprint,
            number: trial.number,
            outcome,
        });
        self.trials.remove(&fingerprint);
    }

    /// Trials that ended since the last call.
    pub fn take_ended(&mut self) -> Vec<EndedTrial> {
        std::mem::take(&mut self.ended)
    }

    /// Ends what took too long.
    pub fn expire(&mut self, now: Time) {
        let ended = &mut self.ended;
        self.trials.retain(|fingerprint, trial| {
            if now < trial.until {
                return true;
            }
            let outcome = match trial.stage {
                Stage::Asked | Stage::Denied => return false,
                Stage::Held => TrialOutcome::Unused,
                Stage::UnderWay => TrialOutcome::Unknown,
            };
            ended.push(EndedTrial {
                fingerprint: *fingerprint,
                number: trial.number,
                outcome,
            });
            false
        });
    }
}
