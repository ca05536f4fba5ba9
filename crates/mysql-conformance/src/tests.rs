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
fn an_unexpected_answer_is_an_error() {
    let eof: &[u8] = &[0xfe, 0, 0, 3, 0];
    let row: &[u8] = b"\x01a\xfb";
    let denied = || {
        Err(PacketError::Server(SqlError::new(
            ErrorCode::new(1045, "28000"),
            "denied",
        )))
    };
    assert!(check_answer(Expectation::Rows(1), answer(&[row], eof), false).is_ok());
    assert!(check_answer(Expectation::Rows(2), answer(&[row], eof), false).is_err());
    assert!(
        check_answer(
            Expectation::First(&["a", "NULL"]),
            answer(&[row], eof),
            false
        )
        .is_ok()
    );
    assert!(check_answer(Expectation::First(&["b"]), answer(&[row], eof), false).is_err());
    assert!(check_answer(Expectation::First(&["a"]), answer(&[], eof), false).is_err());
    assert!(check_answer(Expectation::Status(1, 4), answer(&[row], eof), false).is_ok());
    assert!(check_answer(Expectation::Status(1, 2), answer(&[row], eof), false).is_err());
    assert!(check_answer(Expectation::Ok, answer(&[row], eof), false).is_err());
    assert!(check_answer(Expectation::Code(1045), denied(), false).is_ok_and(|e| e.is_some()));
    assert!(check_answer(Expectation::Code(1235), denied(), false).is_err());
    assert!(check_answer(Expectation::Code(1045), answer(&[row], eof), false).is_err());
    assert!(check_answer(Expectation::Any, denied(), false).is_err());
}
