//! Sending, delivery, delay and timeout of orders.

use super::{Process, Step, World};
use crate::check::RECOVERY_WINDOW;
use crate::transport::{Call, CallFailure, CopyLocation, DelayedCopy, Term};
use crate::upstream::Arrival;
use beamtray_sharding::{GrantOrder, GrantReply, OrderKind};
use std::time::Duration;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout for the reply to a release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Longest time between the arrival of an unanswered order and its execution by the upstream.
const MAX_EXECUTION_DELAY: Duration = Duration::from_secs(12);

/// An arrival that is neither late nor excluded.
const PROMPT: Arrival = Arrival {
    is_late: false,
    is_excluded: false,
};

/// Describes an order for the trace.
pub(super) fn describe(order: &GrantOrder) -> String {
    let kind = match &order.kind {
        OrderKind::Grant { .. } => "grant",
        OrderKind::Release => "release",
    };
    let GrantOrder {
        call,
        holder,
        range,
        token,
        ..
    } = order;
    format!("{kind} {range} under {token} to {holder} (call {})", call.0)
}

impl World {
    /// Returns the index of the upstream that an order is sent to, given by the first letter of the
    /// holder's name.
    pub(super) fn index_of(&self, order: &GrantOrder) -> usize {
        let letter = order.holder.name.0.bytes().next().unwrap_or(b'a');
        usize::from(letter - b'a')
    }

    /// Sends an order. Returns whether a fault at this moment could make a difference.
    pub(super) fn write_order(&mut self, order: GrantOrder) -> bool {
        let index = self.index_of(&order);
        let Some(process) = &mut self.process else {
            return false;
        };
        let had_connection = process.connected[index];
        let path = &self.paths[index];
        if path.restarts_at.is_some() {
            // The upstream is down, so the connection is refused.
            process.connected[index] = false;
            process
                .granter
                .handle_reply(self.now, order.call, GrantReply::Refused);
            return false;
        }
        let is_grant = matches!(order.kind, OrderKind::Grant { .. });
        if self.scope.probe_before_grant && is_grant && (path.is_cut || path.is_paused) {
            // The probe gets no reply, so the grant is not sent.
            let wait = self.scope.timing.order_timeout;
            self.add_call(order, wait, CallFailure::Undelivered);
            return false;
        }
        if path.is_paused && !path.is_cut {
            self.trace_event(|| format!("{} lies in its buffers", describe(&order)));
            self.leave_unanswered(order, CopyLocation::ReceiveBuffer);
            return true;
        }
        if path.is_cut && had_connection {
            self.trace_event(|| format!("{} is written into the cut", describe(&order)));
            self.leave_unanswered(order, CopyLocation::Path);
            return true;
        }
        if path.is_cut {
            self.add_call(order, CONNECT_TIMEOUT, CallFailure::Undelivered);
            return false;
        }
        process.connected[index] = true;
        if self.remaining_faults.delayed_messages > 0 || self.remaining_faults.deferred_orders > 0 {
            self.pending_orders.push_back(order);
            return true;
        }
        self.deliver_promptly(&order)
    }

    /// Returns the possible deliveries of the oldest pending order.
    pub(super) fn delivery_steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Deliver];
        if self.remaining_faults.delayed_messages > 0 {
            steps.extend([Step::Delay, Step::LoseReply]);
        }
        if self.remaining_faults.deferred_orders > 0 {
            steps.push(Step::DeferExecution);
        }
        steps
    }

    pub(super) fn apply_delivery(&mut self, step: Step) {
        let Some(order) = self.pending_orders.pop_front() else {
            return;
        };
        if step == Step::Deliver {
            self.deliver_promptly(&order);
            return;
        }
        if step == Step::DeferExecution {
            self.remaining_faults.deferred_orders -= 1;
            self.trace_event(|| format!("{} is kept by the upstream", describe(&order)));
            self.leave_unanswered(order, CopyLocation::Upstream);
            return;
        }
        self.remaining_faults.delayed_messages -= 1;
        if step == Step::LoseReply {
            self.trace_event(|| format!("{}: its answer is lost", describe(&order)));
            let excluded = self.is_excluded(&order, None);
            self.execute_order(
                &order,
                Arrival {
                    is_excluded: excluded,
                    ..PROMPT
                },
            );
        } else {
            self.trace_event(|| format!("{} is held up", describe(&order)));
        }
        self.leave_unanswered(order, CopyLocation::Path);
    }

    /// Keeps a copy of the order and makes its sender wait for the reply.
    fn leave_unanswered(&mut self, order: GrantOrder, location: CopyLocation) {
        let Some(term) = self.process.as_ref().map(|process| process.term) else {
            return;
        };
        self.copies.push(DelayedCopy {
            order: order.clone(),
            sender: term,
            until: (location == CopyLocation::Upstream).then_some(self.now + MAX_EXECUTION_DELAY),
            location,
        });
        let wait = match order.kind {
            OrderKind::Grant { .. } => self.scope.timing.order_timeout,
            OrderKind::Release => RELEASE_TIMEOUT,
        };
        let failure = match location {
            CopyLocation::Path => CallFailure::Unanswered,
            CopyLocation::Upstream | CopyLocation::ReceiveBuffer => CallFailure::InDoubt,
        };
        self.add_call(order, wait, failure);
    }

    fn add_call(&mut self, order: GrantOrder, wait: Duration, failure: CallFailure) {
        let deadline = self.now + wait;
        if let Some(process) = &mut self.process {
            process.calls.push(Call {
                order,
                deadline,
                failure,
            });
        }
    }

    /// Delivers an order and its reply. Returns whether this changed more than the expiry of a
    /// hold.
    fn deliver_promptly(&mut self, order: &GrantOrder) -> bool {
        let index = self.index_of(order);
        let min_tokens = |world: &World| -> Vec<u64> {
            let holdings = world.upstreams[index].holdings.iter();
            holdings.map(|holding| holding.min_token).collect()
        };
        let before = min_tokens(self);
        let is_excluded = self.is_excluded(order, None);
        let reply = self.execute_order(
            order,
            Arrival {
                is_excluded,
                ..PROMPT
            },
        );
        let happened = before != min_tokens(self) || reply != GrantReply::Granted;
        if let Some(process) = &mut self.process {
            process.granter.handle_reply(self.now, order.call, reply);
        }
        happened
    }

    /// Delivers a renewal from the standby, which is never partitioned from upstreams.
    pub(super) fn deliver_standby_order(&mut self, order: &GrantOrder) {
        let index = self.index_of(order);
        if self.paths[index].restarts_at.is_none() {
            self.trace_event(|| format!("the standby: {}", describe(order)));
            self.execute_order(order, PROMPT);
        }
    }

    /// Executes an order at its upstream.
    fn execute_order(&mut self, order: &GrantOrder, arrival: Arrival) -> GrantReply {
        let index = self.index_of(order);
        let reply = self.upstreams[index].order(self.now, order, arrival);
        self.trace_event(|| format!("{} arrives: {reply:?}", describe(order)));
        let is_grant = matches!(order.kind, OrderKind::Grant { .. });
        if !is_grant || reply != GrantReply::Granted || arrival.is_excluded {
            return reply;
        }
        for (number, range) in self.ranges.iter().enumerate() {
            if range.overlaps(order.range) {
                let token = order.token.0;
                self.checker
                    .grant_accepted(self.now, number, token, index, &self.upstreams);
            }
        }
        reply
    }

    /// Whether the ownership rule excludes an arrival because a path recovered or its sender
    /// resumed just before.
    fn is_excluded(&self, order: &GrantOrder, sender: Option<Term>) -> bool {
        if self.scope.count_excluded {
            return false;
        }
        let path = &self.paths[self.index_of(order)];
        let resumed = self.resumed.iter();
        let resumed = resumed.filter(|one| Some(one.term) == sender);
        let begins = resumed.map(|one| one.at).chain(path.healed_at);
        let mut soon = begins.map(|at| self.now.since(at) <= RECOVERY_WINDOW);
        soon.any(|is_soon| is_soon)
    }

    /// Whether a copy can arrive now.
    pub(super) fn can_arrive(&self, copy: &DelayedCopy) -> bool {
        let path = &self.paths[self.index_of(&copy.order)];
        match copy.location {
            CopyLocation::Path => path.is_open() && !path.is_paused,
            CopyLocation::Upstream => path.restarts_at.is_none() && !path.is_paused,
            CopyLocation::ReceiveBuffer => false,
        }
    }

    /// Delivers a delayed copy, and its reply if the sender is still waiting.
    pub(super) fn deliver_copy(&mut self, index: usize) {
        let copy = self.copies.remove(index);
        let on_way = copy.location == CopyLocation::Path;
        let is_excluded = on_way && self.is_excluded(&copy.order, Some(copy.sender));
        self.trace_event(|| format!("a copy of {}", describe(&copy.order)));
        let arrival = Arrival {
            is_late: true,
            is_excluded,
        };
        let reply = self.execute_order(&copy.order, arrival);
        if on_way {
            self.answer(&copy, reply);
        }
    }

    /// Delivers the reply to a copy if its sender is still waiting.
    fn answer(&mut self, copy: &DelayedCopy, reply: GrantReply) {
        let Some(process) = &mut self.process else {
            return;
        };
        if process.term != copy.sender || process.is_paused {
            return;
        }
        let waiting = process.calls.iter();
        let mut waiting = waiting.map(|call| call.order.call);
        if let Some(position) = waiting.position(|call| call == copy.order.call) {
            process.calls.remove(position);
            process
                .granter
                .handle_reply(self.now, copy.order.call, reply);
        }
    }

    /// Executes an order from the receive buffer of an upstream that resumed. Its sender may or may
    /// not be waiting still.
    pub(super) fn execute_buffered(&mut self, copy: &DelayedCopy) {
        let arrival = Arrival {
            is_late: true,
            is_excluded: false,
        };
        let reply = self.execute_order(&copy.order, arrival);
        self.answer(copy, reply);
    }

    /// Times out calls that have reached their deadline. Returns whether any of them had been sent.
    pub(super) fn expire_calls(&mut self) -> bool {
        let now = self.now;
        let running = self.process.as_mut().filter(|process| !process.is_paused);
        let Some(process) = running else {
            return false;
        };
        let calls = std::mem::take(&mut process.calls);
        let (over, waiting): (Vec<Call>, Vec<Call>) =
            calls.into_iter().partition(|call| now >= call.deadline);
        process.calls = waiting;
        let mut happened = false;
        for call in over {
            happened |= self.abandon_call(&call);
        }
        happened
    }

    fn abandon_call(&mut self, call: &Call) -> bool {
        let index = self.index_of(&call.order);
        let was_sent = call.failure != CallFailure::Undelivered;
        let reply = match call.failure {
            CallFailure::Undelivered => GrantReply::Undelivered,
            CallFailure::Unanswered => GrantReply::Unanswered,
            CallFailure::InDoubt => GrantReply::InDoubt,
        };
        if let Some(process) = &mut self.process {
            process.connected[index] = false;
            process
                .granter
                .handle_reply(self.now, call.order.call, reply);
            let term = process.term;
            self.bound_copies(term, Some(call), self.scope.transport.after_timeout);
        }
        if was_sent {
            self.trace_event(|| format!("{} is given up on", describe(&call.order)));
        }
        was_sent
    }

    /// Limits the remaining lifetime of the copies of one call, or of all calls of a process.
    pub(super) fn bound_copies(
        &mut self,
        sender: Term,
        call: Option<&Call>,
        lifetime: Option<Duration>,
    ) {
        let Some(lifetime) = lifetime else {
            return;
        };
        let end = self.now + lifetime;
        let on_way = self.copies.iter_mut();
        let on_way = on_way.filter(|copy| copy.location == CopyLocation::Path);
        let of_sender = on_way.filter(|copy| copy.sender == sender);
        let concerned =
            of_sender.filter(|copy| call.is_none_or(|call| call.order.call == copy.order.call));
        for copy in concerned {
            copy.until = Some(copy.until.map_or(end, |until| until.min(end)));
        }
    }

    /// Ends all calls of a process that is no longer the granter.
    pub(super) fn drop_process(&mut self, process: &Process, lifetime: Option<Duration>) {
        self.bound_copies(process.term, None, lifetime);
    }
}
