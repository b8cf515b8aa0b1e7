//! `route`: runs a node whose control state is kept in the platform's store.

use super::node::parse_level;
use super::{Outcome, RouteArguments};
use beamtray_adapter::Platform;
use beamtray_router::settings::NodeSettings;
use beamtray_router::shell;
use eyre::Result;
use slog::Level;
use std::rc::Rc;

pub(super) fn run(arguments: &RouteArguments) -> Result<Outcome> {
    let level = parse_level(arguments.log_level.as_deref(), Level::Info)?;
    let settings = match NodeSettings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Ok(Outcome::Invalid);
        }
    };
    let log = shell::build_logger(level);
    shell::run(&arguments.settings, &settings, Rc::new(Platform), &log)?;
    Ok(Outcome::Done)
}
