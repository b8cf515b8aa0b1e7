//! Trials of suspected requests: requesting permits from an issuer, and issuing them.
//!
//! The issuer of a request is chosen among the registered nodes by rendezvous hashing. All nodes
//! that see the same registrations thus ask the same issuer, and no node is asked for all requests.
//! Another node becomes the issuer only once the registration of the current one has expired; a
//! node that can't reach the issuer sends no such request in the meantime.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use beamtray_dispatch::{Fingerprint, TrialReply, TrialReport, TrialRequest};
use beamtray_types::Time;
use std::net::SocketAddr;

impl NodeCore {
    /// Requests a permit from the issuer.
    pub(super) fn request_trial(&mut self, now: Time, request: TrialRequest) {
        match self.other_issuer(request.fingerprint) {
            Some(issuer) => self.send_to(Datagram::TrialRequest(request), issuer),
            None => {
                let reply = self.dispatcher.quarantine_mut().issue_permit(now, &request);
                self.handle_trial_reply(now, &reply);
                if reply.is_issued {
                    self.dispatch(now);
                }
            }
        }
    }

    /// As the issuer, answers a permit request.
    pub(super) fn issue_trial_permit(
        &mut self,
        now: Time,
        from: SocketAddr,
        request: &TrialRequest,
    ) {
        let reply = self.dispatcher.quarantine_mut().issue_permit(now, request);
        self.send_to(Datagram::TrialReply(reply), from);
    }

    /// Handles the issuer's reply.
    pub(super) fn handle_trial_reply(&mut self, now: Time, reply: &TrialReply) {
        self.dispatcher
            .quarantine_mut()
            .handle_trial_reply(now, reply);
    }

    /// As the issuer, handles the outcome of a trial.
    pub(super) fn handle_trial_report(&mut self, now: Time, report: &TrialReport) {
        let quarantine = self.dispatcher.quarantine_mut();
        quarantine.handle_trial_report(now, report);
    }

    /// Reports the outcomes of trials to the issuers.
    pub(super) fn report_trials(&mut self, now: Time) {
        let node = &self.config.dispatch.node;
        let reports = self.dispatcher.quarantine_mut().take_trial_reports(node);
        for report in reports {
            match self.other_issuer(report.fingerprint) {
                Some(issuer) => self.send_to(Datagram::TrialReport(report), issuer),
                None => self.handle_trial_report(now, &report),
            }
        }
    }

    /// The issuer of a request, if it is another node.
    fn other_issuer(&self, fingerprint: Fingerprint) -> Option<SocketAddr> {
        let issuer = self.membership.issuer(fingerprint)?;
        (issuer != self.config.control.record.peers).then_some(issuer)
    }

    fn send_to(&mut self, datagram: Datagram, to: SocketAddr) {
        self.outputs.push(Output::Send(datagram, vec![to]));
    }
}
