//! Power loss of all routers with the upstreams of a zone, twice, beside faults of the store. Long
//! runs are started by hand: see docs/DEVELOPING.md.

mod common;

use common::assert_clean_run;

const PLAN: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../soak/power-loss.toml");
const SEED: &str = "800101";
/// Requests per second, which 79 routers with a tenth of a core bear in an unoptimized build.
const RATE: &str = "800";

// Guards against routers that wait for each other, or for keys, after all of them have come back,
// and against upstreams that are sent more than they bear while they are cold.
#[test]
fn services_are_served_again_after_two_power_losses_of_all_routers() {
    let arguments = [
        "run", "--size", "large", "--rate", RATE, "--seed", SEED, "--plan", PLAN,
    ];
    assert_clean_run(&arguments, "soak-power-loss");
}
