//! Trials of requests that are under suspicion: whom this node asks for a permit, and what
//! it lends itself.
//!
//! The lender of a request is the one node of those with an entry that a hash of both
//! picks, so that all nodes that see the same entries ask the same one and none is asked
//! for all. Another one takes its place only when its entry is gone: a node that can't
//! reach it sends no such request meanwhile.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use beamtray_dispatch::{Fingerprint, TrialReply, TrialReport, TrialRequest};
use beamtray_types::Time;
use std::net::SocketAddr;

impl NodeCore {
    /// Asks the lender for a permit.
    pub(super) fn request_trial(&mut self, now: Time, request: TrialRequest) {
        match self.other_lender(request.fingerprint) {
            Some(lender) => self.send_to(Datagram::TrialRequest(request), lender),
            None => {
                let reply = self.dispatcher.quarantine_mut().lend(now, &request);
                self.handle_trial_reply(now, &reply);
                if reply.is_lent {
                    self.dispatch(now);
                }
            }
        }
    }

    /// As the lender: answers a question.
    pub(super) fn lend_trial(&mut self, now: Time, from: SocketAddr, request: &TrialRequest) {
        let reply = self.dispatcher.quarantine_mut().lend(now, request);
        self.send_to(Datagram::TrialReply(reply), from);
    }

    /// Takes the lender's answer.
    pub(super) fn handle_trial_reply(&mut self, now: Time, reply: &TrialReply) {
        self.dispatcher.quarantine_mut().trial_answered(now, reply);
    }

    /// As the lender: takes the outcome of a trial.
    pub(super) fn handle_trial_report(&mut self, now: Time, report: &TrialReport) {
        let quarantine = self.dispatcher.quarantine_mut();
        quarantine.take_trial_report(now, report);
    }

    /// Tells the lenders how trials ended.
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

    /// The lender of a request, unless it is this node.
    fn other_lender(&self, fingerprint: Fingerprint) -> Option<SocketAddr> {
        let lender = self.membership.lender(fingerprint)?;
        (lender != self.config.control.record.peers).then_some(lender)
    }

    fn send_to(&mut self, datagram: Datagram, to: SocketAddr) {
        self.outputs.push(Output::Send(datagram, vec![to]));
    }
}
