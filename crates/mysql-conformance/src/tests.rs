use super::*;
use query_dispatcher::protocol::mysql::error::{ErrorCode, SqlError};

fn answer(rows: &[&'static [u8]], last: &'static [u8]) -> Result<Answer, PacketError> {
    let rows: Vec<_> = rows.iter().map(|r| bytes::Bytes::from_static(r)).collect();
    Ok(Answer {
        columns: usize::from(!rows.is_empty()),
        rows,
        last: bytes::Bytes::from_static(last),
    })
}

#[test]
fn what_is_not_as_wanted_is_told() {
    let eof: &[u8] = &[0xfe, 0, 0, 3, 0];
    let row: &[u8] = b"\x01a\xfb";
    let wrong = || {
        Err(PacketError::Server(SqlError::new(
            ErrorCode::new(1045, "28000"),
            "denied",
        )))
    };
    assert!(judge(Want::Rows(1), answer(&[row], eof), false).is_ok());
    assert!(judge(Want::Rows(2), answer(&[row], eof), false).is_err());
    assert!(judge(Want::First(&["a", "NULL"]), answer(&[row], eof), false).is_ok());
    assert!(judge(Want::First(&["b"]), answer(&[row], eof), false).is_err());
    assert!(judge(Want::First(&["a"]), answer(&[], eof), false).is_err());
    assert!(judge(Want::Status(1, 4), answer(&[row], eof), false).is_ok());
    assert!(judge(Want::Status(1, 2), answer(&[row], eof), false).is_err());
    assert!(judge(Want::Ok, answer(&[row], eof), false).is_err());
    assert!(judge(Want::Code(1045), wrong(), false).is_ok_and(|e| e.is_some()));
    assert!(judge(Want::Code(1235), wrong(), false).is_err());
    assert!(judge(Want::Code(1045), answer(&[row], eof), false).is_err());
    assert!(judge(Want::Any, wrong(), false).is_err());
}
