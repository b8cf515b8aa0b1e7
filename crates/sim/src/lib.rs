//! A deterministic simulation of beamtray and everything around it.
//!
//! The product's actors and cores run unchanged on a virtual clock. One seed
//! gives one history, byte for byte. The world keeps its own record of what
//! took effect, and the checkers see nothing else.

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
