//! Trials of suspected requests: requesting permits from a lender, and lending them.
//!
//! The lender of a request is chosen among the registered nodes by rendezvous hashing. All nodes
//! that see the same registrations thus ask the same lender, and no node is asked for all requests.
//! Another node becomes the lender only once the registration of the current one is gone; a node
//! that can't reach the lender sends no such request in the meantime.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use beamtray_dispatch::{Fingerprint, TrialReply, TrialReport, TrialRequest};
use beamtray_types::Time;
use std::net::SocketAddr;

impl NodeCore {
    /// Requests a permit from the lender.
    pub(super) fn request_trial(&mut self, now: Time, request: TrialRequest) {
        match self.other_lender(request.fingerprint) {
            Some(lender) => self.send_to(Datagram::TrialRequest(request), lender),
            None => {
                let reply = self.dispatcher.quarantine_mut().lend_permit(now, &request);
                self.handle_trial_reply(now, &reply);
                if reply.is_lent {
                    self.dispatch(now);
                }
            }
        }
    }

    /// As the lender, answers a permit request.
    pub(super) fn lend_trial(&mut self, now: Time, from: SocketAddr, request: &TrialRequest) {
        let reply = self.dispatcher.quarantine_mut().lend_permit(now, request);
        self.send_to(Datagram::TrialReply(reply), from);
    }

    /// Handles the lender's reply.
    pub(super) fn handle_trial_reply(&mut self, now: Time, reply: &TrialReply) {
        self.dispatcher
            .quarantine_mut()
            .handle_trial_reply(now, reply);
    }

    /// As the lender, handles the outcome of a trial.
    pub(super) fn handle_trial_report(&mut self, now: Time, report: &TrialReport) {
        let quarantine = self.dispatcher.quarantine_mut();
        quarantine.handle_trial_report(now, report);
    }

    /// Reports the outcomes of trials to the lenders.
    pub(super) fn report_trials(&mut self, now: Time) {
        let node = &self.config.dispatch.node;
        let reports = self.dispatcher.quarantine_mut().take_trial_reports(node);
        for report in reports {
            match self.other_lender(report.fingerprint) {
                Some(lender) => self.send_to(Datagram::TrialReport(report), lender),
                None => self.handle_trial_report(now, &report),
            }
        }
    }

    /// The lender of a request, if it is another node.
    fn other_lender(&self, fingerprint: Fingerprint) -> Option<SocketAddr> {
        let lender = self.membership.lender(fingerprint)?;
        (lender != self.config.control.record.peers).then_some(lender)
    }

    fn send_to(&mut self, datagram: Datagram, to: SocketAddr) {
        self.outputs.push(Output::Send(datagram, vec![to]));
    }
}
