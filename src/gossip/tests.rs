//! Which load reports are broadcast, and which received messages are accepted.

use super::{
    Broadcaster, CREDIT_PER_REQUEST, DecodeError, GossipBudget, MIN_BROADCAST_INTERVAL_MS,
    PeerReport, message,
};
use std::collections::HashMap;

fn budget() -> GossipBudget {
    GossipBudget {
        dispatchers: 100,
        message_price: 1.0,
        report_fields: 2,
    }
}

/// Returns a broadcaster with these engines and full credit.
fn broadcaster_with_credit(engines: &[&str]) -> Broadcaster {
    let mut broadcaster = Broadcaster::new(budget());
    broadcaster.set_engines(engines.iter().copied());
    (0..1000).for_each(|_| broadcaster.credit_request());
    broadcaster
}

fn peer_report(engine: &str, report: &[f64]) -> PeerReport {
    PeerReport {
        engine: engine.to_string(),
        report: report.to_vec(),
    }
}

#[test]
fn a_report_reaches_a_peer_unchanged() {
    let mut sender = broadcaster_with_credit(&["s-1", "s-2"]);
    let mut receiver = broadcaster_with_credit(&["s-2", "s-3"]);
    let reports = [
        (0.0, [7.0, 0.5]),
        (1000.0, [0.0, 0.0]),
        (2000.0, [40.0, 1.0]),
    ];
    for (now, report) in reports {
        let message = sender.offer_report(now, "s-2", &report).expect("broadcast");
        assert!(message.is_ascii(), "not ASCII: {message:?}");
        assert_eq!(message.len(), 6, "{message:?}");
        assert_eq!(
            receiver.receive(now + 10.0, &message),
            Ok(Some(peer_report("s-2", &report)))
        );
    }
}

#[test]
fn values_lose_less_than_the_engines_own_noise() {
    let mut sender = broadcaster_with_credit(&["s"]);
    let mut receiver = broadcaster_with_credit(&["s"]);
    for number in 0..2000 {
        let count = f64::from(number) / 7.0;
        let share = f64::from(number) / 2000.0;
        let now = f64::from(number) * 1000.0;
        (0..100).for_each(|_| sender.credit_request());
        let message = sender.offer_report(now, "s", &[count, share]).unwrap();
        let received = receiver.receive(now, &message).unwrap().unwrap().report;
        assert!(
            (received[0] - count).abs() <= (0.05 * count).max(0.5),
            "{count} became {}",
            received[0]
        );
        assert!(
            (received[1] - share).abs() <= 0.0101,
            "{share} became {}",
            received[1]
        );
    }
}

/// A hundred dispatchers would otherwise broadcast the same engine's report a hundred times.
#[test]
fn an_engine_that_any_dispatcher_reported_a_moment_ago_is_not_reported_again() {
    let mut one = broadcaster_with_credit(&["s-1", "s-2"]);
    let mut other = broadcaster_with_credit(&["s-1", "s-2"]);
    let message = one
        .offer_report(0.0, "s-1", &[1.0, 0.1])
        .expect("the first");
    assert_eq!(
        one.offer_report(MIN_BROADCAST_INTERVAL_MS - 1.0, "s-1", &[9.0, 0.9]),
        None,
        "a dispatcher does not repeat its own broadcast"
    );
    other.receive(10.0, &message).unwrap();
    assert_eq!(
        other.offer_report(MIN_BROADCAST_INTERVAL_MS, "s-1", &[9.0, 0.9]),
        None,
        "nor that of a peer"
    );
    assert!(
        other
            .offer_report(MIN_BROADCAST_INTERVAL_MS, "s-2", &[9.0, 0.9])
            .is_some(),
        "the interval applies to that engine alone"
    );
    assert!(
        other
            .offer_report(MIN_BROADCAST_INTERVAL_MS + 10.0, "s-1", &[9.0, 0.9])
            .is_some(),
        "a report is broadcast again after the interval"
    );
}

/// The cost of a broadcast grows with the number of peers; it must stay within the credit in small and large
/// tiers.
#[test]
fn messages_cost_no_more_than_the_credit_of_the_requests() {
    for (dispatchers, message_price) in [(3, 1.0), (100, 1.0), (300, 1.0), (100, 20.0)] {
        let mut broadcaster = Broadcaster::new(GossipBudget {
            dispatchers,
            message_price,
            report_fields: 2,
        });
        let names: Vec<String> = (0..60).map(|number| format!("s-{number}")).collect();
        broadcaster.set_engines(names.iter().map(String::as_str));
        let requests = 5000;
        let mut bytes = 0;
        for request in 0..requests {
            broadcaster.credit_request();
            let now = request as f64 * 200.0;
            let message = broadcaster.offer_report(now, &names[request % 60], &[1.0, 0.5]);
            bytes += message.map_or(0, |message| message.len());
        }
        let peers = f64::from(dispatchers - 1);
        let cost = message_price * bytes as f64 * peers / 256.0 / requests as f64;
        assert!(
            cost <= CREDIT_PER_REQUEST,
            "{dispatchers} dispatchers at a price of {message_price}: {cost} points per request"
        );
        assert!(
            bytes > 0 || message_price > 9.0,
            "nothing is broadcast at a usual price of {message_price}"
        );
    }
}

/// Returns two names with the same 21-bit hash, found by trial.
fn colliding_names() -> (String, String) {
    let name = |number: u32| format!("s-{number:08x}");
    let mut numbers_by_hash = HashMap::new();
    (0..)
        .find_map(|number| {
            let earlier = numbers_by_hash.insert(message::engine_hash(&name(number)), number);
            earlier.map(|earlier| (name(earlier), name(number)))
        })
        .expect("two names with the same hash")
}

#[test]
fn engines_that_share_a_hash_are_not_reported_and_reports_of_unlisted_engines_are_ignored() {
    let (one, other) = colliding_names();
    let mut unambiguous = broadcaster_with_credit(&[&one]);
    let message = unambiguous
        .offer_report(0.0, &one, &[1.0, 0.1])
        .expect("an engine with a unique hash is reported");
    let mut ambiguous = broadcaster_with_credit(&[&one, &other]);
    assert_eq!(ambiguous.offer_report(0.0, &one, &[1.0, 0.1]), None);
    assert_eq!(
        ambiguous.receive(0.0, &message),
        Ok(None),
        "the hash is ambiguous"
    );
    assert_eq!(
        broadcaster_with_credit(&["s-else"]).receive(0.0, &message),
        Ok(None),
        "the engine is not listed"
    );
    unambiguous.set_engines(["s-else"].into_iter());
    assert_eq!(
        unambiguous.offer_report(1000.0, &one, &[1.0, 0.1]),
        None,
        "the engine is no longer listed"
    );
}

#[test]
fn a_malformed_message_is_an_error_and_changes_nothing() {
    let mut broadcaster = broadcaster_with_credit(&["s"]);
    let valid = broadcaster_with_credit(&["s"])
        .offer_report(0.0, "s", &[1.0, 0.1])
        .unwrap();
    let mut out_of_range = valid.clone();
    out_of_range[4] = 200;
    let too_long = [&valid[..], b"x"].concat();
    let wrong_length = |actual| DecodeError::Length {
        actual,
        expected: 6,
    };
    let cases: [(&[u8], DecodeError); 6] = [
        (b"", wrong_length(0)),
        (&valid[..5], wrong_length(5)),
        (&too_long, wrong_length(7)),
        (b"x12345", DecodeError::UnknownKind(b'x')),
        (&out_of_range, DecodeError::ByteOutOfRange),
        (&[0; 257], DecodeError::UnknownKind(0)),
    ];
    for (message, error) in cases {
        assert_eq!(broadcaster.receive(0.0, message), Err(error));
    }
    assert!(
        broadcaster.offer_report(0.0, "s", &[1.0, 0.1]).is_some(),
        "a malformed message must not suppress a broadcast"
    );
}

#[test]
fn a_report_with_other_fields_or_impossible_values_is_not_broadcast() {
    let mut broadcaster = broadcaster_with_credit(&["s"]);
    let malformed: [&[f64]; 5] = [
        &[1.0],
        &[],
        &[1.0, f64::NAN],
        &[1.0, -0.1],
        &[f64::INFINITY, 0.0],
    ];
    for report in malformed {
        assert_eq!(
            broadcaster.offer_report(9000.0, "s", report),
            None,
            "{report:?} is not a valid report"
        );
    }
}

#[test]
fn a_single_dispatcher_broadcasts_nothing() {
    let mut broadcaster = Broadcaster::new(GossipBudget {
        dispatchers: 1,
        ..budget()
    });
    broadcaster.set_engines(["s"].into_iter());
    (0..1000).for_each(|_| broadcaster.credit_request());
    assert_eq!(broadcaster.offer_report(0.0, "s", &[1.0, 0.1]), None);
}

#[test]
fn engines_that_share_a_hash_gossip_again_once_one_is_left() {
    let mut broadcaster = broadcaster_with_credit(&[]);
    let mut by_hash: HashMap<u32, String> = HashMap::new();
    let (first, second) = (0..)
        .find_map(|number| {
            let name = format!("s-{number}");
            let other = by_hash.insert(message::engine_hash(&name), name.clone())?;
            Some((other, name))
        })
        .expect("a collision");
    broadcaster.add_engine(&first);
    broadcaster.add_engine(&first);
    assert!(broadcaster.offer_report(0.0, &first, &[1.0, 0.5]).is_some());
    broadcaster.add_engine(&second);
    assert!(
        broadcaster
            .offer_report(1000.0, &first, &[1.0, 0.5])
            .is_none()
    );
    broadcaster.remove_engine(&second);
    assert!(
        broadcaster
            .offer_report(2000.0, &first, &[1.0, 0.5])
            .is_some()
    );
    broadcaster.remove_engine(&first);
    assert!(
        broadcaster
            .offer_report(3000.0, &first, &[1.0, 0.5])
            .is_none()
    );
}
