//! Deterministic simulation of beamtray and its environment.
//!
//! The production actors and cores run unchanged on a virtual clock. A seed
//! determines the history byte for byte. The simulated world records every
//! effect itself, and the checkers read only that record.

pub mod check;
pub mod explore;
pub mod fault;
pub mod guard;
pub mod measure;
pub mod plot;
pub mod record;
pub mod replay;
pub mod scale;
pub mod scenario;
pub mod world;
