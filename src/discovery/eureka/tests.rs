use super::format::{FormatError, json, parse, xml};
use super::http::{Answer, HttpError};
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
fn both_formats_tell_the_same() {
    let (j, x) = (json(APPS_JSON).unwrap(), xml(APPS_XML).unwrap());
    assert_eq!(j, x);
    assert_eq!(j.hashcode.as_deref(), Some("DOWN_1_OUT_OF_SERVICE_1_UP_2_"));
    assert_eq!((j.applications.len(), j.instances()), (2, 4));
    let facts: Vec<_> = j.applications[0]
        .instances
        .iter()
        .map(|i| i.fact(false))
        .collect();
    assert_eq!(facts[0].address, Some("127.0.0.1:4001".parse().unwrap()));
    assert_eq!(
        (facts[0].zone.as_deref(), facts[0].kind.as_deref()),
        (Some("depot"), Some("gen-a"))
    );
    assert_eq!(
        facts[0].version,
        Version::new(1_764_579_999_900, 1_764_580_000_100)
    );
    assert_eq!(
        (facts[0].reported(), facts[0].started),
        (Reported::Serving, Some(1_764_580_000_100.0))
    );
    assert_eq!(
        (facts[1].reported(), facts[1].started),
        (Reported::Draining(Status::OutOfService), None)
    );
    assert_eq!(
        j.applications[0].instances[1].fact(true).address,
        Some("127.0.0.1:4443".parse().unwrap())
    );
    assert_eq!(
        (facts[2].address, facts[2].version.is_unset()),
        (None, true),
        "a port that is not open is none"
    );
    let kitchen = &j.applications[1].instances[0];
    assert_eq!(
        (kitchen.id.as_str(), kitchen.fact(false).zone.as_deref()),
        ("kitchen.example", Some("b"))
    );
}

#[test]
fn an_application_and_an_instance_alone_are_read_too() {
    let app = json(APP_JSON).unwrap();
    assert_eq!(
        app.applications[0].instances[0].fact(false).reported(),
        Reported::Draining(Status::Starting)
    );
    let one = xml(INSTANCE_XML).unwrap();
    assert_eq!(
        one.applications[0].instances[0].fact(false).reported(),
        Reported::Draining(Status::Down)
    );
}

#[test]
fn what_is_no_document_of_a_registry_is_named() {
    let html = b"<html><body>Welcome to the captive portal</body></html>";
    assert!(matches!(
        parse("text/html; charset=utf-8", html),
        Err(FormatError::Unknown(_))
    ));
    assert!(matches!(parse("application/xml", html), Err(FormatError::Root(r)) if r == "html"));
    assert!(matches!(
        parse("application/json", b"{}"),
        Err(FormatError::Empty)
    ));
    assert!(matches!(
        parse("application/json", br#"{"applications":{}}"#),
        Err(FormatError::Empty)
    ));
    assert!(matches!(
        parse("application/json", &APPS_JSON[..800]),
        Err(FormatError::Json(_))
    ));
    assert!(matches!(
        parse("application/xml", &APPS_XML[..800]),
        Err(FormatError::Xml(_))
    ));
    let without = br#"{"application":{"name":"A","instance":{"status":"UP"}}}"#;
    assert!(
        parse("application/json", without)
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
        "entities of its own are not followed"
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
    let applications = apps.iter().map(|(name, i)| Application {
        name: name.to_string(),
        instances: i.to_vec(),
    });
    Document {
        hashcode: Some(hashcode.into()),
        applications: applications.collect(),
    }
}

#[test]
fn changes_add_up_by_the_hash_code_of_all_applications() {
    let (mut r, listing) = (
        Replica::default(),
        RegistryQuery::AllApplications("engines".into()),
    );
    assert!(!r.listed());
    let (a, b, k) = (
        instance("a", "UP", "ADDED"),
        instance("b", "UP", "ADDED"),
        instance("k", "DOWN", "ADDED"),
    );
    let whole = document("DOWN_1_UP_2_", &[("ENGINES", &[a, b]), ("KITCHEN", &[k])]);
    let UpdateContent::Full(facts) = r.whole(&whole, &listing).unwrap() else {
        panic!()
    };
    assert_eq!(
        (facts.len(), r.hashcode().as_str(), r.listed()),
        (2, "DOWN_1_UP_2_", true)
    );
    // The same status twice, another application's change, a new one and one that goes.
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
    let applied = r.delta(&delta, &listing).unwrap();
    assert!(!applied.differs, "{}", r.hashcode());
    let UpdateContent::Delta { changed, deleted } = applied.content else {
        panic!()
    };
    assert_eq!((changed.len(), deleted.len()), (2, 0));
    let applied = r
        .delta(
            &document("UP_1_", &[("Engines", &[instance("b", "UP", "DELETED")])]),
            &listing,
        )
        .unwrap();
    assert!(
        applied.differs && !r.listed(),
        "the case of an application's name counts for its registry"
    );
    let UpdateContent::Delta { deleted, .. } = applied.content else {
        panic!()
    };
    assert_eq!(
        deleted,
        [("b".to_string(), Version::new(5, 7))],
        "a drain or end is told all the same"
    );
}

fn gzip(bytes: &[u8]) -> Bytes {
    let mut packed = flate2::write::GzEncoder::new(vec![], flate2::Compression::best());
    packed.write_all(bytes).unwrap();
    packed.finish().unwrap().into()
}

#[test]
fn a_body_that_unpacks_above_its_bound_or_is_no_gzip_is_an_error() {
    let answer = |body: Bytes| Answer {
        status: StatusCode::OK,
        kind: String::new(),
        gzip: true,
        body,
    };
    assert_eq!(&answer(gzip(b"abc")).unpacked(3).unwrap()[..], b"abc");
    assert!(matches!(
        answer(gzip(&vec![0; 1 << 20])).unpacked(1 << 19),
        Err(HttpError::Long(_))
    ));
    assert!(matches!(
        answer(Bytes::from_static(b"abc")).unpacked(9),
        Err(HttpError::Gzip(_))
    ));
    let whole = gzip(APPS_JSON);
    assert!(matches!(
        answer(whole.slice(..whole.len() / 2)).unpacked(1 << 20),
        Err(HttpError::Gzip(_))
    ));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Whatever arrives, both parsers end, without a panic, and what was cut off is never a document.
    #[test]
    fn documents_that_are_cut_or_spoilt_are_errors_or_documents(
        xml_form in any::<bool>(), cut in any::<prop::sample::Index>(),
        spoilt in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        noise in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let (good, kind): (&[u8], _) =
            if xml_form { (APPS_XML, "application/xml") } else { (APPS_JSON, "application/json") };
        let end = good.iter().rposition(|b| !b.is_ascii_whitespace()).unwrap();
        prop_assert!(parse(kind, &good[..cut.index(end)]).is_err(), "cut off");
        let mut bytes = good.to_vec();
        for (at, byte) in spoilt {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        if let Ok(document) = parse(kind, &bytes) {
            document.applications.iter().flat_map(|a| &a.instances).for_each(|i| drop(i.fact(true)));
        }
        let _ = parse(kind, &noise);
        let _ = parse("", &noise);
    }

    /// A replica's hash code is that of its instances, however they came.
    #[test]
    fn a_replica_counts_what_it_holds(steps in prop::collection::vec((0..6usize, 0..3usize, any::<bool>()), 1..60)) {
        let (mut r, listing) = (Replica::default(), RegistryQuery::AllApplications("a".into()));
        r.whole(&document("", &[]), &listing).unwrap();
        let mut model = std::collections::BTreeMap::new();
        let words = ["UP", "DOWN", "STARTING"];
        for (id, status, delete) in steps {
            let i = instance(&format!("i{id}"), words[status], if delete { "DELETED" } else { "MODIFIED" });
            if delete { model.remove(&id); } else { model.insert(id, words[status]); }
            let mut counts = std::collections::BTreeMap::new();
            model.values().for_each(|s| *counts.entry(*s).or_insert(0) += 1);
            let hash: String = counts.iter().map(|(s, n)| format!("{s}_{n}_")).collect();
            prop_assert!(!r.delta(&document(&hash, &[("A", &[i])]), &listing).unwrap().differs);
        }
    }
}
