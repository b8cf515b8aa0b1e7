//! Breadth-first search, so that a counterexample is of minimal length.

use crate::check::Violation;
use crate::scope::Scope;
use crate::world::{Step, TraceEntry, World};
use std::collections::HashSet;
use std::fmt;

/// Limits of a search.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of steps in a history.
    pub depth: usize,
    /// Maximum number of states. Each unexpanded state takes a few kilobytes of memory.
    pub states: usize,
}

/// A history that violates an invariant.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The violation.
    pub violation: Violation,
    /// Steps that lead to the violation.
    pub steps: Vec<Step>,
    /// Human-readable trace of the steps.
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

/// Outcome of a search.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// All histories within the scope were searched, of any length.
    Exhausted,
    /// All histories up to the depth limit were searched; longer ones exist.
    DepthReached,
    /// The limit on states was reached; the reported depth is the last one searched completely.
    TooManyStates,
    /// An invariant is violated.
    Found(Box<Counterexample>),
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct Search {
    /// How the search ended.
    pub outcome: Outcome,
    /// Largest number of steps for which all histories were searched.
    pub depth: usize,
    /// Number of distinct states visited.
    pub states: usize,
    /// Number of steps applied.
    pub steps: usize,
}

impl Search {
    /// Whether the whole state space of the scope was searched.
    pub fn is_exhausted(&self) -> bool {
        matches!(self.outcome, Outcome::Exhausted)
    }

    /// Returns the counterexample, if one was found.
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

/// The edge that leads to a state in the search tree.
#[derive(Clone, Copy, Debug)]
struct SearchNode {
    parent: usize,
    step: Step,
}

/// Searches all histories of the scope.
pub fn search(scope: &Scope, limits: Limits) -> Search {
    let start = World::new(scope);
    // States are identified by a 64-bit hash: among ten million states, the probability that
    // any two collide is 3 in a million.
    let mut visited = HashSet::from([start.fingerprint()]);
    // The initial state has no node. Parent 0 denotes it; other parents are indices plus one.
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

/// Replays the history with tracing enabled.
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
