//! Does what the core asks for.

use crate::core::Output;
use crate::shell::handle::{Shared, Step};
use crate::shell::{calls, peers, probe};
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
        Output::Ask(address, request, wait) => peers::ask(shared, address, request, wait),
        Output::Probe(doubted) => probe::listens(shared, doubted),
        Output::Quarantine(notice) => shared.observer.quarantine(notice),
        Output::Limits(limits) => shared.limits.set(limits),
        Output::Notice(notice) => shared.observer.notice(&notice),
        Output::Granter(epoch) => {
            shared.connections.set_gives_orders(epoch.is_some());
            shared.observer.granter(epoch);
        }
        Output::Ownership(service, notice) => shared.observer.ownership(&service, &notice),
        Output::Standby(state) => shared.observer.standby(state),
    }
}
