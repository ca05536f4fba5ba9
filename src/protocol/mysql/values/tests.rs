use super::*;

fn complete_two(body: &[u8], bound_types: &mut Option<Vec<ParameterType>>) -> Result<Vec<u8>, u16> {
    complete_parameters(
        2,
        Bytes::copy_from_slice(body),
        bound_types,
        &BTreeMap::new(),
    )
    .map(|execute| execute.body.to_vec())
    .map_err(|error| error.code)
}

#[test]
fn types_are_kept_for_engine_connections_without_an_earlier_execution() {
    let mut bound_types = None;
    assert_eq!(
        complete_two(&[0, 0, 5, 1, b'a'], &mut bound_types),
        Err(1210),
        "no execution has sent types"
    );
    let first = [0, 1, 1, 0, 0xfd, 0, 5, 1, b'a'];
    assert_eq!(complete_two(&first, &mut bound_types), Ok(first.to_vec()));
    assert_eq!(
        complete_two(&[2, 0, 7], &mut bound_types),
        Ok(vec![2, 1, 1, 0, 0xfd, 0, 7]),
        "the second parameter is NULL"
    );
}

#[test]
fn truncated_values_and_trailing_bytes_are_rejected() {
    for body in [
        &[0u8, 1, 1, 0, 0xfd, 0, 5][..],
        &[0, 1, 1, 0, 0xfd, 0, 5, 9, b'a'],
        &[0, 1, 1],
        &[],
    ] {
        assert_eq!(complete_two(body, &mut None), Err(1210), "{body:?}");
    }
    assert_eq!(
        complete_two(&[0, 1, 1, 0, 0xfd, 0, 5, 1, b'a', 0], &mut None),
        Err(1210)
    );
    assert_eq!(
        complete_two(&[0, 1, 1, 0, 0x0c, 0, 5, 3, 1, 1, 1], &mut None),
        Err(1210),
        "a date of 3 bytes"
    );
}

#[test]
fn long_data_replaces_the_value() {
    let long_data = BTreeMap::from([(1u16, BytesMut::from(&b"long"[..]))]);
    let execute = complete_parameters(
        2,
        Bytes::from_static(&[0, 1, 1, 0, 0xfc, 0, 5]),
        &mut None,
        &long_data,
    )
    .unwrap();
    assert_eq!(execute.long_data, vec![(1, Bytes::from_static(b"long"))]);
    let out_of_range = BTreeMap::from([(2u16, BytesMut::new())]);
    assert!(
        complete_parameters(
            2,
            Bytes::from_static(&[0, 1, 1, 0, 1, 0, 5, 6]),
            &mut None,
            &out_of_range
        )
        .is_err()
    );
}
