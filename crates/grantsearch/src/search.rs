//! Breadth first: the counter-case that is found is one of the shortest.

use crate::check::Violation;
use crate::scope::Scope;
use crate::world::{Step, TraceEntry, World};
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
pub struct Counterexample {
    /// What does not hold.
    pub violation: Violation,
    /// How it came to that.
    pub steps: Vec<Step>,
    /// The same for a reader.
    pub trace: Vec<TraceEntry>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} after {} steps",
            self.violation,
            self.steps.len()
        )?;
        for line in &self.trace {
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
    Found(Box<Counterexample>),
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
    pub fn found(&self) -> Option<&Counterexample> {
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
struct SearchNode {
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
    let mut nodes: Vec<SearchNode> = Vec::new();
    let mut frontier = vec![(start, 0)];
    let mut steps = 0;
    let result = |outcome, depth, states, steps| Search {
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
                let violation = child.violation().cloned();
                let violation = violation.or_else(|| child.ownership_timeout());
                if let Some(violation) = violation {
                    let case =
                        counterexample(scope, &nodes, SearchNode { parent, step }, violation);
                    let outcome = Outcome::Found(Box::new(case));
                    return result(outcome, depth, visited.len(), steps);
                }
                if visited.insert(child.fingerprint()) {
                    nodes.push(SearchNode { parent, step });
                    next.push((child, nodes.len()));
                }
                if visited.len() > limits.states {
                    return result(Outcome::TooManyStates, depth, visited.len(), steps);
                }
            }
        }
        if next.is_empty() {
            return result(Outcome::Exhausted, depth, visited.len(), steps);
        }
        frontier = next;
    }
    result(Outcome::DepthReached, limits.depth, visited.len(), steps)
}

/// Plays the history again and writes down what happens.
fn counterexample(
    scope: &Scope,
    nodes: &[SearchNode],
    last: SearchNode,
    violation: Violation,
) -> Counterexample {
    let mut steps = vec![last.step];
    let mut parent = last.parent;
    while parent > 0 {
        let node = nodes[parent - 1];
        steps.push(node.step);
        parent = node.parent;
    }
    steps.reverse();
    let mut world = World::new(scope);
    world.enable_trace();
    for step in &steps {
        world.apply(*step);
    }
    Counterexample {
        violation,
        steps,
        trace: world.trace(),
    }
}
