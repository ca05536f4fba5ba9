use super::*;
use proptest::prelude::*;

fn decode(frame: &[u8]) -> Result<(FrameHeader, Vec<u8>), FrameError> {
    let header = FrameHeader::decode(frame[..HEADER_BYTES].try_into().unwrap())?;
    let stored_end = HEADER_BYTES + header.stored_bytes as usize;
    let stored = frame
        .get(HEADER_BYTES..stored_end)
        .ok_or(FrameError::Checksum)?;
    Ok((header, header.decode_content(stored)?))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    #[test]
    fn a_frame_decodes_as_it_was_encoded_and_a_flipped_bit_is_detected(
        content in prop::collection::vec(prop_oneof![Just(7u8), any::<u8>()], 0..2000),
        spool in any::<u64>(), page in any::<u32>(), at in any::<prop::sample::Index>(), bit in 0..8u8,
    ) {
        let id = FrameId { kind: FrameKind::Page, spool, page, rows: 3 };
        let frame = encode(id, &content).unwrap();
        prop_assert_eq!(decode(&frame.bytes).unwrap(), (frame.header, content));
        prop_assert_eq!(frame.header.frame_bytes(), frame.bytes.len() as u64);
        let mut flipped = frame.bytes.clone();
        flipped[at.index(frame.bytes.len())] ^= 1 << bit;
        prop_assert!(decode(&flipped).is_err());
    }
}
