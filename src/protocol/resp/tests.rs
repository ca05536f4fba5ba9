use super::*;

fn encode(strings: &[&[u8]]) -> BytesMut {
    let mut bytes = BytesMut::new();
    RespCodec.encode(strings, &mut bytes).unwrap();
    bytes
}

#[test]
fn an_array_is_bounded_as_a_whole() {
    let string = vec![b'x'; MAX_STRING_BYTES];
    let mut largest = encode(&[b"id", &string]);
    let decoded = RespCodec.decode(&mut largest).unwrap().unwrap();
    assert_eq!(decoded[1].len(), MAX_STRING_BYTES);
    let mut too_large = encode(&[&string, &string]);
    let rejected = RespCodec.decode(&mut too_large);
    assert!(matches!(rejected, Err(RespError::Length(_))));
    // It is rejected as soon as its lengths are known.
    let mut beginning = BytesMut::from(&b"*2\r\n$65536\r\n"[..]);
    beginning.extend_from_slice(&string);
    beginning.extend_from_slice(b"\r\n$65536\r\n");
    assert!(RespCodec.decode(&mut beginning).is_err());
}
