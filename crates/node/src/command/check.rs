//! `check`: validates settings files and declarations offline.

use super::{CheckArguments, Outcome};
use beamtray_router::settings::NodeSettings as RouterSettings;
use beamtray_settings::{Declaration, NodeSettings};
use eyre::{Result, WrapErr};

/// A file with this table is a declaration; any other is a settings file.
const DECLARATION_TABLE: &str = "[[service";
/// A settings file with this table is for `route`.
const STORE_TABLE: &str = "[store]";

pub(super) fn check(arguments: &CheckArguments) -> Outcome {
    match check_file(&arguments.file) {
        Ok(summary) => {
            println!("{}: {summary}", arguments.file);
            Outcome::Done
        }
        Err(error) => {
            eprintln!("{error:#}");
            Outcome::Invalid
        }
    }
}

fn has_line_with_prefix(text: &str, prefix: &str) -> bool {
    text.lines().any(|line| line.trim().starts_with(prefix))
}

/// Whether the text is a settings file of `route`, which has a `[store]` table.
fn is_router_settings(text: &str) -> bool {
    has_line_with_prefix(text, STORE_TABLE)
}

fn check_file(file: &str) -> Result<String> {
    // If the file cannot be read, `NodeSettings::load` below reports the error.
    let text = std::fs::read_to_string(file).unwrap_or_default();
    if has_line_with_prefix(&text, DECLARATION_TABLE) {
        let declaration = Declaration::load(file)?;
        let servers: usize = declaration.services.iter().map(|s| s.servers.len()).sum();
        let services = declaration.services.len();
        return Ok(format!(
            "valid declaration, {services} services, {servers} servers"
        ));
    }
    if is_router_settings(&text) {
        let settings = RouterSettings::parse(file, &text).wrap_err("router settings")?;
        let store = settings.store.address;
        return Ok(format!(
            "valid settings of router {}, store {store}",
            settings.node
        ));
    }
    let settings = NodeSettings::load(file)?;
    let peers = settings.peer_nodes.len();
    Ok(format!(
        "valid settings of node {}, {peers} peers",
        settings.node
    ))
}
