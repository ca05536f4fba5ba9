use super::*;

#[test]
fn name_matches_its_host_and_a_wildcard_matches_one_label() {
    for (name, host, expected) in [
        ("db.example", "DB.example", true),
        ("*.example", "db.example", true),
        ("*.example", "a.db.example", false),
        ("*.example", "example", false),
        ("*.example", ".example", false),
        ("db.example", "db2.example", false),
    ] {
        assert_eq!(name_matches_host(name, host), expected, "{name} and {host}");
    }
}

#[test]
fn first_certificate_with_a_matching_name_is_selected() {
    let certificates = [
        vec!["a.example".to_string()],
        vec!["b.example".into(), "*.c.example".into()],
    ];
    let select = |host| select_for_host(certificates.iter().map(Vec::as_slice), host);
    assert_eq!(select(Some("x.c.example")), 1);
    assert_eq!(select(Some("b.example")), 1);
    assert_eq!(select(Some("z")), 0);
    assert_eq!(select(None), 0);
}
