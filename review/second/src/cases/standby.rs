//! The store is down for some seconds, and an upstream leaves the grants of the standbys
//! unanswered and is cut off: is what it takes late below the fence of the next holder?

use super::{Verdict, carry_out_late_grants};
use crate::site::{Folders, KEYED, Site, Size};
use eyre::{Result, bail};
use std::time::Duration;

/// Calm before the store is down.
const BEFORE: Duration = Duration::from_secs(4);
/// How long the store is down.
const STORE_DOWN: Duration = Duration::from_millis(4_500);
/// When, after the store is down, the upstream begins to leave grants unanswered.
const UNANSWERED_FROM: Duration = Duration::from_millis(2_900);
/// When, after the store is down, it carries them out at the earliest: 2 s or more after all of them.
const CARRIED_OUT_FROM: Duration = Duration::from_millis(6_600);
/// When, after the store is down, the upstream is cut off.
const CUT_FROM: Duration = Duration::from_millis(4_550);
/// For how long.
const CUT_FOR: Duration = Duration::from_millis(5_500);
/// How long the run lasts after that.
const AFTER: Duration = Duration::from_secs(4);

/// Runs the case.
pub async fn run(folders: &Folders, has_trouble: bool) -> Result<Verdict> {
    let size = Size {
        routers: 3,
        keyed: 6,
        pool: 0,
    };
    let site = Site::start(folders, &size).await?;
    tokio::time::sleep(BEFORE).await;
    let Some(upstream) = site.of_service(KEYED).next() else {
        bail!("there is no upstream");
    };
    let down_at = tokio::time::Instant::now();
    if has_trouble {
        site.store.set_down(true);
        site.record.line("the store is down");
        tokio::time::sleep_until(down_at + UNANSWERED_FROM).await;
        upstream.faults.late_grants.set(true);
        tokio::time::sleep_until(down_at + STORE_DOWN).await;
        site.store.set_down(false);
        site.record.line("the store is back");
        tokio::time::sleep_until(down_at + CUT_FROM).await;
        upstream.faults.is_cut.set(true);
        upstream.faults.late_grants.set(false);
        site.record.line(format_args!("{} is cut off", upstream.id));
    }
    let cut_until = down_at + CUT_FROM + CUT_FOR;
    carry_out_late_grants(upstream, down_at + CARRIED_OUT_FROM, cut_until).await;
    tokio::time::sleep_until(cut_until).await;
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
