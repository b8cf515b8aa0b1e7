//! The actor that owns the core.

use crate::core::{Input, NodeCore, Output};
use beamtray_types::Time;
use stakker::{CX, Fwd};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// What the process's loop needs to know after each turn of the actor.
#[derive(Debug, Default)]
pub(crate) struct LoopState {
    /// The time at which the actor works.
    pub now: Cell<Time>,
    /// When the next decision is due.
    pub due: Cell<Option<Time>>,
    /// Whether the node is ready for clients.
    pub ready: Cell<bool>,
    /// How long after one tick the next one is due.
    pub tick_interval: Cell<Duration>,
}

/// Owns the core; passes on what it asks for.
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

    /// Takes one input.
    pub fn input(&mut self, _: CX![], input: Input) {
        let now = self.loop_state.now.get();
        for output in self.core.handle(now, input) {
            self.outputs.fwd(output);
        }
        self.loop_state.due.set(self.core.next_due());
        self.loop_state.ready.set(self.core.is_ready());
        self.loop_state.tick_interval.set(self.core.tick_pause(now));
    }

    /// Lets the owner look at the core.
    pub fn inspect(&mut self, _: CX![], callback: Box<dyn FnOnce(&NodeCore)>) {
        callback(&self.core);
    }
}
