//! How often a pair is known that does not disturb.

mod common;

use std::collections::BTreeSet;

use common::{Disturbance, NOISE, Noise, SETUP, Setup, Simulation};
use yare::parameterized;

const SEEDS: u64 = 15;

const RUN_MS: u64 = 60_000;

/// Greatest share of the time for which an image may be affected by a false pair.
///
/// A false pair can change the placements of its affected image only while it is known. No deployment
/// may lose more than 0.03 of its worth (docs/design/contention.md), so even if each placement that
/// a false pair could change lost all its worth, the bound would hold.
const MAX_FALSE_SHARE: f64 = 0.03;

const WIDE: Noise = Noise {
    tasks: 0.7,
    ..NOISE
};

const MANY_STRAGGLERS: Noise = Noise {
    straggler_percent: 15,
    ..NOISE
};

/// Guards against pairs that are known because of chance, wrong estimates, stragglers, slow workers,
/// a full pool, or another image that disturbs.
#[parameterized(
    usual_noise = { SETUP, None },
    tasks_that_differ_by_a_factor_of_two = { Setup { noise: WIDE, ..SETUP }, None },
    many_stragglers = { Setup { noise: MANY_STRAGGLERS, ..SETUP }, None },
    full_pool = { Setup { load_percent: 110, ..SETUP }, None },
    few_workers = { Setup { workers: 8, ..SETUP }, None },
    image_on_slow_workers_only = { Setup { on_slow_workers: Some("ada"), ..SETUP }, None },
    image_on_slow_workers_only_without_progress = {
        Setup { on_slow_workers: Some("ada"), load_percent: 60, reports_progress: false, ..SETUP },
        None,
    },
    no_progress = { Setup { reports_progress: false, ..SETUP }, None },
    serving_tasks = { Setup { serving: Some("web"), ..SETUP }, None },
    other_image_disturbs = { SETUP, Some(("ada", "bek", 3.0)) },
    other_image_disturbs_and_meets = {
        Setup { keeps_apart: false, load_percent: 85, ..SETUP },
        Some(("ada", "bek", 3.0)),
    },
    companion_of_an_image_that_disturbs = {
        Setup { companion: Some(("ada", "gil")), ..SETUP },
        Some(("ada", "bek", 1.8)),
    },
)]
fn false_pairs_are_rare(setup: Setup, disturbance: Option<Disturbance>) {
    let (mut false_passes, mut passes) = (0, 0);
    let mut false_pairs = BTreeSet::new();
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(setup, seed);
        simulation.disturbances.extend(disturbance);
        simulation.run(RUN_MS, |simulation| {
            let is_false = |source: &str, affected: &str| {
                disturbance.is_none_or(|(s, a, _)| (s, a) != (source, affected))
            };
            let known = simulation.known.keys();
            let known = known.filter(|(source, affected)| is_false(source, affected));
            let affected = known.clone().map(|(_, affected)| affected);
            false_passes += affected.collect::<BTreeSet<_>>().len();
            false_pairs.extend(known.map(|pair| (seed, pair.clone())));
            passes += setup.images.len();
        });
    }
    let share = false_passes as f64 / passes as f64;
    println!("share {share:.5}, pairs {false_pairs:?}");
    assert!(share <= MAX_FALSE_SHARE, "{share}: {false_pairs:?}");
}
