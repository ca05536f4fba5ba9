//! Delay of the test process's own timers: with a long delay, the times that it records prove nothing.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Interval of the timer that is observed.
const STEP: Duration = Duration::from_millis(5);

thread_local! {
    static TIMER_LAG: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Measures the maximum delay of this thread's timers from now on; never returns.
pub async fn measure_timer_lag() {
    TIMER_LAG.set(Duration::ZERO);
    loop {
        let due = Instant::now() + STEP;
        tokio::time::sleep(STEP).await;
        TIMER_LAG.set(TIMER_LAG.get().max(due.elapsed()));
    }
}

/// Returns the maximum delay measured so far on this thread.
pub fn timer_lag() -> Duration {
    TIMER_LAG.get()
}
