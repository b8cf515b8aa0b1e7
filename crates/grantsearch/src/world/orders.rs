//! Orders: written, arriving, held up, given up on.

use super::{Process, Step, World};
use crate::check::SOON;
use crate::transport::{Call, HeldCopy, NoAnswer, Place, Term};
use crate::upstream::Arrival;
use beamtray_sharding::{GrantOrder, GrantReply, OrderKind};
use std::time::Duration;

/// How long a connection that does not come up is waited for.
const CONNECT_WAIT: Duration = Duration::from_millis(350);
/// How long the answer to a release is waited for.
const RELEASE_WAIT: Duration = Duration::from_millis(3_000);

/// How long after its arrival an upstream may carry an order out, if it did not answer it.
const LATEST: Duration = Duration::from_secs(12);

/// A prompt arrival.
const PROMPT: Arrival = Arrival {
    is_late: false,
    is_excluded: false,
};

/// Orders in the words of a reader.
pub(super) fn words(order: &GrantOrder) -> String {
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
    /// The index of the upstream at whose address an order goes: the first letter tells it.
    pub(super) fn index_of(&self, order: &GrantOrder) -> usize {
        let letter = order.holder.name.0.bytes().next().unwrap_or(b'a');
        usize::from(letter - b'a')
    }

    /// The granter has an order to give; whether a fault beside it makes a difference.
    pub(super) fn write_order(&mut self, order: GrantOrder) -> bool {
        let index = self.index_of(&order);
        let Some(process) = &mut self.process else {
            return false;
        };
        let had_connection = process.connected[index];
        let path = &self.paths[index];
        if path.back_at.is_some() {
            // Nothing listens there.
            process.connected[index] = false;
            process
                .granter
                .handle_reply(self.now, order.call, GrantReply::Undelivered);
            return false;
        }
        let is_grant = matches!(order.kind, OrderKind::Grant { .. });
        if self.scope.asks_first && is_grant && (path.is_cut || path.is_still) {
            // The question gets no answer, so the grant is not written.
            let wait = self.scope.timing.order_timeout;
            self.wait(order, wait, NoAnswer::Undelivered);
            return false;
        }
        if path.is_still && !path.is_cut {
            self.note(|| format!("{} lies in its buffers", words(&order)));
            self.leave_unanswered(order, Place::Buffers);
            return true;
        }
        if path.is_cut && had_connection {
            self.note(|| format!("{} is written into the cut", words(&order)));
            self.leave_unanswered(order, Place::Path);
            return true;
        }
        if path.is_cut {
            self.wait(order, CONNECT_WAIT, NoAnswer::Undelivered);
            return false;
        }
        process.connected[index] = true;
        if self.left.messages > 0 || self.left.late > 0 {
            self.undecided.push_back(order);
            return true;
        }
        self.arrive_promptly(&order)
    }

    /// What may become of the order that was written first.
    pub(super) fn fates(&self) -> Vec<Step> {
        let mut fates = vec![Step::Arrives];
        if self.left.messages > 0 {
            fates.extend([Step::HeldUp, Step::Twice]);
        }
        if self.left.late > 0 {
            fates.push(Step::Late);
        }
        fates
    }

    pub(super) fn decide(&mut self, fate: Step) {
        let Some(order) = self.undecided.pop_front() else {
            return;
        };
        if fate == Step::Arrives {
            self.arrive_promptly(&order);
            return;
        }
        if fate == Step::Late {
            self.left.late -= 1;
            self.note(|| format!("{} is kept by the upstream", words(&order)));
            self.leave_unanswered(order, Place::Upstream);
            return;
        }
        self.left.messages -= 1;
        if fate == Step::Twice {
            self.note(|| format!("{}: its answer is lost", words(&order)));
            let excluded = self.is_excluded(&order, None);
            self.take(
                &order,
                Arrival {
                    is_excluded: excluded,
                    ..PROMPT
                },
            );
        } else {
            self.note(|| format!("{} is held up", words(&order)));
        }
        self.leave_unanswered(order, Place::Path);
    }

    /// A copy is left; its sender waits for the answer.
    fn leave_unanswered(&mut self, order: GrantOrder, place: Place) {
        let Some(term) = self.process.as_ref().map(|process| process.term) else {
            return;
        };
        self.copies.push(HeldCopy {
            order: order.clone(),
            sender: term,
            until: (place == Place::Upstream).then_some(self.now + LATEST),
            place,
        });
        let wait = match order.kind {
            OrderKind::Grant { .. } => self.scope.timing.order_timeout,
            OrderKind::Release => RELEASE_WAIT,
        };
        let without_answer = match place {
            Place::Path => NoAnswer::Unanswered,
            Place::Upstream | Place::Buffers => NoAnswer::InDoubt,
        };
        self.wait(order, wait, without_answer);
    }

    fn wait(&mut self, order: GrantOrder, wait: Duration, without_answer: NoAnswer) {
        let ends = self.now + wait;
        if let Some(process) = &mut self.process {
            process.calls.push(Call {
                order,
                ends,
                without_answer,
            });
        }
    }

    /// An order arrives and is answered; whether that changed more than how long a hold
    /// lasts.
    fn arrive_promptly(&mut self, order: &GrantOrder) -> bool {
        let index = self.index_of(order);
        let floors = |world: &World| -> Vec<u64> {
            let holdings = world.upstreams[index].holdings.iter();
            holdings.map(|holding| holding.floor).collect()
        };
        let before = floors(self);
        let is_excluded = self.is_excluded(order, None);
        let reply = self.take(
            order,
            Arrival {
                is_excluded,
                ..PROMPT
            },
        );
        let happened = before != floors(self) || reply != GrantReply::Granted;
        if let Some(process) = &mut self.process {
            process.granter.handle_reply(self.now, order.call, reply);
        }
        happened
    }

    /// The standby orders a holder to hold on; nobody cuts it off.
    pub(super) fn standby_orders(&mut self, order: &GrantOrder) {
        let index = self.index_of(order);
        if self.paths[index].back_at.is_none() {
            self.note(|| format!("the standby: {}", words(order)));
            self.take(order, PROMPT);
        }
    }

    /// An upstream carries an order out.
    fn take(&mut self, order: &GrantOrder, arrival: Arrival) -> GrantReply {
        let index = self.index_of(order);
        let reply = self.upstreams[index].order(self.now, order, arrival);
        self.note(|| format!("{} arrives: {reply:?}", words(order)));
        let is_grant = matches!(order.kind, OrderKind::Grant { .. });
        if !is_grant || reply != GrantReply::Granted || arrival.is_excluded {
            return reply;
        }
        for (number, range) in self.ranges.iter().enumerate() {
            if range.overlaps(order.range) {
                let token = order.token.0;
                self.judge
                    .taken(self.now, number, token, index, &self.upstreams);
            }
        }
        reply
    }

    /// Whether the rule leaves an arrival out: a path healed just before, or its sender was
    /// continued.
    fn is_excluded(&self, order: &GrantOrder, sender: Option<Term>) -> bool {
        if self.scope.counts_excluded {
            return false;
        }
        let path = &self.paths[self.index_of(order)];
        let continued = self.continued.iter();
        let continued = continued.filter(|one| Some(one.term) == sender);
        let begins = continued.map(|one| one.at).chain(path.healed_at);
        let mut soon = begins.map(|at| self.now.since(at) <= SOON);
        soon.any(|is_soon| is_soon)
    }

    /// Whether a copy may arrive now.
    pub(super) fn may_arrive(&self, copy: &HeldCopy) -> bool {
        let path = &self.paths[self.index_of(&copy.order)];
        match copy.place {
            Place::Path => path.is_open() && !path.is_still,
            Place::Upstream => path.back_at.is_none() && !path.is_still,
            Place::Buffers => false,
        }
    }

    /// A copy arrives; it is answered if its sender still waits.
    pub(super) fn copy_arrives(&mut self, index: usize) {
        let copy = self.copies.remove(index);
        let on_way = copy.place == Place::Path;
        let is_excluded = on_way && self.is_excluded(&copy.order, Some(copy.sender));
        self.note(|| format!("a copy of {}", words(&copy.order)));
        let arrival = Arrival {
            is_late: true,
            is_excluded,
        };
        let reply = self.take(&copy.order, arrival);
        if on_way {
            self.answer(&copy, reply);
        }
    }

    /// The answer to a copy comes to its sender, if that still waits.
    fn answer(&mut self, copy: &HeldCopy, reply: GrantReply) {
        let Some(process) = &mut self.process else {
            return;
        };
        if process.term != copy.sender || process.is_frozen {
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

    /// An upstream that stood still reads an order; nobody waits for it any more, or somebody
    /// does.
    pub(super) fn read_from_buffers(&mut self, copy: &HeldCopy) {
        let arrival = Arrival {
            is_late: true,
            is_excluded: false,
        };
        let reply = self.take(&copy.order, arrival);
        self.answer(copy, reply);
    }

    /// Calls whose time is over are given up on; whether one that was sent is.
    pub(super) fn end_calls(&mut self) -> bool {
        let now = self.now;
        let running = self.process.as_mut().filter(|process| !process.is_frozen);
        let Some(process) = running else {
            return false;
        };
        let calls = std::mem::take(&mut process.calls);
        let (over, waiting): (Vec<Call>, Vec<Call>) =
            calls.into_iter().partition(|call| now >= call.ends);
        process.calls = waiting;
        let mut happened = false;
        for call in over {
            happened |= self.give_up(&call);
        }
        happened
    }

    fn give_up(&mut self, call: &Call) -> bool {
        let index = self.index_of(&call.order);
        let was_sent = call.without_answer != NoAnswer::Undelivered;
        let reply = match call.without_answer {
            NoAnswer::Undelivered => GrantReply::Undelivered,
            NoAnswer::Unanswered => GrantReply::Unanswered,
            NoAnswer::InDoubt => GrantReply::InDoubt,
        };
        if let Some(process) = &mut self.process {
            process.connected[index] = false;
            process
                .granter
                .handle_reply(self.now, call.order.call, reply);
            let term = process.term;
            self.bound_copies(term, Some(call), self.scope.transport.after_give_up);
        }
        if was_sent {
            self.note(|| format!("{} is given up on", words(&call.order)));
        }
        was_sent
    }

    /// Copies of a call, or of all calls of a process, live that much longer at most.
    pub(super) fn bound_copies(
        &mut self,
        sender: Term,
        call: Option<&Call>,
        life: Option<Duration>,
    ) {
        let Some(life) = life else {
            return;
        };
        let end = self.now + life;
        let on_way = self.copies.iter_mut();
        let on_way = on_way.filter(|copy| copy.place == Place::Path);
        let of_sender = on_way.filter(|copy| copy.sender == sender);
        let concerned =
            of_sender.filter(|copy| call.is_none_or(|call| call.order.call == copy.order.call));
        for copy in concerned {
            copy.until = Some(copy.until.map_or(end, |until| until.min(end)));
        }
    }

    /// All calls of a process that is no longer the granter end.
    pub(super) fn drop_process(&mut self, process: &Process, life: Option<Duration>) {
        self.bound_copies(process.term, None, life);
    }
}
