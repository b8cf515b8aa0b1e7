//! Does what the core asks for.

use crate::core::{Output, ViewNotice};
use crate::shell::handle::{Shared, Step};
use crate::shell::{calls, peers, probe};
use beamtray_catalog::DirectoryChange;
use std::rc::Rc;

/// Does what the core asks for.
pub(crate) fn carry_out(shared: &Rc<Shared>, output: Output) {
    match output {
        Output::Deny(ticket, admission) => shared.step(ticket, Step::Deny(admission)),
        Output::Forward(ticket, forward) => shared.step(ticket, Step::Forward(forward)),
        Output::Conclude(ticket, ending) => {
            shared.step(ticket, Step::Conclude(Box::new(ending)));
        }
        Output::Store(task, call) => calls::call_store(shared, task, call),
        Output::Order(task, epoch) => calls::order(shared, task, epoch),
        Output::Send(datagram, addresses) => peers::send(shared, &datagram, &addresses),
        Output::FetchSnapshots(address, request, wait) => {
            peers::ask(shared, address, request, wait)
        }
        Output::Probe(doubted) => probe::listens(shared, doubted),
        Output::Quarantine(notice) => shared.observer.quarantine(notice),
        Output::RateLimit(upstream, notice) => {
            shared.observer.rate_limit(upstream.as_ref(), notice);
        }
        Output::StoreEra { before, era } => shared.observer.store_era(before, era),
        Output::ClientLimits(limits) => shared.limits.set(limits),
        Output::ViewChanged(notice) => {
            shared.observer.notice(&notice);
            forget_ended(shared, &notice);
        }
        Output::Granter(epoch) => {
            shared.order_connections.set_gives_orders(epoch.is_some());
            shared.observer.granter(epoch);
        }
        Output::Ownership(service, notice) => shared.observer.ownership(&service, &notice),
        Output::Standby(state) => shared.observer.standby(state),
    }
}

/// Closes the resting connections to an upstream that has started again: behind a cut they
/// would take a request each before they show that their other side has ended.
fn forget_ended(shared: &Shared, notice: &ViewNotice) {
    if let ViewNotice::Directory(DirectoryChange::Restarted { address, .. }) = notice {
        shared.connections.forget(*address);
        shared.order_connections.forget(*address);
    }
}
