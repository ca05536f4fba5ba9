//! The binary parameters of COM_STMT_EXECUTE: checked, and completed so that any engine connection can run
//! them without having seen earlier ones.

use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{PacketError, PayloadReader};
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// The body of COM_STMT_EXECUTE, with what is needed to run it for the first time on a connection.
#[derive(Debug)]
pub struct Execute {
    /// Null bitmap, `new types` flag, types and values.
    pub body: Bytes,
    /// Parameters sent ahead in pieces.
    pub long: Vec<(u16, Bytes)>,
}

/// The two bytes of a parameter's type: its code, and whether it is unsigned.
pub type Type = [u8; 2];

/// Reads over one value of this type.
fn skip(r: &mut PayloadReader, kind: u8) -> Result<(), PacketError> {
    match kind {
        0x06 => {}                              // NULL
        0x01 => drop(r.take(1)?),               // TINY
        0x02 | 0x0d => drop(r.take(2)?),        // SHORT, YEAR
        0x03 | 0x04 | 0x09 => drop(r.take(4)?), // LONG, FLOAT, INT24
        0x05 | 0x08 => drop(r.take(8)?),        // DOUBLE, LONGLONG
        0x07 | 0x0a..=0x0c => match r.u8()? {
            n @ (0 | 4 | 7 | 8 | 11 | 12) => drop(r.take(n.into())?), // dates and times
            _ => return Err(PacketError::Protocol("a date has no such length")),
        },
        // decimals, strings, blobs, JSON, bits and the like
        0x00 | 0x0f | 0x10 | 0xf5..=0xff => drop(r.length_encoded_bytes()?),
        _ => return Err(PacketError::Protocol("a parameter has an unknown type")),
    }
    Ok(())
}

/// Completes what a client sent: types from its earlier execute where it names none now, and long data in
/// place. Clients may leave the types out after the first execute, but an engine connection that sees the
/// statement for the first time needs them.
pub fn complete(
    count: usize,
    body: Bytes,
    bound: &mut Option<Vec<Type>>,
    long: &BTreeMap<u16, BytesMut>,
) -> Result<Execute, SqlError> {
    let bad = |e: PacketError| {
        SqlError::new(
            code::ER_WRONG_ARGUMENTS,
            format!("the parameters cannot be read: {e}"),
        )
    };
    if long.keys().any(|&k| usize::from(k) >= count) {
        return Err(bad(PacketError::Protocol(
            "long data for a parameter that is not there",
        )));
    }
    if count == 0 {
        return Ok(Execute {
            body: Bytes::new(),
            long: vec![],
        });
    }
    let mut r = PayloadReader(body);
    let nulls = r.take(count.div_ceil(8)).map_err(bad)?;
    match r.u8().map_err(bad)? {
        1 => {
            let types = r.take(2 * count).map_err(bad)?;
            *bound = Some(types.chunks_exact(2).map(|t| [t[0], t[1]]).collect());
        }
        0 => {}
        _ => {
            return Err(bad(PacketError::Protocol(
                "the types' flag is neither 0 nor 1",
            )));
        }
    }
    let Some(types) = bound.as_ref().filter(|t| t.len() == count) else {
        return Err(bad(PacketError::Protocol("no types were ever named")));
    };
    let values = r.0.clone();
    for (i, kind) in types.iter().enumerate() {
        let null = nulls[i / 8] >> (i % 8) & 1 == 1;
        if !null && !long.contains_key(&(i as u16)) {
            skip(&mut r, kind[0]).map_err(bad)?;
        }
    }
    if !r.0.is_empty() {
        return Err(bad(PacketError::Protocol("bytes follow the last value")));
    }
    let mut whole = BytesMut::with_capacity(nulls.len() + 1 + 2 * count + values.len());
    whole.put_slice(&nulls);
    whole.put_u8(1);
    types.iter().for_each(|t| whole.put_slice(t));
    whole.put_slice(&values);
    let long = long.iter().map(|(&k, v)| (k, v.clone().freeze())).collect();
    Ok(Execute {
        body: whole.freeze(),
        long,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run(body: &[u8], bound: &mut Option<Vec<Type>>) -> Result<Vec<u8>, u16> {
        complete(2, Bytes::copy_from_slice(body), bound, &BTreeMap::new())
            .map(|e| e.body.to_vec())
            .map_err(|e| e.code)
    }

    #[test]
    fn types_are_remembered_for_engines_that_never_saw_them() {
        let mut bound = None;
        assert_eq!(
            run(&[0, 0, 5, 1, b'a'], &mut bound),
            Err(1210),
            "no types were ever named"
        );
        let first = [0, 1, 1, 0, 0xfd, 0, 5, 1, b'a'];
        assert_eq!(run(&first, &mut bound), Ok(first.to_vec()));
        assert_eq!(
            run(&[2, 0, 7], &mut bound),
            Ok(vec![2, 1, 1, 0, 0xfd, 0, 7]),
            "the second is NULL"
        );
    }

    #[test]
    fn values_that_end_early_or_late_are_turned_away() {
        for body in [
            &[0u8, 1, 1, 0, 0xfd, 0, 5][..],
            &[0, 1, 1, 0, 0xfd, 0, 5, 9, b'a'],
            &[0, 1, 1],
            &[],
        ] {
            assert_eq!(run(body, &mut None), Err(1210), "{body:?}");
        }
        assert_eq!(
            run(&[0, 1, 1, 0, 0xfd, 0, 5, 1, b'a', 0], &mut None),
            Err(1210)
        );
        assert_eq!(
            run(&[0, 1, 1, 0, 0x0c, 0, 5, 3, 1, 1, 1], &mut None),
            Err(1210),
            "a date of 3 bytes"
        );
    }

    #[test]
    fn long_data_stands_for_its_value() {
        let long = BTreeMap::from([(1u16, BytesMut::from(&b"long"[..]))]);
        let e = complete(
            2,
            Bytes::from_static(&[0, 1, 1, 0, 0xfc, 0, 5]),
            &mut None,
            &long,
        )
        .unwrap();
        assert_eq!(e.long, vec![(1, Bytes::from_static(b"long"))]);
        let far = BTreeMap::from([(2u16, BytesMut::new())]);
        assert!(
            complete(
                2,
                Bytes::from_static(&[0, 1, 1, 0, 1, 0, 5, 6]),
                &mut None,
                &far
            )
            .is_err()
        );
    }
}
