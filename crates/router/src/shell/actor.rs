//! The actor that owns the core.

use crate::core::{Input, NodeCore, Output};
use beamtray_dispatch::DecisionWork;
use beamtray_types::Time;
use stakker::{CX, Fwd};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// State shared between the main loop and the actor, updated after each input.
#[derive(Debug, Default)]
pub(crate) struct LoopState {
    /// Time at which the actor handles its inputs.
    pub now: Cell<Time>,
    /// When the core next has work due.
    pub due: Cell<Option<Time>>,
    /// Whether the node is ready for clients.
    pub ready: Cell<bool>,
    /// Whether clients should turn to other nodes.
    pub isolated: Cell<bool>,
    /// Interval between ticks.
    pub tick_interval: Cell<Duration>,
    /// Work of decisions so far.
    pub work: Cell<DecisionWork>,
    /// Number of waiting requests.
    pub waiting: Cell<usize>,
}

/// Owns the core and forwards its outputs.
pub(crate) struct RouterActor {
    core: NodeCore,
    loop_state: Rc<LoopState>,
    outputs: Fwd<Output>,
}

impl RouterActor {
    pub fn init(
        _: CX![],
        core: NodeCore,
        loop_state: Rc<LoopState>,
        outputs: Fwd<Output>,
    ) -> Option<Self> {
        Some(Self {
            core,
            loop_state,
            outputs,
        })
    }

    /// Passes one input to the core.
    pub fn input(&mut self, _: CX![], input: Input) {
        let now = self.loop_state.now.get();
        for output in self.core.handle(now, input) {
            self.outputs.fwd(output);
        }
        self.loop_state.due.set(self.core.next_due());
        self.loop_state.ready.set(self.core.is_ready());
        self.loop_state.isolated.set(self.core.is_isolated());
        self.loop_state
            .tick_interval
            .set(self.core.tick_interval(now));
        let (_, _, dispatcher) = self.core.inspect();
        self.loop_state.work.set(dispatcher.decision_work());
        self.loop_state.waiting.set(dispatcher.request_counts().0);
    }

    /// Calls `callback` with read access to the core.
    pub fn inspect(&mut self, _: CX![], callback: Box<dyn FnOnce(&NodeCore)>) {
        callback(&self.core);
    }
}
