//! What tests of the search share.

#![allow(dead_code, reason = "not every test file uses every helper")]

use beamtray_grantsearch::{Counterexample, Limits, Scope, Search, Transport, search};

/// More states than any search of the tests needs: one that has more fails.
const MOST_STATES: usize = 400_000;

/// A world in which connections are reset when a call is given up on, and by the end of a
/// process.
pub fn reset() -> Scope {
    let scope = Scope::new(Transport::PLAIN_CLOSE);
    Scope {
        transport: Transport::reset(scope.timing.transit),
        ..scope
    }
}

/// A world in which connections are closed in the ordinary way.
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

/// The shortest counter-case, which must be there. Fresh tokens, and the wait for grants that
/// may lie with an upstream, cover part of what the other protections are for, so they are
/// off here: each of those has to be missed by itself.
pub fn find(scope: &Scope, depth: usize) -> Counterexample {
    let mut scope = *scope;
    scope.timing.guards.renews_tokens = false;
    scope.timing.guards.waits_for_doubt = false;
    let search = run(&scope, depth);
    println!("{search}");
    search.found().cloned().expect("a counter-case")
}

/// No history of that length breaks a promise, and all of them were searched.
pub fn assert_kept(scope: &Scope, depth: usize) {
    let search = run(scope, depth);
    println!("{search}");
    assert!(search.found().is_none(), "{search}");
    let reached_depth = search.depth == depth;
    assert!(reached_depth || search.is_exhausted(), "{search}");
}
