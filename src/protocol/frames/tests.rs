use super::*;

const PIECE_BYTES: usize = 1000;

fn encode(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (HEADER_BYTES + payload.len()) as u32;
    [
        &length.to_be_bytes()[..],
        &[kind],
        &stream.to_be_bytes(),
        payload,
    ]
    .concat()
}

/// Feeds the bytes in small pieces and returns the frames.
fn decode_in_pieces(codec: &mut FrameCodec, bytes: &[u8]) -> Vec<Frame> {
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    let mut frames = vec![];
    for piece in bytes.chunks(PIECE_BYTES) {
        buffer.extend_from_slice(piece);
        while let Some(frame) = codec.decode(&mut buffer).unwrap() {
            frames.push(frame);
        }
    }
    frames
}

fn kept(frame: &Frame) -> Option<&[u8]> {
    match &frame.payload {
        Payload::Kept { bytes, .. } => Some(bytes),
        Payload::Denied | Payload::Ignored => None,
    }
}

#[test]
fn requests_of_all_sizes_are_decoded_from_pieces() {
    for size in [
        0,
        1,
        BUFFER_BYTES - 9,
        BUFFER_BYTES,
        BUFFER_BYTES + 1,
        MAX_LENGTH - HEADER_BYTES,
    ] {
        let budget = MemoryBudget::new(4 * MAX_LENGTH);
        let mut codec = FrameCodec::new(budget.clone());
        let payload: Vec<u8> = (0..size).map(|n| n as u8).collect();
        let bytes = [
            encode(kind::REQUEST, 1, &payload),
            encode(kind::REQUEST, 2, b"next"),
        ]
        .concat();
        let frames = decode_in_pieces(&mut codec, &bytes);
        assert_eq!(kept(&frames[0]), Some(&payload[..]), "{size}");
        assert_eq!(kept(&frames[1]), Some(&b"next"[..]), "{size}");
        assert_eq!(budget.usage().reserved, size + 4 + 2 * OPEN_REQUEST_BYTES);
        drop(frames);
        assert_eq!(budget.usage().reserved, 0);
    }
}

#[test]
fn a_request_without_memory_is_skipped_and_the_next_frame_is_read() {
    let budget = MemoryBudget::new(64 * 1024);
    let mut codec = FrameCodec::new(budget.clone());
    let large = vec![b'x'; 200_000];
    let bytes = [
        encode(kind::REQUEST, 1, &large),
        encode(kind::REQUEST, 2, b"small"),
    ]
    .concat();
    let frames = decode_in_pieces(&mut codec, &bytes);
    assert!(matches!(frames[0].payload, Payload::Denied));
    assert_eq!((frames[0].stream, frames[0].bytes), (1, large.len()));
    assert_eq!(kept(&frames[1]), Some(&b"small"[..]));
    assert!(budget.usage().peak <= 64 * 1024);
}

#[test]
fn payloads_of_other_frames_are_skipped() {
    let budget = MemoryBudget::new(0);
    let mut codec = FrameCodec::new(budget);
    let payload = vec![0; 100_000];
    let bytes = [encode(kind::LEAVE, 7, &payload), encode(kind::ASK, 8, &[0])].concat();
    let frames = decode_in_pieces(&mut codec, &bytes);
    let heads: Vec<(u8, u32)> = frames
        .iter()
        .map(|frame| (frame.kind, frame.stream))
        .collect();
    assert_eq!(heads, [(kind::LEAVE, 7), (kind::ASK, 8)]);
}

#[test]
fn the_end_of_the_connection_within_a_frame_is_an_error_in_each_state() {
    let request = encode(kind::REQUEST, 1, &[0; 100]);
    for (limit, arrived) in [(0, 50), (1 << 20, 50), (1 << 20, 3)] {
        let mut codec = FrameCodec::new(MemoryBudget::new(limit));
        let mut buffer = BytesMut::from(&request[..arrived]);
        assert!(codec.decode(&mut buffer).unwrap().is_none());
        let end = codec.decode_eof(&mut buffer);
        assert!(
            matches!(end, Err(FrameError::Unfinished)),
            "{limit} {arrived}"
        );
    }
}

#[test]
fn an_unfinished_frame_reserves_no_more_than_twice_what_has_arrived() {
    let budget = MemoryBudget::new(1 << 20);
    let mut codec = FrameCodec::new(budget.clone());
    let bytes = encode(kind::REQUEST, 1, &vec![0; MAX_LENGTH - HEADER_BYTES]);
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    let mut arrived = 0;
    for piece in bytes[..200_000].chunks(PIECE_BYTES) {
        buffer.extend_from_slice(piece);
        assert!(codec.decode(&mut buffer).unwrap().is_none());
        arrived += piece.len();
        assert!(budget.usage().reserved <= 2 * arrived, "{arrived}");
        assert!(budget.usage().reserved + HEADER_BYTES + LENGTH_BYTES >= arrived.min(BUFFER_BYTES));
    }
}
