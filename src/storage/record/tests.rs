use super::*;
use proptest::prelude::*;

const KIND: RecordKind = RecordKind {
    tag: *b"TEST",
    version: 3,
};
const MAX_CONTENT_BYTES: usize = 1000;

#[test]
fn earlier_versions_are_read() {
    let kind = RecordKind { version: 2, ..KIND };
    let earlier = encode(kind, b"content");
    assert_eq!(
        decode(KIND, &earlier, MAX_CONTENT_BYTES).unwrap(),
        b"content"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    #[test]
    fn a_flipped_bit_or_a_truncation_is_detected(
        content in prop::collection::vec(any::<u8>(), 0..200), at in any::<prop::sample::Index>(), bit in 0..8u8,
    ) {
        let record = encode(KIND, &content);
        prop_assert_eq!(decode(KIND, &record, MAX_CONTENT_BYTES).unwrap(), &content[..]);
        let mut flipped = record.clone();
        flipped[at.index(record.len())] ^= 1 << bit;
        prop_assert!(decode(KIND, &flipped, MAX_CONTENT_BYTES).is_err());
        let truncated = &record[..at.index(record.len())];
        prop_assert!(decode(KIND, truncated, MAX_CONTENT_BYTES).is_err());
    }
}
