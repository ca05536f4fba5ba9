use super::*;
use std::time::Duration;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

#[test]
fn deliveries_are_awaited_and_coalesced() {
    runtime().block_on(async {
        // SIGUSR2 is no signal that the program or the test harness uses otherwise.
        let number = signal_hook::consts::SIGUSR2;
        let mut signals = Signals::new(number).unwrap();
        let none_delivered = tokio::time::timeout(Duration::from_millis(50), signals.recv()).await;
        assert!(none_delivered.is_err(), "no delivery, no wake-up");
        for _ in 0..3 {
            signal_hook::low_level::raise(number).unwrap();
        }
        let first = tokio::time::timeout(Duration::from_secs(2), signals.recv()).await;
        assert_eq!(first.unwrap(), Some(()));
        let coalesced = tokio::time::timeout(Duration::from_millis(50), signals.recv()).await;
        assert!(
            coalesced.is_err(),
            "three deliveries before the wait are one"
        );
        signal_hook::low_level::raise(number).unwrap();
        let later = tokio::time::timeout(Duration::from_secs(2), signals.recv()).await;
        assert_eq!(later.unwrap(), Some(()), "a later delivery wakes again");
    });
}
