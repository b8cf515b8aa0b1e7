//! replay
