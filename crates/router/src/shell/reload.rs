//! Reloads the settings on SIGHUP or when their file has changed.

use crate::core::Input;
use crate::settings::NodeSettings;
use crate::shell::handle::Shared;
use slog::{info, warn};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::Signal;

/// Interval at which the file's modification time is checked.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the settings file for the lifetime of the process.
pub(crate) async fn watch_settings(
    shared: Rc<Shared>,
    file: String,
    settings: NodeSettings,
    mut hangup: Signal,
) {
    let mut in_force = settings;
    // The file may have changed since start-up, so the first check always reloads.
    let mut last_modified = None;
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let modified = modified_time(&file);
        if !signalled && modified == last_modified {
            continue;
        }
        last_modified = modified;
        reload(&shared, &file, &mut in_force, signalled);
    }
}

fn modified_time(file: &str) -> Option<SystemTime> {
    std::fs::metadata(Path::new(file)).ok()?.modified().ok()
}

/// Applies the settings that can change in a running process. An invalid file changes nothing.
fn reload(shared: &Shared, file: &str, in_force: &mut NodeSettings, signalled: bool) {
    let log = &shared.observer.log;
    let next = match NodeSettings::load(file) {
        Ok(next) => next,
        Err(error) => {
            warn!(log, "reload"; "outcome" => "refused", "error" => %error);
            return;
        }
    };
    let needs_restart = in_force.changes_needing_restart(&next).join(",");
    let changed = next.reloadable() != in_force.reloadable();
    if signalled || changed || !needs_restart.is_empty() {
        info!(log, "reload"; "outcome" => if changed { "changed" } else { "same" },
            "needs_restart" => needs_restart);
    }
    if changed {
        in_force.apply_reloadable(&next);
        let config = Box::new(in_force.core_config(shared.run));
        shared.input(Input::Settings(config));
    }
}
