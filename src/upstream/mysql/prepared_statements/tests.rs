use super::*;

fn key(number: usize, bytes: usize) -> StatementKey {
    let text = format!("{number:<8}{}", "x".repeat(bytes - 8));
    StatementKey {
        context: SessionContext::default(),
        preparation: None,
        sql: Bytes::from(text),
    }
}

#[test]
fn the_oldest_statements_are_replaced_beyond_the_number() {
    let mut statements = PreparedStatements::default();
    for number in 0..MAX_STATEMENTS {
        assert!(statements.insert(key(number, 10), number as u32).is_empty());
    }
    assert_eq!(statements.insert(key(1000, 10), 1000), [0]);
    assert!(statements.id(&key(0, 10)).is_none());
    assert_eq!(statements.id(&key(1, 10)), Some(1));
}

#[test]
fn the_oldest_statements_are_replaced_beyond_the_size_of_their_texts() {
    let mut statements = PreparedStatements::default();
    for number in 0..4 {
        let half = key(number, MAX_TEXT_BYTES / 2);
        statements.insert(half, number as u32);
    }
    assert!(!statements.contains(&key(1, MAX_TEXT_BYTES / 2)));
    assert!(statements.contains(&key(2, MAX_TEXT_BYTES / 2)));
    assert_eq!(statements.insert(key(9, 2 * MAX_TEXT_BYTES), 9), [2, 3]);
    assert_eq!(statements.id(&key(9, 2 * MAX_TEXT_BYTES)), Some(9));
}

#[test]
fn a_statement_that_is_prepared_again_replaces_itself() {
    let mut statements = PreparedStatements::default();
    statements.insert(key(1, 10), 1);
    assert_eq!(statements.insert(key(1, 10), 2), [1]);
    assert_eq!(statements.text_bytes, 10);
}
