//! The file under `deploy/`, unchanged and with one invalid key at a time.

use super::rejection;
use crate::config::MysqlConfig;

const MYSQL: &str = include_str!("../../../deploy/mysql.toml");

#[test]
fn the_deployed_file_is_valid_and_an_invalid_key_is_named() {
    let config = MysqlConfig::parse(MYSQL, |_| None)
        .map_err(|e| e.to_string())
        .unwrap();
    assert_eq!(config.frontend.class_rules.read_class, 0);
    assert_eq!(config.frontend.class_rules.write_class, 2);
    let cases = [
        ("listen = \"127", "listen = \"x127", "listen"),
        (
            "read_class = \"lookup\"",
            "read_class = \"look\"",
            "read_class",
        ),
        (
            "write_class = \"load\"",
            "write_class = \"report\"",
            "write_class",
        ),
        (
            "tenant = \"ti-marmite\"",
            "tenant = \"x\"",
            "user[0].tenant",
        ),
        ("threads = 3", "threads = 0", "classes[1].threads"),
        (
            "deadline_ms = 25000.0",
            "deadline_ms = -1.0",
            "class[1].deadline_ms",
        ),
        (
            "deadline_ms = 25000.0",
            "deadline_ms = \"x\"",
            "class[1].deadline_ms",
        ),
        ("class = \"report\"", "class = \"rep\"", "rule[0].class"),
        ("connections = 32", "connections = 0", "engines.connections"),
        ("connections = 32", "conections = 32", "conections"),
        (
            "address = \"127.0.0.1:4002\"",
            "address = \"there\"",
            "engine[1].address",
        ),
        (
            "# admin_addr = \"127.0.0.1:3307\"",
            "admin_addr = \"there\"",
            "admin_addr",
        ),
        ("# inherited_fd = 7", "inherited_fd = \"x\"", "inherited_fd"),
    ];
    for (valid, invalid, key) in cases {
        assert!(MYSQL.contains(valid), "{valid}");
        let file = MYSQL.replace(valid, invalid);
        let message = rejection(MysqlConfig::parse(&file, |_| None));
        assert!(message.contains(key), "{invalid}: {message}");
    }
}

#[test]
fn a_write_stays_in_the_write_class_whatever_its_comment_requests() {
    let rules = MysqlConfig::parse(MYSQL, |_| None)
        .map(|m| m.frontend.class_rules)
        .unwrap();
    assert_eq!(rules.class_of(false, Some("lookup"), b"delete from t"), 2);
    assert_eq!(rules.class_of(true, Some("report"), b"select 1"), 1);
    assert_eq!(
        rules.class_of(true, Some("unknown"), b"select a from t GROUP BY a"),
        1
    );
    assert_eq!(rules.class_of(true, None, b"select 1"), 0);
}
