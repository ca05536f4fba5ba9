//! The platform's file and environment variables.

use super::rejection;
use crate::config::{ConfigError, PlatformConfig};

const PLATFORM: &str = r#"{"listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","journal":"127.0.0.1:2",
    "settings":{"ceilings":{"connect_timeout":250.0},"fleet_size":1,"grades":[{"name":"lookup",
    "aim":800.0,"effect":"retryable","worth":1.0}],"machine_types":["std"],"rules":{"cold_from":0.3,
    "drain_grace":250.0,"fall_multiple":3.0,"grace_to_answer":20.0,"overload_for":1500.0,
    "warm_within":14000.0},"step":5.0}}"#;

#[test]
fn variables_override_the_file_and_an_invalid_key_is_named() {
    let listen = |name: &str| (name == "PROXY_LISTEN").then(|| "127.0.0.1:9".to_string());
    let config = PlatformConfig::parse(PLATFORM, listen).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(config.listen.port(), 9);
    let cases = [
        ("8c1f30d27a5be964", "xyz", "seed"),
        (
            "\"connect_timeout\":250.0",
            "\"connect_timeout\":0.0",
            "settings.ceilings.connect_timeout",
        ),
        (
            "\"worth\":1.0",
            "\"worth\":\"x\"",
            "settings.grades[0].worth",
        ),
        ("\"retryable\"", "\"odd\"", "grades[0].effect"),
        ("\"step\":5.0", "\"step\":-5.0", "settings.step"),
        ("127.0.0.1:2", "there", "journal"),
    ];
    for (valid, invalid, key) in cases {
        assert!(PLATFORM.contains(valid), "{valid}");
        let file = PLATFORM.replace(valid, invalid);
        let message = rejection(PlatformConfig::parse(&file, |_| None));
        assert!(message.contains(key), "{invalid}: {message}");
    }
}

/// Returns the port of the administrative address, and the inherited descriptor.
fn port_and_descriptor(
    file: &str,
    variables: &[(&str, &str)],
) -> Result<(Option<u16>, Option<i32>), ConfigError> {
    let variable = |name: &str| {
        let found = variables.iter().find(|(listed, _)| *listed == name);
        found.map(|(_, value)| value.to_string())
    };
    let config = PlatformConfig::parse(file, variable)?;
    let port = config.admin_address.map(|address| address.port());
    Ok((port, config.inherited_descriptor))
}

#[test]
fn variables_override_the_administrative_address_and_the_inherited_socket() {
    let file = PLATFORM.replacen('{', "{\"admin_addr\":\"127.0.0.1:7\",", 1);
    assert_eq!(port_and_descriptor(&file, &[]).unwrap(), (Some(7), None));
    let both = [
        ("PROXY_ADMIN_ADDR", "127.0.0.1:8"),
        ("PROXY_INHERITED_FD", "7"),
    ];
    assert_eq!(
        port_and_descriptor(&file, &both).unwrap(),
        (Some(8), Some(7))
    );
    let message = rejection(port_and_descriptor(&file, &[("PROXY_INHERITED_FD", "-1")]));
    assert!(message.contains("PROXY_INHERITED_FD"), "{message}");
}

/// Both `fleet_size` and `peers` state how many dispatchers share the engines. If one of them is outdated, it
/// must not make each dispatcher's share too large.
#[test]
fn the_larger_of_fleet_size_and_listed_peers_is_the_number_of_dispatchers() {
    let peers = r#"{"peers":["10.0.0.1:1","10.0.0.2:1","10.0.0.3:1","10.0.0.3:1"],"#;
    for (fleet_size, expected) in [(1, 3), (3, 3), (8, 8)] {
        let file = PLATFORM
            .replacen('{', peers, 1)
            .replace("\"fleet_size\":1", &format!("\"fleet_size\":{fleet_size}"));
        let config = PlatformConfig::parse(&file, |_| None).unwrap();
        assert_eq!(config.settings.dispatchers, expected, "{fleet_size}");
    }
    let zero = PLATFORM
        .replacen('{', peers, 1)
        .replace("\"fleet_size\":1", "\"fleet_size\":0");
    assert!(rejection(PlatformConfig::parse(&zero, |_| None)).contains("gateways"));
}
