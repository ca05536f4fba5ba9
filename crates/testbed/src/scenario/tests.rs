use super::*;

#[test]
fn a_scenario_is_parsed_and_every_invalid_key_is_reported() {
    let valid = r#"{ name: "calm", seconds: 30, gateways: 3, zones: ["a", "b"],
            engines: [{ kind: "gen-a", count: 4 }], kinds: { "gen-a": { cores: 8 } },
            load: { per_s: 40, shape: [[0, 1], [10, 2]] },
            trouble: [{ at_s: 5, kind: "die", engines: { part: 0.25 }, back_s: 10 }] }"#;
    let s = Scenario::parse(valid).unwrap();
    assert_eq!(
        (
            s.classes.len(),
            s.load.fraction_at(5.0),
            s.load.fraction_at(99.0)
        ),
        (3, 1.5, 2.0)
    );
    s.settings(0).check().unwrap();
    let cases = [
        ("seconds: 30", "seconds: -1", "seconds"),
        ("gateways: 3", "gateways: 0", "gateways"),
        (
            "kind: \"gen-a\", count",
            "kind: \"gen-x\", count",
            "engines[0].kind",
        ),
        ("count: 4", "count: 0", "engines"),
        ("cores: 8", "cores: 0", "kinds.gen-a.cores"),
        ("cores: 8", "core: 8", "core"),
        ("[10, 2]", "[0, 2]", "load.shape"),
        ("{ part: 0.25 }", "[9]", "trouble[0]"),
        ("{ part: 0.25 }", "{ zone: \"x\" }", "trouble[0]"),
        ("\"die\"", "\"dye\"", "dye"),
    ];
    for (old, new, expected) in cases {
        assert!(valid.contains(old), "{old}");
        let e = Scenario::parse(&valid.replace(old, new))
            .unwrap_err()
            .to_string();
        assert!(e.contains(expected), "{new}: {e}");
    }
}
