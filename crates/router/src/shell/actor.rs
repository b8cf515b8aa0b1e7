//! The actor that owns the core.

use crate::core::{Input, NodeCore, Output};
use beamtray_types::Time;
use stakker::{CX, Fwd};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// What the process's loop needs to know after each turn of the actor.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    /// The time at which the actor works.
    pub now: Cell<Time>,
    /// When the next decision is due.
    pub due: Cell<Option<Time>>,
    /// Whether the node is ready for clients.
    pub ready: Cell<bool>,
    /// How long after one tick the next one is due.
    pub tick_pause: Cell<Duration>,
}

/// Owns the core; passes on what it asks for.
pub(crate) struct RouterActor {
    core: NodeCore,
    turn: Rc<Turn>,
    outputs: Fwd<Output>,
}

impl RouterActor {
    pub fn init(_: CX![], core: NodeCore, turn: Rc<Turn>, outputs: Fwd<Output>) -> Option<Self> {
        Some(Self {
            core,
            turn,
            outputs,
        })
    }

    /// Takes one input.
    pub fn input(&mut self, _: CX![], input: Input) {
        let now = self.turn.now.get();
        for output in self.core.handle(now, input) {
            self.outputs.fwd(output);
        }
        self.turn.due.set(self.core.next_due());
        self.turn.ready.set(self.core.is_ready());
        self.turn.tick_pause.set(self.core.tick_interval(now));
    }

    /// Lets the owner look at the core.
    pub fn inspect(&mut self, _: CX![], look: Box<dyn FnOnce(&NodeCore)>) {
        look(&self.core);
    }
}
