//! `node` and `demo`: processes that run until a termination signal arrives.

use super::{DemoArguments, NodeArguments, Outcome};
use crate::demo::Demo;
use crate::logging;
use crate::process::BoundNode;
use beamtray_settings::{Declaration, NodeSettings, SettingsError};
use beamtray_types::{NodeId, Zone};
use eyre::{Result, WrapErr, bail};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::Level;
use std::thread;

const PK_CENTRAL: &str = include_str!("../../../../deploy/pk-central.toml");

pub(super) fn run(arguments: NodeArguments) -> Result<Outcome> {
    let log = logging::logger(parse_level(arguments.log_level.as_deref(), Level::Info)?);
    let settings = match settings(arguments) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Ok(Outcome::Invalid);
        }
    };
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("register signals")?;
    let node = BoundNode::bind(settings)?.start(log)?;
    println!(
        "callers {} peers {} operators {}",
        node.addresses.callers, node.addresses.peers, node.addresses.operators
    );
    let stop = node.stop_function();
    thread::spawn(move || {
        for _ in signals.forever() {
            stop();
        }
    });
    node.join()?;
    Ok(Outcome::Done)
}

fn settings(arguments: NodeArguments) -> Result<NodeSettings, SettingsError> {
    let file = arguments.settings;
    let mut settings = NodeSettings::load(&file)?;
    if let Some(node) = arguments.node {
        settings.node = NodeId(node);
    }
    if let Some(zone) = arguments.zone {
        settings.zone = Zone(zone);
    }
    settings.callers = arguments.callers.unwrap_or(settings.callers);
    settings.peers = arguments.peers.unwrap_or(settings.peers);
    settings.operators = arguments.operators.unwrap_or(settings.operators);
    settings.key_value = arguments.key_value.unwrap_or(settings.key_value);
    settings.machines = arguments.machines.or(settings.machines);
    settings.check("flags", "")?;
    Ok(settings)
}

pub(super) fn demo(arguments: DemoArguments) -> Result<Outcome> {
    let log = logging::logger(parse_level(arguments.log_level.as_deref(), Level::Warning)?);
    let declaration = match &arguments.deployment {
        Some(file) => Declaration::load(file),
        None => Declaration::parse("pk-central.toml", PK_CENTRAL),
    };
    let declaration = match declaration {
        Ok(declaration) => declaration,
        Err(error) => {
            eprintln!("{error}");
            return Ok(Outcome::Invalid);
        }
    };
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("register signals")?;
    let demo = Demo::start(declaration, &log)?;
    let passed = demo.run_scenario()?;
    if !arguments.once {
        demo.print_addresses();
        signals.forever().next();
    }
    demo.stop()?;
    Ok(if passed {
        Outcome::Done
    } else {
        Outcome::Failed
    })
}

pub(super) fn parse_level(name: Option<&str>, default: Level) -> Result<Level> {
    Ok(match name {
        None => default,
        Some("debug") => Level::Debug,
        Some("info") => Level::Info,
        Some("warning") => Level::Warning,
        Some(other) => bail!("--log-level {other}: allowed is debug, info or warning"),
    })
}
