//! What a request may do as it stands, and its trials: at the node that wants to send it,
//! and at the one that lends the permits.

use super::lender::{TrialOutcome, TrialReply, TrialReport, TrialRequest};
use super::trials::{PERMIT_LIFETIME, TrialStep};
use super::{Quarantine, QuarantineEvent};
use crate::fingerprint::{Fingerprint, Fingerprints};
use crate::report::NodeHash;
use beamtray_types::Time;
use std::time::Duration;

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStatus {
    /// It is sent as any other.
    Clear,
    /// It needs a permit for this fingerprint.
    OnTrial(Fingerprint),
    /// It is refused for that long.
    Quarantined(Duration),
}

impl Quarantine {
    /// What a request may do now.
    pub(crate) fn status(&self, now: Time, fingerprints: Fingerprints) -> RequestStatus {
        if let Some(remaining) = self.remaining(now, fingerprints) {
            return RequestStatus::Quarantined(remaining);
        }
        let is_suspected = |fingerprint: &Fingerprint| {
            let suspect = self.suspects.get(fingerprint);
            suspect.is_some_and(|suspect| suspect.attempts() > 0)
        };
        let suspected = fingerprints.both().into_iter().find(is_suspected);
        suspected.map_or(RequestStatus::Clear, RequestStatus::OnTrial)
    }

    /// What a request that is on trial has to do now.
    pub(crate) fn trial_step(&mut self, now: Time, fingerprint: Fingerprint) -> TrialStep {
        self.trials.step(now, fingerprint)
    }

    /// The question to the lender. The request takes no longer than `lasts` from when it is
    /// sent.
    pub(crate) fn trial_request(
        &self,
        fingerprint: Fingerprint,
        node: NodeHash,
        number: u32,
        lasts: Duration,
    ) -> TrialRequest {
        TrialRequest {
            fingerprint,
            node,
            number,
            timeout_ms: (lasts + PERMIT_LIFETIME).as_millis() as u32,
            known: self.suspicions_of(fingerprint),
        }
    }

    /// As the lender: answers a question.
    pub fn lend_permit(&mut self, now: Time, request: &TrialRequest) -> TrialReply {
        let fingerprint = request.fingerprint;
        for suspicion in &request.known {
            self.merge(now, *suspicion);
        }
        let suspect = self.suspects.get(&fingerprint);
        let is_on_trial = suspect
            .is_some_and(|suspect| suspect.attempts() > 0 && suspect.remaining(now).is_none());
        TrialReply {
            fingerprint,
            number: request.number,
            is_lent: is_on_trial && self.lender.lend(now, request),
            known: self.suspicions_of(fingerprint),
        }
    }

    /// Takes the lender's answer.
    pub fn handle_trial_reply(&mut self, now: Time, reply: &TrialReply) {
        for suspicion in &reply.known {
            self.merge(now, *suspicion);
        }
        let TrialReply {
            fingerprint,
            number,
            is_lent,
            ..
        } = *reply;
        self.trials.handle_reply(now, fingerprint, number, is_lent);
    }

    /// A request is sent by a permit; it has its end by that time.
    pub(crate) fn begin_trial(&mut self, permit: Fingerprint, ends: Time) {
        self.trials.begin(permit, ends);
    }

    /// A trial ended, if an attempt was one.
    pub(crate) fn end_trial(&mut self, permit: Option<Fingerprint>, outcome: TrialOutcome) {
        if let Some(permit) = permit {
            self.trials.end(permit, outcome);
        }
    }

    /// Reports to the lender since the last call, of this node.
    pub fn take_trial_reports(&mut self, node: &str) -> Vec<TrialReport> {
        let ended = self.trials.take_ended();
        let events = ended.iter().map(|ended| QuarantineEvent::TrialEnded {
            fingerprint: ended.fingerprint,
            outcome: ended.outcome,
        });
        self.events.extend(events);
        ended
            .into_iter()
            .map(|ended| TrialReport {
                fingerprint: ended.fingerprint,
                node: NodeHash::of(node),
                number: ended.number,
                outcome: ended.outcome,
                known: self.suspicions_of(ended.fingerprint),
            })
            .collect()
    }

    /// As the lender: takes the outcome of a trial.
    pub fn handle_trial_report(&mut self, now: Time, report: &TrialReport) {
        for suspicion in &report.known {
            self.merge(now, *suspicion);
        }
        if self.lender.handle_report(now, report) {
            self.clear(now, report.fingerprint);
        }
    }
}
