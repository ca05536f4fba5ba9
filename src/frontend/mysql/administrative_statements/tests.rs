use super::*;

#[test]
fn administrative_statements_are_parsed_in_any_case_and_spacing() {
    let fetch = |handle: &str, from_page| {
        Some(Ok(AdministrativeStatement::FetchResult {
            handle: handle.into(),
            from_page,
        }))
    };
    assert_eq!(
        parse(b"SHOW HITCHWINCH RESULTS"),
        Some(Ok(AdministrativeStatement::ListResults))
    );
    assert_eq!(
        parse(b"  show\n hitchwinch\tresults ; "),
        Some(Ok(AdministrativeStatement::ListResults))
    );
    assert_eq!(
        parse(b"fetch hitchwinch result 'ab' from page 12"),
        fetch("ab", 12)
    );
    assert_eq!(parse(b"FETCH HITCHWINCH RESULT \"ab\";"), fetch("ab", 0));
    assert_eq!(
        parse(b"FETCH HITCHWINCH RESULT 'ab'FROM PAGE 0"),
        fetch("ab", 0)
    );
}

#[test]
fn other_statements_are_left_to_the_engines() {
    for sql in [
        "SHOW TABLES",
        "select 'SHOW HITCHWINCH RESULTS'",
        "FETCH NEXT FROM c",
        "SHOWHITCHWINCH RESULTS",
        "SHOW HITCHWINCHED RESULTS",
        "",
        "fetch",
    ] {
        assert_eq!(parse(sql.as_bytes()), None, "{sql}");
    }
    assert_eq!(parse(&[0xff, 0xfe]), None);
}

#[test]
fn an_error_names_its_place_and_what_was_expected() {
    let cases = [
        ("SHOW HITCHWINCH RESULT", 17, "RESULTS"),
        ("SHOW HITCHWINCH RESULTS now", 25, "the end"),
        ("FETCH HITCHWINCH RESULT ab", 25, "a handle in quotes"),
        ("FETCH HITCHWINCH RESULT 'ab", 25, "a handle in quotes"),
        (
            "FETCH HITCHWINCH RESULT 'ab' FROM PAGE x",
            40,
            "the number of a page",
        ),
        (
            "FETCH HITCHWINCH RESULT 'ab' FROM PAGE 99999999999",
            40,
            "the number of a page",
        ),
        ("FETCH HITCHWINCH RESULT 'ab' FROM 3", 35, "PAGE"),
        ("FETCH HITCHWINCH RESULT 'ab' or 1=1", 30, "the end"),
    ];
    for (sql, position, expected) in cases {
        let Some(Err(error)) = parse(sql.as_bytes()) else {
            panic!("{sql}: {:?}", parse(sql.as_bytes()))
        };
        assert!(error.message.contains(expected), "{sql}: {error}");
        assert_eq!(error.position, position, "{sql}: {error}");
    }
}
