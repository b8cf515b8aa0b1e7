//! What operators write: a node's settings file and the declaration of
//! services, both TOML, checked before anything acts on them.
//!
//! Every error names the file, the field and what is allowed.

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
