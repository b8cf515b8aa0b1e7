//! The granter is killed right after an upstream has left a grant unanswered, and the upstream is
//! cut off: is what it takes late below the fence of the next holder?

use super::{Verdict, carry_out_late_grants};
use crate::site::{Folders, KEYED, Site, Size};
use eyre::{Result, bail};
use std::time::Duration;

/// Calm before the granter is killed.
const BEFORE: Duration = Duration::from_secs(4);
/// How long the upstream may have to wait for a grant.
const GRANT_WAIT: Duration = Duration::from_secs(3);
/// When the platform starts the killed process again.
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// For how long the upstream is cut off.
const CUT_FOR: Duration = Duration::from_millis(5_500);
/// When it carries the grants out at the earliest.
const LATE_BY: Duration = Duration::from_secs(2);
/// How long the run lasts after that.
const AFTER: Duration = Duration::from_secs(4);
const POLL: Duration = Duration::from_millis(1);
/// Key of the store that names the granter.
const GRANTER: &str = "beamtray/members/granter";

/// Runs the case.
pub async fn run(folders: &Folders, has_trouble: bool) -> Result<Verdict> {
    let size = Size {
        routers: 3,
        keyed: 6,
        pool: 0,
    };
    let mut site = Site::start(folders, &size).await?;
    tokio::time::sleep(BEFORE).await;
    let Some(upstream) = site.of_service(KEYED).next().cloned() else {
        bail!("there is no upstream");
    };
    if has_trouble {
        upstream.faults.late_grants.set(true);
        let end = site.record.now() + GRANT_WAIT;
        while upstream.unanswered.get() == 0 {
            if site.record.now() >= end {
                bail!("the upstream got no grant");
            }
            tokio::time::sleep(POLL).await;
        }
    }
    let killed_at = tokio::time::Instant::now();
    if has_trouble {
        upstream.faults.is_cut.set(true);
        upstream.faults.late_grants.set(false);
        let granter = site.store.get(GRANTER).unwrap_or_default();
        let names = |name: &str| {
            granter
                .windows(name.len())
                .any(|bytes| bytes == name.as_bytes())
        };
        let mut routers = site.routers.iter_mut();
        let Some(granter) = routers.find(|router| names(&router.name)) else {
            bail!("there is no granter");
        };
        granter.kill();
        site.record.line(format_args!("{} is cut off", upstream.id));
        tokio::time::sleep_until(killed_at + RESTART_AFTER).await;
        granter.restart()?;
        carry_out_late_grants(&upstream, killed_at + LATE_BY, killed_at + CUT_FOR).await;
    }
    tokio::time::sleep_until(killed_at + CUT_FOR).await;
    if has_trouble {
        upstream.faults.is_cut.set(false);
        site.record
            .line(format_args!("{} is reached again", upstream.id));
    }
    tokio::time::sleep(AFTER).await;
    let broken = site.judge.broken();
    site.record.tell(format_args!(
        "{} grants were taken; {} were left unanswered; the rule was broken {} times",
        site.judge.taken(),
        upstream.unanswered.get(),
        broken.len()
    ));
    for text in broken.iter().take(5) {
        site.record.tell(text);
    }
    Ok(if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
