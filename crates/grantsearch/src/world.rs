//! A state of the model.

mod faults;
mod orders;
mod recovery;
mod rollback;
mod start;
mod time;

use crate::check::{InvariantChecker, Violation};
use crate::scope::{Faults, Scope};
use crate::standby::Standby;
use crate::transport::{Call, DelayedCopy, Term};
use crate::upstream::Upstream;
use beamtray_catalog::UpstreamId;
use beamtray_sharding::{AssignmentRecord, GrantOrder, Granter, KeyRange};
use beamtray_types::Time;
use rollback::StoreHistory;
use std::collections::VecDeque;
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hasher};

/// A possible next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time advances to the next moment at which a fault could make a difference.
    AdvanceTime,
    /// The order that was just sent arrives, and so does its reply.
    Deliver,
    /// The order is delayed in the network.
    Delay,
    /// The order arrives, its reply is lost, and a duplicate may arrive later.
    LoseReply,
    /// The upstream receives the order, sends no reply and may execute it later.
    DeferExecution,
    /// A delayed copy arrives, given by its index in sending order.
    DeliverCopy(usize),
    /// The network between the granter and an upstream is partitioned.
    Cut(usize),
    /// The partition ends.
    Heal(usize),
    /// An upstream's process is paused.
    PauseUpstream(usize),
    /// A paused upstream resumes and executes the orders in its receive buffer.
    ResumeUpstream(usize),
    /// An upstream restarts under the same id.
    RestartSameId(usize),
    /// An upstream restarts under a new id.
    RestartNewId(usize),
    /// An upstream starts draining.
    Drain(usize),
    /// The granter exits after giving up its leadership.
    StopGranter,
    /// The granter is paused; orders that it has sent stay in flight.
    PauseGranter,
    /// A paused granter resumes, whether or not it has a successor.
    ResumeGranter,
    /// The store stops accepting records.
    StoreFails,
    /// The store accepts records again.
    StoreReturns,
    /// The store rolls back and keeps that number of its earlier records.
    RollBack(usize),
}

/// One event of a human-readable trace.
#[derive(Clone, Debug)]
pub struct TraceEntry {
    /// Time of the event.
    pub at: Time,
    /// Description of the event.
    pub text: String,
}

impl fmt::Display for TraceEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at.as_millis() as f64 / 1_000.0;
        write!(formatter, "{seconds:8.2} s  {}", self.text)
    }
}

/// A granter process.
#[derive(Clone, Debug)]
struct Process {
    term: Term,
    granter: Granter,
    calls: Vec<Call>,
    /// Whether there is an open connection to each upstream, by index.
    connected: Vec<bool>,
    is_paused: bool,
}

/// State of an upstream and of the network path from the granter to it.
#[derive(Clone, Debug, Default)]
struct Path {
    is_cut: bool,
    /// Whether the upstream's process is paused.
    is_paused: bool,
    healed_at: Option<Time>,
    /// When the upstream is up again after a restart.
    restarts_at: Option<Time>,
    /// Its id after the restart.
    next_id: Option<UpstreamId>,
    /// Whether it is registered as draining.
    is_draining: bool,
}

impl Path {
    fn is_open(&self) -> bool {
        !self.is_cut && self.restarts_at.is_none()
    }
}

/// A process that was paused and has resumed.
#[derive(Clone, Copy, Debug)]
struct ResumedProcess {
    term: Term,
    at: Time,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct World {
    scope: Scope,
    ranges: Vec<KeyRange>,
    now: Time,
    remaining_faults: Faults,
    process: Option<Process>,
    /// When the next granter takes over.
    successor_at: Option<Time>,
    terms: u64,
    /// A paused granter that has a successor.
    superseded: Option<Process>,
    store_fails: bool,
    /// The newest durable record; `None` after a rollback that lost all of them.
    record: Option<AssignmentRecord>,
    history: StoreHistory,
    upstreams: Vec<Upstream>,
    paths: Vec<Path>,
    copies: Vec<DelayedCopy>,
    /// Orders sent at this moment whose delivery is still to be chosen.
    pending_orders: VecDeque<GrantOrder>,
    standby: Option<Standby>,
    resumed: Vec<ResumedProcess>,
    checker: InvariantChecker,
    /// Trace of events, if enabled; not part of the state.
    trace: Option<Vec<TraceEntry>>,
}

/// Hashes the text written to it.
struct HashWriter(DefaultHasher);

impl Write for HashWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl World {
    /// Returns a hash that identifies the state. The granter exposes its complete state only through
    /// its `Debug` output, so that is what is hashed.
    pub fn fingerprint(&self) -> u64 {
        let mut writer = HashWriter(DefaultHasher::new());
        let time = (
            self.now,
            self.remaining_faults,
            self.successor_at,
            self.terms,
        );
        let processes = (&self.process, &self.superseded, &self.resumed);
        let stored = (self.store_fails, &self.record, &self.history);
        let upstreams = (&self.upstreams, &self.paths);
        let orders = (&self.copies, &self.pending_orders);
        // Writing to a hasher cannot fail.
        let _ = write!(
            writer,
            "{:?}",
            (
                time,
                processes,
                stored,
                upstreams,
                orders,
                &self.standby,
                &self.checker
            )
        );
        writer.0.finish()
    }

    /// Returns the first violation, if there is one.
    pub fn violation(&self) -> Option<&Violation> {
        self.checker.violation.as_ref()
    }

    /// Starts recording a trace.
    pub fn enable_trace(&mut self) {
        self.trace = Some(Vec::new());
    }

    /// Returns the recorded trace.
    pub fn trace(self) -> Vec<TraceEntry> {
        self.trace.unwrap_or_default()
    }

    fn trace_event(&mut self, text: impl FnOnce() -> String) {
        let at = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(TraceEntry { at, text: text() });
        }
    }

    /// Returns the possible next steps.
    pub fn steps(&self) -> Vec<Step> {
        if !self.pending_orders.is_empty() {
            return self.delivery_steps();
        }
        let mut steps = vec![Step::AdvanceTime];
        let arriving = self.copies.iter().enumerate();
        let arriving = arriving.filter(|(_, copy)| self.can_arrive(copy));
        steps.extend(arriving.map(|(index, _)| Step::DeliverCopy(index)));
        steps.extend(self.fault_steps());
        steps
    }

    /// Applies a step that [`World::steps`] returned.
    pub fn apply(&mut self, step: Step) {
        match step {
            Step::AdvanceTime => self.advance_time(),
            Step::Deliver | Step::Delay | Step::LoseReply | Step::DeferExecution => {
                self.apply_delivery(step)
            }
            Step::DeliverCopy(index) => self.deliver_copy(index),
            Step::Cut(upstream) => self.cut(upstream),
            Step::Heal(upstream) => self.heal(upstream),
            Step::PauseUpstream(upstream) => self.pause_upstream(upstream),
            Step::ResumeUpstream(upstream) => self.resume_upstream(upstream),
            Step::RestartSameId(upstream) => self.restart(upstream, true),
            Step::RestartNewId(upstream) => self.restart(upstream, false),
            Step::Drain(upstream) => self.drain(upstream),
            Step::StopGranter => self.stop_granter(),
            Step::PauseGranter => self.pause_granter(),
            Step::ResumeGranter => self.resume_granter(),
            Step::StoreFails => self.store_fails(),
            Step::StoreReturns => self.store_returns(),
            Step::RollBack(kept) => self.roll_back(kept),
        }
    }
}
