//! The budget of a warming engine.

use super::{controller, entry, list};
use crate::decision::model::slow_start_usage::SlowStartUsage;
use crate::decision::slow_start::SLOW_START_SAFETY_FACTOR;

/// Seen when six in ten engines were replaced at once: for its whole warm-up an engine was held to
/// its initial capacity, and stood at 3 to 11% of its memory while the others were full.
#[test]
fn a_warming_engine_gets_more_with_its_age_and_never_more_than_it_bears_at_that_age() {
    let mut controller = controller();
    list(&mut controller, 10.0, vec![entry("new", Some(10.0))]);
    let new = controller.state.engines.find("new").unwrap();
    // The most of one query's work that fits, alone in its window: 0.6 x 3 x 8 cores x 1 s x the
    // capacity.
    for (age, capacity) in [(0.0, 0.3), (500.0, 0.65), (1000.0, 1.0), (1500.0, 1.0)] {
        let now = 10.0 + age;
        controller.state.now = now;
        let most = SLOW_START_SAFETY_FACTOR * 3.0 * 8.0 * 1000.0 * capacity;
        let probability = |controller: &super::Controller, work| {
            controller.slow_start_probability(&controller.state.engines[new], work)
        };
        assert!(
            probability(&controller, most * 0.999) > 0.0,
            "{age} ms after its start"
        );
        let usage = &mut controller.state.engines[new].slow_start_usage;
        usage.record(now, 1000.0, most * 0.5, 1.0);
        assert!(
            probability(&controller, most * 0.501) == 0.0,
            "what it got in this window counts"
        );
        controller.state.engines[new].slow_start_usage = SlowStartUsage::default();
    }
}
