//! Where slices belong: placement, balance and splitting.
//!
//! Pure: the caller states the slices, their load and the servers that may
//! take more, and gets the changes that are worth their churn. Nothing here
//! knows how a slice moves.

mod balance;
mod baseline;
mod input;
mod measure;

pub use balance::plan;
pub use baseline::{modulo_targets, ring_targets};
pub use input::{Change, PlacementInput, Policy, SliceLoad};
pub use measure::{Imbalance, imbalance};
