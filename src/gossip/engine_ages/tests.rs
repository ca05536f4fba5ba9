use super::{AgeMessage, EngineAge, MAX_STARTS_PER_MESSAGE, StartId};
use crate::gossip::MAX_MESSAGE_BYTES;

fn starts(count: usize) -> Vec<StartId> {
    let start = |number: usize| StartId::new(&format!("s-{number:08x}"), 1e12 + number as f64);
    (0..count).map(start).collect()
}

#[test]
fn a_request_and_its_response_arrive_unchanged_in_one_message_each() {
    for count in [1, 7, MAX_STARTS_PER_MESSAGE] {
        let request = AgeMessage::Request(starts(count));
        let bytes = request.encode();
        assert!(bytes.len() <= MAX_MESSAGE_BYTES && bytes.is_ascii());
        assert_eq!(AgeMessage::decode(&bytes), Some(request));
        let age = |(number, start): (usize, StartId)| EngineAge {
            start,
            min_age: 300.0 * number as f64,
        };
        let response =
            AgeMessage::Response(starts(count).into_iter().enumerate().map(age).collect());
        let bytes = response.encode();
        assert!(bytes.len() <= MAX_MESSAGE_BYTES && bytes.is_ascii());
        assert_eq!(AgeMessage::decode(&bytes), Some(response));
    }
}

/// An age that is reported too large would end a slow start early.
#[test]
fn an_age_is_never_reported_larger_than_it_is() {
    for age in [0.0, 99.9, 100.0, 1234.5, 1_638_300.0, 1e9, -5.0, f64::NAN] {
        let response = AgeMessage::Response(vec![EngineAge {
            start: starts(1)[0],
            min_age: age,
        }]);
        let Some(AgeMessage::Response(ages)) = AgeMessage::decode(&response.encode()) else {
            panic!("the bytes of a response decode to something else");
        };
        let min_age = ages[0].min_age;
        assert!(min_age <= age.max(0.0), "{age} is reported as {min_age}");
    }
}

#[test]
fn each_start_of_an_engine_has_its_own_id() {
    assert_ne!(StartId::new("s-1", 1e12), StartId::new("s-1", 1e12 + 1.0));
    assert_ne!(StartId::new("s-1", 1e12), StartId::new("s-2", 1e12));
}

#[test]
fn an_incomplete_or_malformed_message_is_rejected() {
    let complete = AgeMessage::Request(starts(2)).encode();
    for length in 0..complete.len() {
        // The first 7 bytes are a complete request for one start.
        let is_valid = length == 7;
        let decoded = AgeMessage::decode(&complete[..length]);
        assert_eq!(decoded.is_some(), is_valid, "{length} bytes");
    }
    let mut out_of_range = complete.clone();
    out_of_range[3] |= 0x80;
    assert_eq!(AgeMessage::decode(&out_of_range), None);
    assert_eq!(AgeMessage::decode(b"r123ab"), None);
    let too_long: Vec<u8> = std::iter::once(b'q')
        .chain([1; 6 * (MAX_STARTS_PER_MESSAGE + 1)])
        .collect();
    assert_eq!(AgeMessage::decode(&too_long), None);
}
