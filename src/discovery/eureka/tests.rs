use super::format::{FormatError, json, parse, xml};
use super::http::{HttpError, RegistryResponse};
use super::model::*;
use super::replica::Replica;
use crate::config::eureka::RegistryQuery;
use crate::membership::Reported;
use crate::membership::{Status, UpdateContent, Version};
use bytes::Bytes;
use hyper::StatusCode;
use proptest::prelude::*;
use std::io::Write;

const APPS_JSON: &[u8] = include_bytes!("../../../tests/data/eureka/apps.json");
const APPS_XML: &[u8] = include_bytes!("../../../tests/data/eureka/apps.xml");
const APP_JSON: &[u8] = include_bytes!("../../../tests/data/eureka/app.json");
const INSTANCE_XML: &[u8] = include_bytes!("../../../tests/data/eureka/instance.xml");

#[test]
fn json_and_xml_parse_to_the_same_document() {
    let (from_json, from_xml) = (json(APPS_JSON).unwrap(), xml(APPS_XML).unwrap());
    assert_eq!(from_json, from_xml);
    assert_eq!(
        from_json.hashcode.as_deref(),
        Some("DOWN_1_OUT_OF_SERVICE_1_UP_2_")
    );
    assert_eq!(
        (from_json.applications.len(), from_json.instance_count()),
        (2, 4)
    );
    let records: Vec<_> = from_json.applications[0]
        .instances
        .iter()
        .map(|instance| instance.to_record(false))
        .collect();
    assert_eq!(records[0].address, Some("127.0.0.1:4001".parse().unwrap()));
    assert_eq!(
        (records[0].zone.as_deref(), records[0].kind.as_deref()),
        (Some("depot"), Some("gen-a"))
    );
    assert_eq!(
        records[0].version,
        Version::new(1_764_579_999_900, 1_764_580_000_100)
    );
    assert_eq!(
        (records[0].reported(), records[0].started),
        (Reported::Serving, Some(1_764_580_000_100.0))
    );
    assert_eq!(
        (records[1].reported(), records[1].started),
        (Reported::Draining(Status::OutOfService), None)
    );
    assert_eq!(
        from_json.applications[0].instances[1]
            .to_record(true)
            .address,
        Some("127.0.0.1:4443".parse().unwrap())
    );
    assert_eq!(
        (records[2].address, records[2].version.is_unset()),
        (None, true),
        "a disabled port gives no address"
    );
    let kitchen = &from_json.applications[1].instances[0];
    assert_eq!(
        (
            kitchen.id.as_str(),
            kitchen.to_record(false).zone.as_deref()
        ),
        ("kitchen.example", Some("b"))
    );
}

#[test]
fn a_single_application_and_a_single_instance_are_parsed() {
    let document = json(APP_JSON).unwrap();
    assert_eq!(
        document.applications[0].instances[0]
            .to_record(false)
            .reported(),
        Reported::Draining(Status::Starting)
    );
    let document = xml(INSTANCE_XML).unwrap();
    assert_eq!(
        document.applications[0].instances[0]
            .to_record(false)
            .reported(),
        Reported::Draining(Status::Down)
    );
}

#[test]
fn a_body_that_is_not_a_registry_document_is_an_error() {
    let html = b"<html><body>Welcome to the captive portal</body></html>";
    assert!(matches!(
        parse("text/html; charset=utf-8", html),
        Err(FormatError::UnknownFormat(_))
    ));
    assert!(
        matches!(parse("application/xml", html), Err(FormatError::UnknownRoot(root)) if root == "html")
    );
    assert!(matches!(
        parse("application/json", b"{}"),
        Err(FormatError::NoApplications)
    ));
    assert!(matches!(
        parse("application/json", br#"{"applications":{}}"#),
        Err(FormatError::NoApplications)
    ));
    assert!(matches!(
        parse("application/json", &APPS_JSON[..800]),
        Err(FormatError::Json(_))
    ));
    assert!(matches!(
        parse("application/xml", &APPS_XML[..800]),
        Err(FormatError::Xml(_))
    ));
    let without_id = br#"{"application":{"name":"A","instance":{"status":"UP"}}}"#;
    assert!(
        parse("application/json", without_id)
            .unwrap_err()
            .to_string()
            .contains("instanceId")
    );
    let deep = format!("{}{}", r#"{"applications":"#.repeat(5000), "}".repeat(5000));
    assert!(parse("application/json", deep.as_bytes()).is_err());
    let deep = format!(
        "<applications><apps__hashcode>x</apps__hashcode>{}",
        "<a>".repeat(50_000)
    );
    assert!(parse("application/xml", deep.as_bytes()).is_err());
    let entity = "<!DOCTYPE a [<!ENTITY x \"UP\">]><instance><instanceId>&x;</instanceId><status>&x;</status></instance>";
    assert!(
        parse("application/xml", entity.as_bytes()).is_err(),
        "entities that the document defines are not expanded"
    );
    assert!(parse("", APPS_JSON).is_ok() && parse("text/plain", APPS_XML).is_ok());
}

fn instance(id: &str, status: &str, action: &str) -> Instance {
    Instance {
        id: id.into(),
        ip: Some("127.0.0.1".into()),
        status: status.into(),
        port: Some(Port {
            number: Some(4001),
            enabled: true,
        }),
        action: Some(action.into()),
        dirty: Some(5.0),
        updated: Some(7.0),
        ..Instance::default()
    }
}

fn document(hashcode: &str, apps: &[(&str, &[Instance])]) -> Document {
    let applications = apps.iter().map(|(name, instances)| Application {
        name: name.to_string(),
        instances: instances.to_vec(),
    });
    Document {
        hashcode: Some(hashcode.into()),
        applications: applications.collect(),
    }
}

#[test]
fn deltas_are_verified_by_the_hash_code_of_all_applications() {
    let (mut replica, query) = (
        Replica::default(),
        RegistryQuery::AllApplications("engines".into()),
    );
    assert!(!replica.has_full_list());
    let (first, second, kitchen) = (
        instance("a", "UP", "ADDED"),
        instance("b", "UP", "ADDED"),
        instance("k", "DOWN", "ADDED"),
    );
    let full_list = document(
        "DOWN_1_UP_2_",
        &[("ENGINES", &[first, second]), ("KITCHEN", &[kitchen])],
    );
    let UpdateContent::Full(records) = replica.apply_full_list(&full_list, &query).unwrap() else {
        panic!()
    };
    assert_eq!(
        (
            records.len(),
            replica.hashcode().as_str(),
            replica.has_full_list()
        ),
        (2, "DOWN_1_UP_2_", true)
    );
    // Two changes of engines, of which one is new, and the deletion of another application's instance.
    let delta = document(
        "OUT_OF_SERVICE_1_STARTING_1_UP_1_",
        &[
            (
                "ENGINES",
                &[
                    instance("b", "OUT_OF_SERVICE", "MODIFIED"),
                    instance("c", "STARTING", "ADDED"),
                ],
            ),
            ("KITCHEN", &[instance("k", "DOWN", "DELETED")]),
        ],
    );
    let applied = replica.apply_delta(&delta, &query).unwrap();
    assert!(!applied.needs_full_list, "{}", replica.hashcode());
    let UpdateContent::Delta { changed, deleted } = applied.content else {
        panic!()
    };
    assert_eq!((changed.len(), deleted.len()), (2, 0));
    let applied = replica
        .apply_delta(
            &document("UP_1_", &[("Engines", &[instance("b", "UP", "DELETED")])]),
            &query,
        )
        .unwrap();
    assert!(
        applied.needs_full_list && !replica.has_full_list(),
        "the registry's application names are case-sensitive"
    );
    let UpdateContent::Delta { deleted, .. } = applied.content else {
        panic!()
    };
    assert_eq!(
        deleted,
        [("b".to_string(), Version::new(5, 7))],
        "the changes are reported despite the mismatch"
    );
}

fn gzip(bytes: &[u8]) -> Bytes {
    let mut encoder = flate2::write::GzEncoder::new(vec![], flate2::Compression::best());
    encoder.write_all(bytes).unwrap();
    encoder.finish().unwrap().into()
}

#[test]
fn a_body_that_decompresses_above_the_limit_or_is_not_gzip_is_an_error() {
    let response = |body: Bytes| RegistryResponse {
        status: StatusCode::OK,
        content_type: String::new(),
        gzip: true,
        body,
    };
    assert_eq!(
        &response(gzip(b"abc")).decompressed_body(3).unwrap()[..],
        b"abc"
    );
    assert!(matches!(
        response(gzip(&vec![0; 1 << 20])).decompressed_body(1 << 19),
        Err(HttpError::BodyTooLarge(_))
    ));
    assert!(matches!(
        response(Bytes::from_static(b"abc")).decompressed_body(9),
        Err(HttpError::InvalidGzip(_))
    ));
    let compressed = gzip(APPS_JSON);
    assert!(matches!(
        response(compressed.slice(..compressed.len() / 2)).decompressed_body(1 << 20),
        Err(HttpError::InvalidGzip(_))
    ));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Both parsers return without a panic for any input, and a truncated document is always an error.
    #[test]
    fn parsing_truncated_or_corrupted_documents_never_panics(
        as_xml in any::<bool>(), cut in any::<prop::sample::Index>(),
        corrupted in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        noise in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let (valid, content_type): (&[u8], _) =
            if as_xml { (APPS_XML, "application/xml") } else { (APPS_JSON, "application/json") };
        let end = valid.iter().rposition(|byte| !byte.is_ascii_whitespace()).unwrap();
        prop_assert!(parse(content_type, &valid[..cut.index(end)]).is_err(), "truncated");
        let mut bytes = valid.to_vec();
        for (position, byte) in corrupted {
            let position = position.index(bytes.len());
            bytes[position] = byte;
        }
        if let Ok(document) = parse(content_type, &bytes) {
            let instances = document.applications.iter().flat_map(|application| &application.instances);
            instances.for_each(|instance| drop(instance.to_record(true)));
        }
        let _ = parse(content_type, &noise);
        let _ = parse("", &noise);
    }

    /// A replica's hash code matches its instances after any sequence of deltas.
    #[test]
    fn the_hash_code_matches_the_instances_after_any_deltas(
        changes in prop::collection::vec((0..6usize, 0..3usize, any::<bool>()), 1..60),
    ) {
        let (mut replica, query) = (Replica::default(), RegistryQuery::AllApplications("a".into()));
        replica.apply_full_list(&document("", &[]), &query).unwrap();
        let mut model = std::collections::BTreeMap::new();
        let statuses = ["UP", "DOWN", "STARTING"];
        for (id, status, delete) in changes {
            let action = if delete { "DELETED" } else { "MODIFIED" };
            let changed = instance(&format!("i{id}"), statuses[status], action);
            if delete { model.remove(&id); } else { model.insert(id, statuses[status]); }
            let mut counts = std::collections::BTreeMap::new();
            model.values().for_each(|status| *counts.entry(*status).or_insert(0) += 1);
            let hash: String = counts.iter().map(|(status, count)| format!("{status}_{count}_")).collect();
            let delta = document(&hash, &[("A", &[changed])]);
            prop_assert!(!replica.apply_delta(&delta, &query).unwrap().needs_full_list);
        }
    }
}
