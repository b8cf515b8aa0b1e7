//! Slice placement: assignment, load balancing, splitting and merging.
//!
//! Pure functions: the caller passes the slices, their load and the available
//! servers, and gets the changes whose gain justifies their cost. How a slice
//! is moved is outside the scope of this crate.

mod balance;
mod baseline;
mod input;
mod measure;

pub use balance::plan;
pub use baseline::{modulo_targets, ring_targets};
pub use input::{Change, PlacementInput, Policy, SliceLoad};
pub use measure::{Imbalance, imbalance};
