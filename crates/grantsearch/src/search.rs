//! Breadth first: the counter-case that is found is one of the shortest.

use crate::check::Broken;
use crate::scope::Scope;
use crate::world::{Line, Step, World};
use std::collections::HashSet;
use std::fmt;

/// How far a search goes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most steps of a history.
    pub depth: usize,
    /// Most states: a few kilobytes of memory for each that is not searched yet.
    pub states: usize,
}

/// A history that breaks a promise.
#[derive(Clone, Debug)]
pub struct CounterCase {
    /// What does not hold.
    pub broken: Broken,
    /// How it came to that.
    pub steps: Vec<Step>,
    /// The same for a reader.
    pub lines: Vec<Line>,
}

impl fmt::Display for CounterCase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} after {} steps",
            self.broken,
            self.steps.len()
        )?;
        for line in &self.lines {
            writeln!(formatter, "{line}")?;
        }
        Ok(())
    }
}

/// How a search ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// All histories within the scope were searched, of any length.
    Exhausted,
    /// All histories of that many steps were searched; there are longer ones.
    DepthReached,
    /// There were too many states; the depth given is the last one searched whole.
    TooManyStates,
    /// A promise is broken.
    Found(Box<CounterCase>),
}

/// A search that has ended.
#[derive(Clone, Debug)]
pub struct Search {
    /// How.
    pub outcome: Outcome,
    /// Steps of the longest histories of which all were searched.
    pub depth: usize,
    /// States that were visited.
    pub states: usize,
    /// Steps that were taken from them.
    pub steps: usize,
}

impl Search {
    /// Whether there are no longer histories than were searched.
    pub fn is_exhausted(&self) -> bool {
        matches!(self.outcome, Outcome::Exhausted)
    }

    /// The counter-case, if there is one.
    pub fn found(&self) -> Option<&CounterCase> {
        match &self.outcome {
            Outcome::Found(case) => Some(case),
            Outcome::Exhausted | Outcome::DepthReached | Outcome::TooManyStates => None,
        }
    }
}

impl fmt::Display for Search {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = match &self.outcome {
            Outcome::Exhausted => "all histories within the scope keep the promises".to_owned(),
            Outcome::DepthReached => "all histories of that length keep the promises".to_owned(),
            Outcome::TooManyStates => "ended for the number of states".to_owned(),
            Outcome::Found(case) => case.to_string(),
        };
        write!(
            formatter,
            "depth {}, {} states, {} steps: {outcome}",
            self.depth, self.states, self.steps
        )
    }
}

/// A state's place in the tree of histories.
#[derive(Clone, Copy, Debug)]
struct Origin {
    parent: usize,
    step: Step,
}

/// Searches all histories of the scope.
pub fn search(scope: &Scope, limits: Limits) -> Search {
    let start = World::new(scope);
    // States are told apart by a hash of 64 bits: among ten million, the chance that two
    // of them share one is 3 in a million.
    let mut visited = HashSet::from([start.fingerprint()]);
    // The start has no origin; a parent of 0 is the start, others count from 1.
    let mut origins: Vec<Origin> = Vec::new();
    let mut frontier = vec![(start, 0)];
    let mut steps = 0;
    let ended = |outcome, depth, states, steps| Search {
        outcome,
        depth,
        states,
        steps,
    };
    for depth in 0..limits.depth {
        let mut next = Vec::new();
        for (world, parent) in frontier {
            for step in world.steps() {
                let mut child = world.clone();
                child.apply(step);
                steps += 1;
                let broken = child.broken().cloned();
                let broken = broken.or_else(|| child.stays_unowned());
                if let Some(broken) = broken {
                    let case = counter_case(scope, &origins, Origin { parent, step }, broken);
                    let outcome = Outcome::Found(Box::new(case));
                    return ended(outcome, depth, visited.len(), steps);
                }
                if visited.insert(child.fingerprint()) {
                    origins.push(Origin { parent, step });
                    next.push((child, origins.len()));
                }
                if visited.len() > limits.states {
                    return ended(Outcome::TooManyStates, depth, visited.len(), steps);
                }
            }
        }
        if next.is_empty() {
            return ended(Outcome::Exhausted, depth, visited.len(), steps);
        }
        frontier = next;
    }
    ended(Outcome::DepthReached, limits.depth, visited.len(), steps)
}

/// Plays the history again and writes down what happens.
fn counter_case(scope: &Scope, origins: &[Origin], last: Origin, broken: Broken) -> CounterCase {
    let mut steps = vec![last.step];
    let mut parent = last.parent;
    while parent > 0 {
        let origin = origins[parent - 1];
        steps.push(origin.step);
        parent = origin.parent;
    }
    steps.reverse();
    let mut world = World::new(scope);
    world.write_down();
    for step in &steps {
        world.apply(*step);
    }
    CounterCase {
        broken,
        steps,
        lines: world.lines(),
    }
}
