//! Helpers shared by the search tests.

#![allow(dead_code, reason = "not every test file uses every helper")]

use beamtray_grantsearch::{Counterexample, Limits, Scope, Search, Transport, search};

/// More states than any search in the tests needs; a search that exceeds it fails.
const MOST_STATES: usize = 400_000;

/// A scope in which connections are reset when a call times out and when a process
/// exits.
pub fn reset() -> Scope {
    let scope = Scope::new(Transport::PLAIN_CLOSE);
    Scope {
        transport: Transport::reset(scope.timing.transit),
        ..scope
    }
}

/// A scope in which connections are closed without a reset.
pub fn plain_close() -> Scope {
    Scope::new(Transport::PLAIN_CLOSE)
}

pub fn run(scope: &Scope, depth: usize) -> Search {
    let limits = Limits {
        depth,
        states: MOST_STATES,
    };
    search(scope, limits)
}

/// Returns the shortest counterexample, which must exist. Token renewal and the wait for grants that
/// an upstream may execute late mask the effect of the other guards, so both are
/// disabled here: the absence of each other guard has to show on its own.
pub fn find(scope: &Scope, depth: usize) -> Counterexample {
    let mut scope = *scope;
    scope.timing.guards.renews_tokens = false;
    scope.timing.guards.waits_for_doubt = false;
    let search = run(&scope, depth);
    println!("{search}");
    search.found().cloned().expect("a counter-case")
}

/// Asserts that all histories of that length were searched and none violates an invariant.
pub fn assert_kept(scope: &Scope, depth: usize) {
    let search = run(scope, depth);
    println!("{search}");
    assert!(search.found().is_none(), "{search}");
    let reached_depth = search.depth == depth;
    assert!(reached_depth || search.is_exhausted(), "{search}");
}
