//! Tests of the query string of the operators' report.

use crate::membership::report::{MemberFilter, Query};

#[test]
fn a_query_is_read_as_a_form() {
    let query = Query::parse("limit=5&after=a%2Fb&only=held").unwrap();
    let expected = Query {
        limit: Some(5),
        after: Some("a/b".into()),
        filter: Some(MemberFilter::Preserved),
    };
    assert_eq!(query, expected);
}

#[test]
fn a_query_error_names_the_key() {
    let cases = [("limit=0", "limit"), ("only=x", "only"), ("o=1", "\"o\"")];
    for (text, named) in cases {
        let error = Query::parse(text).unwrap_err().to_string();
        assert!(error.contains(named), "{text}: {error}");
    }
}
