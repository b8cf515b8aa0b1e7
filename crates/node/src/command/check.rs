//! `check`: settings and declarations without a running service.

use super::{CheckArguments, Outcome};
use beamtray_settings::{Declaration, NodeSettings, SettingsError};

/// A file with this table is a declaration, any other is a settings file.
const DECLARATION_MARK: &str = "[[service";

pub(super) fn check(arguments: &CheckArguments) -> Outcome {
    match check_file(&arguments.file) {
        Ok(summary) => {
            println!("{}: {summary}", arguments.file);
            Outcome::Done
        }
        Err(error) => {
            eprintln!("{error}");
            Outcome::Invalid
        }
    }
}

fn check_file(file: &str) -> Result<String, SettingsError> {
    let is_declaration = std::fs::read_to_string(file).is_ok_and(|text| {
        text.lines()
            .any(|line| line.trim().starts_with(DECLARATION_MARK))
    });
    if is_declaration {
        let declaration = Declaration::load(file)?;
        let servers: usize = declaration.services.iter().map(|s| s.servers.len()).sum();
        let services = declaration.services.len();
        return Ok(format!(
            "valid declaration, {services} services, {servers} servers"
        ));
    }
    let settings = NodeSettings::load(file)?;
    let peers = settings.peer_nodes.len();
    Ok(format!(
        "valid settings of node {}, {peers} peers",
        settings.node
    ))
}
