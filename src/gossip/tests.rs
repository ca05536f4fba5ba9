//! What is told, what is not, and what of it is understood.

use super::*;

fn terms() -> GossipBudget {
    GossipBudget {
        dispatchers: 100,
        message_price: 1.0,
        report_fields: 2,
    }
}

/// A dispatcher that knows these engines and has taken requests enough to speak.
fn rich(engines: &[&str]) -> Broadcaster {
    let mut b = Broadcaster::new(terms());
    b.set_engines(engines.iter().copied());
    (0..1000).for_each(|_| b.credit_request());
    b
}

#[test]
fn a_report_reaches_a_peer_as_it_was() {
    let (mut a, mut b) = (rich(&["s-1", "s-2"]), rich(&["s-2", "s-3"]));
    for (now, report) in [
        (0.0, [7.0, 0.5]),
        (1000.0, [0.0, 0.0]),
        (2000.0, [40.0, 1.0]),
    ] {
        let message = a.offer_report(now, "s-2", &report).expect("news");
        assert!(
            message.is_ascii() && message.len() == 6,
            "text as well, and short: {message:?}"
        );
        assert_eq!(
            b.receive(now + 10.0, &message),
            Ok(Some(("s-2".to_string(), report.to_vec())))
        );
    }
}

#[test]
fn values_lose_less_than_the_engines_own_noise() {
    let mut a = rich(&["s"]);
    let mut b = rich(&["s"]);
    for n in 0..2000 {
        let (count, share) = (f64::from(n) / 7.0, f64::from(n) / 2000.0);
        let now = f64::from(n) * 1000.0;
        (0..100).for_each(|_| a.credit_request());
        let (_, got) = b
            .receive(now, &a.offer_report(now, "s", &[count, share]).unwrap())
            .unwrap()
            .unwrap();
        assert!(
            (got[0] - count).abs() <= (0.05 * count).max(0.5),
            "{count} became {}",
            got[0]
        );
        assert!(
            (got[1] - share).abs() <= 0.0101,
            "{share} became {}",
            got[1]
        );
    }
}

/// What each would tell alone, a hundred would say a hundred times.
#[test]
fn an_engine_that_anybody_told_of_a_moment_ago_is_not_told_of_again() {
    let (mut a, mut b) = (rich(&["s-1", "s-2"]), rich(&["s-1", "s-2"]));
    let message = a
        .offer_report(0.0, "s-1", &[1.0, 0.1])
        .expect("the first word");
    assert_eq!(
        a.offer_report(QUIET - 1.0, "s-1", &[9.0, 0.9]),
        None,
        "its own word counts"
    );
    b.receive(10.0, &message).unwrap();
    assert_eq!(
        b.offer_report(QUIET, "s-1", &[9.0, 0.9]),
        None,
        "and so does a peer's"
    );
    assert!(
        b.offer_report(QUIET, "s-2", &[9.0, 0.9]).is_some(),
        "of that engine alone"
    );
    assert!(
        b.offer_report(QUIET + 10.0, "s-1", &[9.0, 0.9]).is_some(),
        "until it is old"
    );
}

/// The price of a word grows with the tier, and small ones would pay it as well as large ones.
#[test]
fn words_cost_no_more_than_their_part_of_what_requests_are_worth() {
    for (peers, price) in [(3, 1.0), (100, 1.0), (300, 1.0), (100, 20.0)] {
        let mut b = Broadcaster::new(GossipBudget {
            dispatchers: peers,
            message_price: price,
            report_fields: 2,
        });
        let names: Vec<String> = (0..60).map(|n| format!("s-{n}")).collect();
        b.set_engines(names.iter().map(String::as_str));
        let (mut bytes, requests) = (0, 5000);
        for n in 0..requests {
            b.credit_request();
            let now = n as f64 * 200.0;
            bytes += b
                .offer_report(now, &names[n % 60], &[1.0, 0.5])
                .map_or(0, |m| m.len());
        }
        let cost = price * bytes as f64 * f64::from(peers - 1) / 256.0 / requests as f64;
        assert!(
            cost <= SHARE,
            "{peers} dispatchers at {price}: {cost} points a request"
        );
        assert!(bytes > 0 || price > 9.0, "but the usual price is paid");
    }
}

#[test]
fn engines_of_one_short_name_are_not_told_of_and_news_of_others_lists_is_passed_over() {
    // Found by trying: two names of one hash of 21 bits.
    let mut seen = std::collections::HashMap::new();
    let name = |n: u32| format!("s-{n:08x}");
    let (one, other) = (0..)
        .find_map(|n| {
            seen.insert(message::short(&name(n)), n)
                .map(|before| (name(before), name(n)))
        })
        .expect("some two share it");
    let mut alone = rich(&[&one]);
    let message = alone
        .offer_report(0.0, &one, &[1.0, 0.1])
        .expect("alone it is told of");
    let mut both = rich(&[&one, &other]);
    assert_eq!(both.offer_report(0.0, &one, &[1.0, 0.1]), None);
    assert_eq!(
        both.receive(0.0, &message),
        Ok(None),
        "it could be the other"
    );
    assert_eq!(
        rich(&["s-else"]).receive(0.0, &message),
        Ok(None),
        "not in this list"
    );
    alone.set_engines(["s-else"].into_iter());
    assert_eq!(
        alone.offer_report(1000.0, &one, &[1.0, 0.1]),
        None,
        "no longer listed"
    );
}

#[test]
fn what_is_no_message_is_named_and_changes_nothing() {
    let mut b = rich(&["s"]);
    let good = rich(&["s"]).offer_report(0.0, "s", &[1.0, 0.1]).unwrap();
    let mut high = good.clone();
    high[4] = 200;
    assert_eq!(b.receive(0.0, b""), Err(DecodeError::Length(0, 6)));
    assert_eq!(b.receive(0.0, &good[..5]), Err(DecodeError::Length(5, 6)));
    assert_eq!(
        b.receive(0.0, &[&good[..], b"x"].concat()),
        Err(DecodeError::Length(7, 6))
    );
    assert_eq!(b.receive(0.0, b"x12345"), Err(DecodeError::Kind(b'x')));
    assert_eq!(b.receive(0.0, &high), Err(DecodeError::Byte));
    assert_eq!(b.receive(0.0, &[0; 257]), Err(DecodeError::Kind(0)));
    assert!(
        b.offer_report(0.0, "s", &[1.0, 0.1]).is_some(),
        "it kept nobody quiet"
    );
    for bad in [
        &[1.0][..],
        &[],
        &[1.0, f64::NAN],
        &[1.0, -0.1],
        &[f64::INFINITY, 0.0],
    ] {
        assert_eq!(
            b.offer_report(9000.0, "s", bad),
            None,
            "{bad:?} is no report"
        );
    }
}

#[test]
fn a_dispatcher_alone_says_nothing() {
    let mut b = Broadcaster::new(GossipBudget {
        dispatchers: 1,
        ..terms()
    });
    b.set_engines(["s"].into_iter());
    (0..1000).for_each(|_| b.credit_request());
    assert_eq!(b.offer_report(0.0, "s", &[1.0, 0.1]), None);
}
