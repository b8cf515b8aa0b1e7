//! A state of the small world.

mod faults;
mod orders;
mod recovery;
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
use std::collections::VecDeque;
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hasher};

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time passes up to the next moment at which a fault could make a difference.
    AdvanceTime,
    /// The order that was just written arrives, and its answer too.
    Deliver,
    /// It is held up on its way.
    Delay,
    /// It arrives, its answer is lost, and it may arrive once more.
    LoseReply,
    /// The upstream has it, leaves it unanswered and may carry it out later.
    DeferExecution,
    /// A copy that was held up arrives now; copies count in the order of their writing.
    DeliverCopy(usize),
    /// The path between the granter and an upstream is cut.
    Cut(usize),
    /// It heals.
    Heal(usize),
    /// An upstream's process stands still.
    PauseUpstream(usize),
    /// It goes on, with what is in its buffers.
    ResumeUpstream(usize),
    /// An upstream ends and starts again under its id.
    RestartSameId(usize),
    /// An upstream ends and starts again under another id.
    RestartNewId(usize),
    /// An upstream is to lose its keys.
    Drain(usize),
    /// The granter ends, having given up its place.
    StopGranter,
    /// The granter stands still; what it wrote goes on.
    PauseGranter,
    /// The granter that stands still goes on, succeeded or not.
    ResumeGranter,
    /// The store takes no records.
    StoreFails,
    /// It takes records again.
    StoreReturns,
}

/// What happened, for a reader.
#[derive(Clone, Debug)]
pub struct TraceEntry {
    /// When.
    pub at: Time,
    /// What.
    pub text: String,
}

impl fmt::Display for TraceEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at.as_millis() as f64 / 1_000.0;
        write!(formatter, "{seconds:8.2} s  {}", self.text)
    }
}

/// The granter's process.
#[derive(Clone, Debug)]
struct Process {
    term: Term,
    granter: Granter,
    calls: Vec<Call>,
    /// Whether a kept connection to an upstream is there, by its index.
    connected: Vec<bool>,
    is_paused: bool,
}

/// How the granter reaches an upstream.
#[derive(Clone, Debug, Default)]
struct Path {
    is_cut: bool,
    /// The upstream's process stands still.
    is_paused: bool,
    healed_at: Option<Time>,
    /// When the upstream is up again after a restart.
    restarts_at: Option<Time>,
    /// The id that it has then.
    next_id: Option<UpstreamId>,
    /// The directory says that it is to lose its keys.
    is_draining: bool,
}

impl Path {
    fn is_open(&self) -> bool {
        !self.is_cut && self.restarts_at.is_none()
    }
}

/// A process that stood still went on.
#[derive(Clone, Copy, Debug)]
struct ResumedProcess {
    term: Term,
    at: Time,
}

/// A state.
#[derive(Clone, Debug)]
pub struct World {
    scope: Scope,
    ranges: Vec<KeyRange>,
    now: Time,
    remaining_faults: Faults,
    process: Option<Process>,
    /// When the next granter is there.
    successor_at: Option<Time>,
    terms: u64,
    /// Stands still and was succeeded.
    superseded: Option<Process>,
    store_fails: bool,
    /// The newest durable record.
    record: AssignmentRecord,
    upstreams: Vec<Upstream>,
    paths: Vec<Path>,
    copies: Vec<DelayedCopy>,
    /// Written at this moment; what becomes of them is to be decided.
    pending_orders: VecDeque<GrantOrder>,
    standby: Option<Standby>,
    resumed: Vec<ResumedProcess>,
    checker: InvariantChecker,
    /// Written down for a reader; no part of the state.
    trace: Option<Vec<TraceEntry>>,
}

/// Hashes what is written to it.
struct HashWriter(DefaultHasher);

impl Write for HashWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl World {
    /// Tells states apart. The granter shows all that it has only to be read by people, so
    /// that is what is hashed.
    pub fn fingerprint(&self) -> u64 {
        let mut writer = HashWriter(DefaultHasher::new());
        let time = (
            self.now,
            self.remaining_faults,
            self.successor_at,
            self.terms,
        );
        let processes = (&self.process, &self.superseded, &self.resumed);
        let stored = (self.store_fails, &self.record);
        let upstreams = (&self.upstreams, &self.paths);
        let orders = (&self.copies, &self.pending_orders);
        // Writing to a hasher can't fail.
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

    /// What is broken, if something is.
    pub fn violation(&self) -> Option<&Violation> {
        self.checker.violation.as_ref()
    }

    /// Begins to write down what happens.
    pub fn enable_trace(&mut self) {
        self.trace = Some(Vec::new());
    }

    /// What was written down.
    pub fn trace(self) -> Vec<TraceEntry> {
        self.trace.unwrap_or_default()
    }

    fn trace_event(&mut self, text: impl FnOnce() -> String) {
        let at = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(TraceEntry { at, text: text() });
        }
    }

    /// What may happen next.
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

    /// Does a step that [`World::steps`] lists.
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
        }
    }
}
