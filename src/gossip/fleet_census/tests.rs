use super::{
    CONFIRMATION_PERIOD, FleetCensus, MAX_SAMPLE_AGE, MAX_UNLISTED_PEERS, SAMPLE_MESSAGES,
    UNLISTED_PERIOD,
};
use crate::decision::model::{FleetEvidence, Millis};

/// Records messages from the listed peers in turn, one every 10 ms.
fn record_in_turn(
    census: &mut FleetCensus<u32>,
    from: Millis,
    peers: u32,
    messages: u32,
) -> FleetEvidence {
    let mut evidence = FleetEvidence {
        min_dispatchers: 0,
        confirmed_until: None,
    };
    for message in 0..messages {
        evidence = census.record_listed(from + 10.0 * f64::from(message), message % peers);
    }
    evidence
}

#[test]
fn a_sample_of_listed_peers_confirms_the_configured_number_for_a_while() {
    for configured in [2, 5, 300] {
        let mut census = FleetCensus::new(configured);
        let messages = SAMPLE_MESSAGES as u32;
        let early = record_in_turn(&mut census, 0.0, configured - 1, messages - 1);
        assert_eq!(early.confirmed_until, None, "{configured} dispatchers");
        let last = 10.0 * f64::from(messages - 1);
        let evidence = census.record_listed(last, configured - 2);
        let until = last + CONFIRMATION_PERIOD;
        assert_eq!(
            evidence.confirmed_until,
            Some(until),
            "{configured} dispatchers"
        );
        assert_eq!(evidence.min_dispatchers, 0);
    }
}

#[test]
fn messages_from_one_peer_of_many_confirm_nothing() {
    let mut census = FleetCensus::new(30);
    assert_eq!(
        record_in_turn(&mut census, 0.0, 1, 500).confirmed_until,
        None
    );
}

#[test]
fn a_sample_that_takes_too_long_is_discarded() {
    let mut census = FleetCensus::new(5);
    for message in 0..100u32 {
        let now = f64::from(message) * MAX_SAMPLE_AGE / 10.0;
        let evidence = census.record_listed(now, message % 4);
        assert_eq!(evidence.confirmed_until, None);
    }
}

#[test]
fn an_unlisted_peer_refutes_the_configured_number_while_it_is_remembered() {
    let mut census = FleetCensus::new(5);
    assert!(
        record_in_turn(&mut census, 0.0, 4, 40)
            .confirmed_until
            .is_some()
    );
    let refuted = census.record_unlisted(1000.0, 77);
    assert_eq!(
        (refuted.min_dispatchers, refuted.confirmed_until),
        (6, None)
    );
    let later = record_in_turn(&mut census, 1001.0, 4, 1000);
    assert_eq!((later.min_dispatchers, later.confirmed_until), (6, None));
    let forgotten = record_in_turn(&mut census, 1000.0 + UNLISTED_PERIOD, 4, 40);
    assert_eq!(forgotten.min_dispatchers, 0);
    assert!(forgotten.confirmed_until.is_some());
}

#[test]
fn unlisted_peers_are_counted_once_each_and_within_a_bound() {
    let mut census = FleetCensus::new(10);
    for peer in 0..10 {
        census.record_unlisted(0.0, peer % 3);
    }
    assert_eq!(census.record_unlisted(1.0, 0).min_dispatchers, 13);
    let mut evidence = census.record_unlisted(2.0, 0);
    for peer in 0..10_000 {
        evidence = census.record_unlisted(3.0, peer);
    }
    assert_eq!(evidence.min_dispatchers, 10 + MAX_UNLISTED_PEERS as u32);
}
