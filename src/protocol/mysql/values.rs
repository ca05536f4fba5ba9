//! Validation of the binary parameters of `COM_STMT_EXECUTE`. The parameters are completed, so that
//! any engine connection can execute the statement without having received earlier parameters.

#[cfg(test)]
mod tests;

use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{PacketError, PayloadReader};
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// The body of `COM_STMT_EXECUTE`, complete for the first execution on a connection.
#[derive(Debug)]
pub struct Execute {
    /// Null bitmap, the `new types` flag, types and values.
    pub body: Bytes,
    /// Parameters that were sent in advance with `COM_STMT_SEND_LONG_DATA`, with their index.
    pub long_data: Vec<(u16, Bytes)>,
}

/// The type of a parameter: its type code, and a byte that marks unsigned integers.
pub type ParameterType = [u8; 2];

/// Value of the `new types` flag if types follow.
const TYPES_FOLLOW: u8 = 1;
/// Value of the `new types` flag if the types of the previous execution apply.
const TYPES_UNCHANGED: u8 = 0;

/// Type codes of the binary protocol (`MYSQL_TYPE_*`).
mod type_code {
    pub(super) const DECIMAL: u8 = 0x00;
    pub(super) const TINY: u8 = 0x01;
    pub(super) const SHORT: u8 = 0x02;
    pub(super) const LONG: u8 = 0x03;
    pub(super) const FLOAT: u8 = 0x04;
    pub(super) const DOUBLE: u8 = 0x05;
    pub(super) const NULL: u8 = 0x06;
    pub(super) const TIMESTAMP: u8 = 0x07;
    pub(super) const LONGLONG: u8 = 0x08;
    pub(super) const INT24: u8 = 0x09;
    pub(super) const DATE: u8 = 0x0a;
    pub(super) const DATETIME: u8 = 0x0c;
    pub(super) const YEAR: u8 = 0x0d;
    pub(super) const VARCHAR: u8 = 0x0f;
    pub(super) const BIT: u8 = 0x10;
    /// JSON. The codes from this one on are JSON, decimals, strings and blobs.
    pub(super) const JSON: u8 = 0xf5;
}

/// Skips one value of this type.
fn skip_value(reader: &mut PayloadReader, kind: u8) -> Result<(), PacketError> {
    match kind {
        type_code::NULL => {}
        type_code::TINY => drop(reader.bytes(1)?),
        type_code::SHORT | type_code::YEAR => drop(reader.bytes(2)?),
        type_code::LONG | type_code::FLOAT | type_code::INT24 => drop(reader.bytes(4)?),
        type_code::DOUBLE | type_code::LONGLONG => drop(reader.bytes(8)?),
        type_code::TIMESTAMP | type_code::DATE..=type_code::DATETIME => match reader.u8()? {
            // The lengths of a DATE, TIME or DATETIME; trailing parts that are zero are omitted.
            length @ (0 | 4 | 7 | 8 | 11 | 12) => drop(reader.bytes(length.into())?),
            _ => return Err(PacketError::Protocol("a date has no such length")),
        },
        type_code::DECIMAL | type_code::VARCHAR | type_code::BIT | type_code::JSON..=0xff => {
            drop(reader.length_encoded_bytes()?);
        }
        _ => return Err(PacketError::Protocol("a parameter has an unknown type")),
    }
    Ok(())
}

fn wrong_arguments(error: PacketError) -> SqlError {
    SqlError::new(
        code::ER_WRONG_ARGUMENTS,
        format!("the parameters cannot be read: {error}"),
    )
}

/// Completes the parameters of a client: adds the types of an earlier execution if they are
/// omitted, and the long data.
///
/// Clients may omit the types after the first execution, but an engine connection that executes the
/// statement for the first time needs them. `count` is the number of parameters of the statement;
/// `bound_types` holds the types that the client sent last.
///
/// # Errors
/// `ER_WRONG_ARGUMENTS`: the parameters cannot be parsed.
pub fn complete_parameters(
    count: usize,
    body: Bytes,
    bound_types: &mut Option<Vec<ParameterType>>,
    long_data: &BTreeMap<u16, BytesMut>,
) -> Result<Execute, SqlError> {
    complete(count, body, bound_types, long_data).map_err(wrong_arguments)
}

fn complete(
    count: usize,
    body: Bytes,
    bound_types: &mut Option<Vec<ParameterType>>,
    long_data: &BTreeMap<u16, BytesMut>,
) -> Result<Execute, PacketError> {
    if long_data.keys().any(|&index| usize::from(index) >= count) {
        return Err(PacketError::Protocol(
            "long data for a parameter that is not there",
        ));
    }
    if count == 0 {
        return Ok(Execute {
            body: Bytes::new(),
            long_data: vec![],
        });
    }
    let mut reader = PayloadReader(body);
    let null_bitmap = reader.bytes(count.div_ceil(8))?;
    read_types(&mut reader, count, bound_types)?;
    let Some(types) = bound_types.as_ref().filter(|types| types.len() == count) else {
        return Err(PacketError::Protocol("no types were ever named"));
    };
    let values = reader.0.clone();
    for (index, kind) in types.iter().enumerate() {
        let is_null = null_bitmap[index / 8] >> (index % 8) & 1 == 1;
        if !is_null && !long_data.contains_key(&(index as u16)) {
            skip_value(&mut reader, kind[0])?;
        }
    }
    if !reader.0.is_empty() {
        return Err(PacketError::Protocol("bytes follow the last value"));
    }
    let long_data = long_data
        .iter()
        .map(|(&index, data)| (index, data.clone().freeze()))
        .collect();
    Ok(Execute {
        body: complete_body(&null_bitmap, types, &values),
        long_data,
    })
}

/// Reads the `new types` flag and the types that follow it, if any.
fn read_types(
    reader: &mut PayloadReader,
    count: usize,
    bound_types: &mut Option<Vec<ParameterType>>,
) -> Result<(), PacketError> {
    match reader.u8()? {
        TYPES_FOLLOW => {
            let types = reader.bytes(2 * count)?;
            let types = types.chunks_exact(2).map(|bytes| [bytes[0], bytes[1]]);
            *bound_types = Some(types.collect());
            Ok(())
        }
        TYPES_UNCHANGED => Ok(()),
        _ => Err(PacketError::Protocol("the types' flag is neither 0 nor 1")),
    }
}

fn complete_body(null_bitmap: &[u8], types: &[ParameterType], values: &[u8]) -> Bytes {
    let length = null_bitmap.len() + 1 + 2 * types.len() + values.len();
    let mut body = BytesMut::with_capacity(length);
    body.put_slice(null_bitmap);
    body.put_u8(TYPES_FOLLOW);
    for kind in types {
        body.put_slice(kind);
    }
    body.put_slice(values);
    body.freeze()
}
