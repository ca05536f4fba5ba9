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
        // Neither the program nor the test harness uses SIGUSR2.
        let number = signal_hook::consts::SIGUSR2;
        let mut signals = Signals::new(number).unwrap();
        let none_delivered = tokio::time::timeout(Duration::from_millis(50), signals.recv()).await;
        assert!(
            none_delivered.is_err(),
            "recv must not return before a delivery"
        );
        for _ in 0..3 {
            signal_hook::low_level::raise(number).unwrap();
        }
        let first = tokio::time::timeout(Duration::from_secs(2), signals.recv()).await;
        assert_eq!(first.unwrap(), Some(()));
        let coalesced = tokio::time::timeout(Duration::from_millis(50), signals.recv()).await;
        assert!(
            coalesced.is_err(),
            "three deliveries before a wait must wake the receiver only once"
        );
        signal_hook::low_level::raise(number).unwrap();
        let later = tokio::time::timeout(Duration::from_secs(2), signals.recv()).await;
        assert_eq!(
            later.unwrap(),
            Some(()),
            "a later delivery must wake the receiver again"
        );
    });
}
