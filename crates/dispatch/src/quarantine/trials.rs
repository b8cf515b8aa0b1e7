//! One node's trials of suspected requests.

use super::issuer::TrialOutcome;
use crate::fingerprint::Fingerprint;
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long the issuer's reply is awaited: longer than a round trip between zones plus the
/// scheduling delay of a node with little CPU time.
const TRIAL_PERMIT_REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// How long after the permit request a permit may be used. For the issuer the time starts
/// later.
pub(super) const PERMIT_LIFETIME: Duration = Duration::from_millis(300);
/// Delay after the issuer denied a permit: about the duration of a request.
const DENIAL_BACKOFF: Duration = Duration::from_millis(40);
/// How long after the end of a trial's attempt the confirmation whether its upstream terminated
/// is awaited.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The issuer was asked.
    Asked,
    /// The issuer denied a permit.
    Denied,
    /// A permit is available.
    Held,
    /// The permit is in use: the request is in flight, or the confirmation of its outcome is
    /// awaited.
    UnderWay,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    number: u32,
    stage: Stage,
    asked_at: Time,
    /// When this stage ends if nothing happens.
    until: Time,
}

/// Next step of a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialStep {
    /// Ask the issuer, using this number.
    Ask(u32),
    /// Wait.
    Wait,
    /// Send the request, once.
    Send,
}

/// A trial that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndedTrial {
    pub fingerprint: Fingerprint,
    pub number: u32,
    pub outcome: TrialOutcome,
}

/// The trials of one node.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalTrials {
    trials: HashMap<Fingerprint, Trial>,
    last_number: u32,
    ended: Vec<EndedTrial>,
}

impl LocalTrials {
    /// Sets the number after which permit requests are numbered. It must differ between
    /// processes of a node.
    pub fn set_last_number(&mut self, number: u32) {
        self.last_number = number;
    }

    /// Returns the next step of a request.
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
            asked_at: now,
            until: now + TRIAL_PERMIT_REPLY_TIMEOUT,
        };
        self.trials.insert(fingerprint, trial);
        TrialStep::Ask(trial.number)
    }

    /// Handles the issuer's reply.
    pub fn handle_reply(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        number: u32,
        is_issued: bool,
    ) {
        let trial = self.trials.get_mut(&fingerprint);
        match trial.filter(|trial| trial.number == number) {
            Some(trial) if trial.stage != Stage::Asked => {}
            Some(trial) if is_issued => {
                trial.stage = Stage::Held;
                trial.until = trial.asked_at + PERMIT_LIFETIME;
            }
            Some(trial) => {
                trial.stage = Stage::Denied;
                trial.until = now + DENIAL_BACKOFF;
            }
            // The reply came too late. Reporting the permit as unused spares the issuer from
            // waiting for an outcome.
            None if is_issued => self.ended.push(EndedTrial {
                fingerprint,
                number,
                outcome: TrialOutcome::Unused,
            }),
            None => {}
        }
    }

    /// Records that a request is sent with the permit; its attempt ends by `ends`.
    pub fn begin(&mut self, fingerprint: Fingerprint, ends: Time) {
        if let Some(trial) = self.trials.get_mut(&fingerprint) {
            trial.stage = Stage::UnderWay;
            trial.until = ends + CONFIRMATION_TIMEOUT;
        }
    }

    /// Records the end of a trial.
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

    /// Takes the trials that ended since the last call.
    pub fn take_ended(&mut self) -> Vec<EndedTrial> {
        std::mem::take(&mut self.ended)
    }

    /// Ends stages that have timed out.
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
