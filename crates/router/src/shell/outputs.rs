//! Execution of the core's outputs.

use crate::core::{Output, ViewNotice};
use crate::shell::handle::{RequestAction, Shared};
use crate::shell::{calls, peers, probe};
use beamtray_catalog::DirectoryChange;
use beamtray_dispatch::PathNotice;
use std::rc::Rc;

/// Executes one output of the core.
pub(crate) fn execute_output(shared: &Rc<Shared>, output: Output) {
    match output {
        Output::Deny(ticket, admission) => {
            shared.send_action(ticket, RequestAction::Deny(admission))
        }
        Output::Forward(ticket, forward) => {
            shared.send_action(ticket, RequestAction::Forward(Box::new(forward)))
        }
        Output::Conclude(ticket, ending) => {
            shared.send_action(ticket, RequestAction::Conclude(Box::new(ending)));
        }
        Output::Store(task, call) => calls::call_store(shared, task, call),
        Output::Order(task, epoch) => calls::send_order(shared, task, epoch),
        Output::Send(datagram, addresses) => peers::send(shared, &datagram, &addresses),
        Output::FetchSnapshots(address, request, wait) => {
            peers::request_snapshots(shared, address, request, wait)
        }
        Output::Probe(doubted, witnesses) => probe::probe_upstream(shared, doubted, witnesses),
        Output::ProbePath(target) => probe::probe_path(shared, target),
        Output::Path(notice) => {
            shared.observer.path_changed(&notice);
            close_idle_on_broken_path(shared, &notice);
        }
        Output::Quarantine(notice) => shared.observer.quarantine_changed(notice),
        Output::RateLimit(upstream, notice) => {
            shared
                .observer
                .rate_limit_changed(upstream.as_ref(), notice);
        }
        Output::StoreEra { before, era } => shared.observer.store_era(before, era),
        Output::ClientLimits(limits) => {
            shared.observer.check_client_limits(&shared.account, limits);
            shared.limits.set(limits);
        }
        Output::ViewChanged(notice) => {
            shared.observer.view_changed(&notice);
            close_idle_to_restarted(shared, &notice);
        }
        Output::SteppedDown { broken } => shared.observer.stepped_down(broken),
        Output::Granter(epoch) => {
            shared.order_connections.set_granter(epoch.is_some());
            shared.observer.granter_changed(epoch);
        }
        Output::Ownership(service, notice) => shared.observer.ownership_changed(&service, &notice),
        Output::Standby(state) => shared.observer.standby_changed(state),
    }
}

/// Closes the idle connections over a path that is broken. They may be dead without a sign, and
/// would be used again once the path is whole.
fn close_idle_on_broken_path(shared: &Shared, notice: &PathNotice) {
    match notice {
        PathNotice::Broken { address, .. } => shared.connections.close_idle(*address),
        PathNotice::CutOff { .. } => shared.connections.close_idle_own(shared.store),
        PathNotice::Restored { .. } | PathNotice::Reconnected { .. } => {}
    }
}

/// Closes the idle connections to an upstream that has restarted. Behind a network partition
/// each would cost a request before it turns out to be dead.
fn close_idle_to_restarted(shared: &Shared, notice: &ViewNotice) {
    if let ViewNotice::Directory(DirectoryChange::Restarted { address, .. }) = notice {
        shared.connections.close_idle(*address);
        shared.order_connections.close_idle(*address);
    }
}
