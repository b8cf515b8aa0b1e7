//! Operator-written TOML files: a node's settings and the declaration of
//! services. Both are validated before use.
//!
//! Every error names the file, the field and the allowed values.

mod change;
mod declaration;
mod error;
mod node;

pub use change::DeclarationChange;
pub use declaration::{
    Declaration, Division, MAX_SERVERS, MAX_SLICES_PER_SERVER, RequestRule, ServerDeclaration,
    ServiceDeclaration,
};
pub use error::SettingsError;
pub use node::{NodeSettings, PeerSettings, TimingSettings};
