use super::{AgeMessage, EngineAge, MAX_STARTS, StartId};
use crate::gossip::MAX_MESSAGE_BYTES;

fn starts(count: usize) -> Vec<StartId> {
    let start = |number: usize| StartId::new(&format!("s-{number:08x}"), 1e12 + number as f64);
    (0..count).map(start).collect()
}

#[test]
fn a_question_and_its_answer_arrive_unchanged_in_one_message_each() {
    for count in [1, 7, MAX_STARTS] {
        let request = AgeMessage::Request(starts(count));
        let bytes = request.encode();
        assert!(bytes.len() <= MAX_MESSAGE_BYTES && bytes.is_ascii());
        assert_eq!(AgeMessage::decode(&bytes), Some(request));
        let age = |(number, start): (usize, StartId)| EngineAge {
            start,
            min_age: 300.0 * number as f64,
        };
        let answer = AgeMessage::Response(starts(count).into_iter().enumerate().map(age).collect());
        let bytes = answer.encode();
        assert!(bytes.len() <= MAX_MESSAGE_BYTES && bytes.is_ascii());
        assert_eq!(AgeMessage::decode(&bytes), Some(answer));
    }
}

/// An age that is told too large would end a slow start early.
#[test]
fn an_age_is_never_told_larger_than_it_is() {
    for age in [0.0, 99.9, 100.0, 1234.5, 1_638_300.0, 1e9, -5.0, f64::NAN] {
        let told = AgeMessage::Response(vec![EngineAge {
            start: starts(1)[0],
            min_age: age,
        }]);
        let Some(AgeMessage::Response(ages)) = AgeMessage::decode(&told.encode()) else {
            panic!("an answer");
        };
        let min_age = ages[0].min_age;
        assert!(min_age <= age.max(0.0), "{age} is told as {min_age}");
    }
}

#[test]
fn another_start_of_an_engine_is_another_start() {
    assert_ne!(StartId::new("s-1", 1e12), StartId::new("s-1", 1e12 + 1.0));
    assert_ne!(StartId::new("s-1", 1e12), StartId::new("s-2", 1e12));
}

#[test]
fn what_is_not_whole_is_not_read() {
    let whole = AgeMessage::Request(starts(2)).encode();
    for cut in 0..whole.len() {
        let is_whole = cut == 7;
        let read = AgeMessage::decode(&whole[..cut]);
        assert_eq!(read.is_some(), is_whole, "{cut} bytes");
    }
    let mut high = whole.clone();
    high[3] |= 0x80;
    assert_eq!(AgeMessage::decode(&high), None);
    assert_eq!(AgeMessage::decode(b"r123ab"), None);
    let long: Vec<u8> = std::iter::once(b'q')
        .chain([1; 6 * (MAX_STARTS + 1)])
        .collect();
    assert_eq!(AgeMessage::decode(&long), None);
}
