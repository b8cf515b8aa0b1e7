//! Quarantine status of requests, and their trials: at the node that wants to send the request,
//! and at the node that issues the permits.

use super::issuer::{TrialOutcome, TrialReply, TrialReport, TrialRequest};
use super::trials::{PERMIT_LIFETIME, TrialStep};
use super::{Quarantine, QuarantineEvent};
use crate::fingerprint::{Fingerprint, Fingerprints};
use crate::report::NodeHash;
use beamtray_types::Time;
use std::time::Duration;

/// Quarantine status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStatus {
    /// Not suspected: it is sent like any other.
    Clear,
    /// Suspected: it needs a permit for this fingerprint.
    OnTrial(Fingerprint),
    /// Refused for this long.
    Quarantined(Duration),
}

impl Quarantine {
    /// Returns the current status of a request.
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

    /// Returns the next step of a suspected request.
    pub(crate) fn trial_step(&mut self, now: Time, fingerprint: Fingerprint) -> TrialStep {
        self.trials.step(now, fingerprint)
    }

    /// Builds the permit request for the issuer. The suspected request ends at most `timeout`
    /// after it is sent.
    pub(crate) fn trial_request(
        &self,
        fingerprint: Fingerprint,
        node: NodeHash,
        number: u32,
        timeout: Duration,
    ) -> TrialRequest {
        TrialRequest {
            fingerprint,
            node,
            number,
            timeout_ms: (timeout + PERMIT_LIFETIME).as_millis() as u32,
            known: self.suspicions_of(fingerprint),
        }
    }

    /// As the issuer: handles a permit request.
    pub fn issue_permit(&mut self, now: Time, request: &TrialRequest) -> TrialReply {
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
            is_issued: is_on_trial && self.issuer.issue(now, request),
            known: self.suspicions_of(fingerprint),
        }
    }

    /// Handles the issuer's reply.
    pub fn handle_trial_reply(&mut self, now: Time, reply: &TrialReply) {
        for suspicion in &reply.known {
            self.merge(now, *suspicion);
        }
        let TrialReply {
            fingerprint,
            number,
            is_issued,
            ..
        } = *reply;
        self.trials
            .handle_reply(now, fingerprint, number, is_issued);
    }

    /// Records that a request is sent with a permit; its attempt ends by `ends`.
    pub(crate) fn begin_trial(&mut self, permit: Fingerprint, ends: Time) {
        self.trials.begin(permit, ends);
    }

    /// Records the end of an attempt, if it was a trial.
    pub(crate) fn end_trial(&mut self, permit: Option<Fingerprint>, outcome: TrialOutcome) {
        if let Some(permit) = permit {
            self.trials.end(permit, outcome);
        }
    }

    /// Takes the outcomes of this node's trials since the last call, to be sent to the issuers.
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

    /// As the issuer: handles the outcome of a trial.
    pub fn handle_trial_report(&mut self, now: Time, report: &TrialReport) {
        for suspicion in &report.known {
            self.merge(now, *suspicion);
        }
        if self.issuer.handle_report(now, report) {
            self.clear(now, report.fingerprint);
        }
    }
}
