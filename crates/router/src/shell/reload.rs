//! Reads the settings again when the process is told to, or when the file has
//! changed.

use crate::core::Input;
use crate::settings::NodeSettings;
use crate::shell::handle::Shared;
use slog::{info, warn};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::Signal;

/// Between looks at whether the file has changed.
const LOOK: Duration = Duration::from_secs(1);

/// Follows the settings file for the life of the process.
pub(crate) async fn follow(
    shared: Rc<Shared>,
    file: String,
    settings: NodeSettings,
    mut hangup: Signal,
) {
    let mut in_force = settings;
    // The file may have changed since it was read.
    let mut changed_at = None;
    loop {
        let told = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(LOOK) => false,
        };
        let seen = modified(&file);
        if !told && seen == changed_at {
            continue;
        }
        changed_at = seen;
        reload(&shared, &file, &mut in_force, told);
    }
}

fn modified(file: &str) -> Option<SystemTime> {
    std::fs::metadata(Path::new(file)).ok()?.modified().ok()
}

/// Puts in force what can change in a running process. A file that is refused
/// changes nothing.
fn reload(shared: &Shared, file: &str, in_force: &mut NodeSettings, told: bool) {
    let log = &shared.observer.log;
    let next = match NodeSettings::load(file) {
        Ok(next) => next,
        Err(error) => {
            warn!(log, "reload"; "outcome" => "refused", "error" => %error);
            return;
        }
    };
    let fixed = in_force.fixed_changes(&next).join(",");
    let changed = next.changeable() != in_force.changeable();
    if told || changed || !fixed.is_empty() {
        info!(log, "reload"; "outcome" => if changed { "changed" } else { "same" },
            "needs_restart" => fixed);
    }
    if changed {
        in_force.adopt(&next);
        let config = Box::new(in_force.core_config(shared.run));
        shared.input(Input::Settings(config));
    }
}
