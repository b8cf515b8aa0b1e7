//! Log of the events that decide which upstream holds which keys: faults, terms, orders and
//! their replies.
//!
//! A violation names one grant; the log shows the orders that led to it. It is off unless
//! [`crate::WorldConfig::logs_events`] is set, because a history has thousands of orders.

use crate::fault::{Fault, FaultKind};
use beamtray_catalog::UpstreamId;
use beamtray_router::core::OwnershipNotice;
use beamtray_sharding::{GrantOrder, GrantReply, OrderKind};
use beamtray_types::Time;
use std::fmt;
use std::time::Duration;

/// An event of a history.
#[derive(Clone, Debug)]
pub enum LoggedEvent {
    /// A fault of the plan began.
    FaultBegan(Fault),
    /// A fault of the plan ended.
    FaultEnded(FaultKind),
    /// A node's process started.
    NodeStarted(usize),
    /// A node's process ended.
    NodeEnded(usize),
    /// An upstream's process started.
    UpstreamStarted(UpstreamId),
    /// An upstream's process ended.
    UpstreamEnded(UpstreamId),
    /// The store began an era; a rollback restored the state of that time.
    StoreRolledBack {
        /// Time of the restored snapshot.
        snapshot_at: Option<Time>,
    },
    /// A node became the granter of a term, or is no longer the granter.
    Term {
        /// The node.
        node: usize,
        /// The term.
        epoch: Option<u64>,
    },
    /// A node's write of an assignment record was answered, or was not.
    RecordWritten {
        /// The node.
        node: usize,
        /// Whether the store acknowledged the write.
        committed: bool,
    },
    /// A granter sent an order.
    OrderSent {
        /// The granter.
        node: usize,
        /// Its term.
        epoch: u64,
        /// The order.
        order: GrantOrder,
    },
    /// An order reached its upstream, which will execute it later.
    OrderDelayed {
        /// The order.
        order: GrantOrder,
        /// Time until it is executed.
        delay: Duration,
    },
    /// An upstream executed an order.
    OrderExecuted {
        /// The upstream that executed it.
        upstream: UpstreamId,
        /// The order.
        order: GrantOrder,
        /// Whether it executed the order late.
        is_late: bool,
        /// The reply, unless it waits for work to end.
        reply: Option<GrantReply>,
    },
    /// A granter received a reply, or gave up waiting for it.
    ReplyReceived {
        /// The granter.
        node: usize,
        /// The order.
        order: GrantOrder,
        /// The reply.
        reply: GrantReply,
    },
    /// A granter reported a change of ownership.
    Ownership {
        /// The granter.
        node: usize,
        /// The change.
        notice: OwnershipNotice,
    },
}

/// An event with its time.
#[derive(Clone, Debug)]
pub struct LogEntry {
    /// When the event occurred.
    pub at: Time,
    /// The event.
    pub event: LoggedEvent,
}

/// The events of a history, in order.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    entries: Option<Vec<LogEntry>>,
}

impl EventLog {
    /// Creates a log that keeps events only if it is enabled.
    pub fn new(is_enabled: bool) -> Self {
        Self {
            entries: is_enabled.then(Vec::new),
        }
    }

    /// Adds an event, which is built only if the log is enabled.
    pub fn add(&mut self, at: Time, event: impl FnOnce() -> LoggedEvent) {
        if let Some(entries) = &mut self.entries {
            entries.push(LogEntry { at, event: event() });
        }
    }

    /// The events so far.
    pub fn into_entries(self) -> Vec<LogEntry> {
        self.entries.unwrap_or_default()
    }
}

impl fmt::Display for LogEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seconds, micros) = (self.at.0 / 1_000_000, self.at.0 % 1_000_000);
        write!(formatter, "{seconds:>3}.{micros:06} {}", self.event)
    }
}

impl fmt::Display for LoggedEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FaultBegan(fault) => {
                let (kind, duration) = (&fault.kind, fault.duration);
                write!(formatter, "fault begins: {kind:?} for {duration:?}")
            }
            Self::FaultEnded(kind) => write!(formatter, "fault ends: {kind:?}"),
            Self::NodeStarted(node) => write!(formatter, "node {node} starts"),
            Self::NodeEnded(node) => write!(formatter, "node {node} ends"),
            Self::UpstreamStarted(id) => write!(formatter, "upstream {id} starts"),
            Self::UpstreamEnded(id) => write!(formatter, "upstream {id} ends"),
            Self::StoreRolledBack { snapshot_at } => {
                let micros = snapshot_at.map(|at| at.0);
                write!(formatter, "store rolled back to {micros:?} us")
            }
            Self::Term { node, epoch } => write!(formatter, "node {node} term {epoch:?}"),
            Self::RecordWritten { node, committed } => {
                write!(formatter, "node {node} record committed: {committed}")
            }
            Self::OrderSent { node, epoch, order } => {
                let order = OrderText(order);
                write!(formatter, "node {node} of term {epoch} sends {order}")
            }
            Self::OrderDelayed { order, delay } => {
                write!(formatter, "delayed by {delay:?}: {}", OrderText(order))
            }
            Self::OrderExecuted {
                upstream,
                order,
                is_late,
                reply,
            } => {
                let late = if *is_late { " late" } else { "" };
                let order = OrderText(order);
                write!(formatter, "{upstream} executes{late} {order}: {reply:?}")
            }
            Self::ReplyReceived { node, order, reply } => {
                let order = OrderText(order);
                write!(formatter, "node {node} has {reply:?} to {order}")
            }
            Self::Ownership { node, notice } => write!(formatter, "node {node} {notice:?}"),
        }
    }
}

/// Text of an order.
struct OrderText<'a>(&'a GrantOrder);

impl fmt::Display for OrderText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let order = self.0;
        let call = order.call.0;
        let (range, token, holder) = (order.range, order.token, &order.holder);
        match &order.kind {
            OrderKind::Grant { hold, .. } => write!(
                formatter,
                "grant #{call} of {range} under {token} for {hold:?} to {holder}"
            ),
            OrderKind::Release => {
                write!(
                    formatter,
                    "release #{call} of {range} under {token} to {holder}"
                )
            }
        }
    }
}
