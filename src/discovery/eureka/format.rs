//! Parsers of a registry's documents in JSON and XML. Both give the same [`Document`]. Unknown fields are
//! ignored; a missing required field is an error.

use crate::discovery::eureka::model::{Application, Document, Instance, Port};
use serde::de::{self, Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

/// Why a body is not a valid document. The text is reported at `/_members`.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// Neither the `Content-Type`, cut off after 64 characters, nor the first byte indicates a known format.
    #[error("the body is neither JSON nor XML (Content-Type {0:?})")]
    UnknownFormat(String),
    /// The JSON is invalid, or a field is missing or has the wrong type.
    #[error("JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The XML is invalid, or an element is missing or has the wrong type.
    #[error("XML: {0}")]
    Xml(#[from] quick_xml::DeError),
    /// The name of the XML root element, cut off after 64 characters, is unknown.
    #[error("XML: its root is <{0}>")]
    UnknownRoot(String),
    /// The document contains neither a list of applications with its hash code, nor an application, nor an
    /// instance, or it has no XML element at all.
    #[error("it holds no applications")]
    NoApplications,
    /// An XML body is not valid UTF-8.
    #[error("the text is not UTF-8")]
    NotUtf8,
}

/// Parses a body in the format given by its `Content-Type`, or by its first byte if the type is missing or
/// generic.
///
/// # Errors
/// The format is unknown, or the body is not a complete and valid document.
pub fn parse(content_type: &str, body: &[u8]) -> Result<Document, FormatError> {
    let media_type = content_type
        .split(';')
        .next()
        .unwrap_or_default()
        .trim()
        .to_ascii_lowercase();
    let first_byte = body.iter().find(|byte| !byte.is_ascii_whitespace());
    match (media_type.as_str(), first_byte) {
        (name, _) if name.ends_with("/json") || name.ends_with("+json") => json(body),
        (name, _) if name.ends_with("/xml") || name.ends_with("+xml") => xml(body),
        ("" | "text/plain" | "application/octet-stream", Some(b'{')) => json(body),
        ("" | "text/plain" | "application/octet-stream", Some(b'<')) => xml(body),
        _ => Err(FormatError::UnknownFormat(
            media_type.chars().take(64).collect(),
        )),
    }
}

/// A list that registries write without brackets in JSON if it has one element. It is deserialized without an
/// intermediate value, because a full list takes many megabytes.
struct OneOrMany<T>(Vec<T>);

impl<T> Default for OneOrMany<T> {
    fn default() -> Self {
        OneOrMany(vec![])
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for OneOrMany<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ListVisitor<T>(PhantomData<T>);
        impl<'de, T: Deserialize<'de>> Visitor<'de> for ListVisitor<T> {
            type Value = OneOrMany<T>;
            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("one or many")
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
                let mut elements = vec![];
                while let Some(element) = seq.next_element()? {
                    elements.push(element);
                }
                Ok(OneOrMany(elements))
            }
            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Self::Value, A::Error> {
                T::deserialize(de::value::MapAccessDeserializer::new(map))
                    .map(|element| OneOrMany(vec![element]))
            }
            fn visit_unit<E>(self) -> Result<Self::Value, E> {
                Ok(OneOrMany(vec![]))
            }
        }
        deserializer.deserialize_any(ListVisitor(PhantomData))
    }
}

/// A string, number or boolean as a string, because registries differ in which of them they write. Nested
/// values are ignored.
struct Scalar(Option<String>);

impl<'de> Deserialize<'de> for Scalar {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ScalarVisitor;
        impl<'de> Visitor<'de> for ScalarVisitor {
            type Value = Scalar;
            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a text or a number")
            }
            fn visit_str<E>(self, value: &str) -> Result<Scalar, E> {
                Ok(Scalar(Some(value.to_string())))
            }
            fn visit_bool<E>(self, value: bool) -> Result<Scalar, E> {
                Ok(Scalar(Some(value.to_string())))
            }
            fn visit_u64<E>(self, value: u64) -> Result<Scalar, E> {
                Ok(Scalar(Some(value.to_string())))
            }
            fn visit_i64<E>(self, value: i64) -> Result<Scalar, E> {
                Ok(Scalar(Some(value.to_string())))
            }
            fn visit_f64<E>(self, value: f64) -> Result<Scalar, E> {
                Ok(Scalar(Some(value.to_string())))
            }
            fn visit_unit<E>(self) -> Result<Scalar, E> {
                Ok(Scalar(None))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Scalar, A::Error> {
                while seq.next_element::<de::IgnoredAny>()?.is_some() {}
                Ok(Scalar(None))
            }
            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Scalar, A::Error> {
                // An XML element with text content.
                let mut text = None;
                while let Some(key) = map.next_key::<String>()? {
                    match key.as_str() {
                        "$text" => text = map.next_value::<Scalar>()?.0,
                        _ => drop(map.next_value::<de::IgnoredAny>()?),
                    }
                }
                Ok(Scalar(text))
            }
        }
        deserializer.deserialize_any(ScalarVisitor)
    }
}

/// Parses a scalar as a number; `None` if it is absent or not a number.
fn parse_number(scalar: Option<Scalar>) -> Option<f64> {
    scalar
        .and_then(|scalar| scalar.0)
        .and_then(|text| text.trim().parse().ok())
}

/// Returns the entries of an instance's metadata that are used; other applications' metadata may be long.
fn used_metadata(all: Option<BTreeMap<String, Scalar>>) -> BTreeMap<String, String> {
    let all = all.unwrap_or_default().into_iter();
    let used = all.filter(|(key, _)| matches!(key.as_str(), "zone" | "kind"));
    used.filter_map(|(key, value)| Some((key, value.0?)))
        .collect()
}

/// An instance in either format. The formats differ in how they write a port, which has type `P`.
#[derive(serde::Deserialize)]
#[serde(rename_all = "camelCase")]
struct Common<P> {
    instance_id: Option<String>,
    host_name: Option<String>,
    ip_addr: Option<String>,
    status: String,
    overriddenstatus: Option<String>,
    /// Spelling of `overriddenstatus` in the JSON of later registries.
    overridden_status: Option<String>,
    port: Option<P>,
    secure_port: Option<P>,
    action_type: Option<String>,
    lease_info: Option<Lease>,
    metadata: Option<BTreeMap<String, Scalar>>,
    last_updated_timestamp: Option<Scalar>,
    last_dirty_timestamp: Option<Scalar>,
    data_center_info: Option<DataCentre>,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "camelCase")]
struct Lease {
    service_up_timestamp: Option<Scalar>,
}

#[derive(serde::Deserialize)]
struct DataCentre {
    metadata: Option<BTreeMap<String, Scalar>>,
}

#[derive(serde::Deserialize)]
struct JsonPort {
    #[serde(rename = "$")]
    number: Scalar,
    #[serde(rename = "@enabled")]
    enabled: Option<Scalar>,
}

#[derive(serde::Deserialize)]
struct XmlPort {
    #[serde(rename = "$text")]
    number: Option<Scalar>,
    #[serde(rename = "@enabled")]
    enabled: Option<Scalar>,
}

fn to_port(number: Option<Scalar>, enabled: Option<Scalar>) -> Port {
    let number = number
        .and_then(|scalar| scalar.0)
        .and_then(|text| text.trim().parse().ok());
    Port {
        number,
        enabled: enabled
            .and_then(|scalar| scalar.0)
            .is_none_or(|enabled| enabled == "true"),
    }
}

impl<P> Common<P> {
    fn into_instance<E>(
        self,
        to_port: impl Fn(P) -> Port,
        missing_field: impl Fn(&'static str) -> E,
    ) -> Result<Instance, E> {
        let zone = self
            .data_center_info
            .and_then(|data_center| data_center.metadata);
        let zone = zone
            .and_then(|mut metadata| metadata.remove("availability-zone"))
            .and_then(|scalar| scalar.0);
        let id = self
            .instance_id
            .filter(|id| !id.is_empty())
            .or(self.host_name);
        Ok(Instance {
            id: id.ok_or_else(|| missing_field("instanceId"))?,
            ip: self.ip_addr,
            status: self.status,
            overridden: self.overridden_status.or(self.overriddenstatus),
            port: self.port.map(&to_port),
            secure_port: self.secure_port.map(&to_port),
            action: self.action_type,
            started: parse_number(self.lease_info.and_then(|lease| lease.service_up_timestamp)),
            dirty: parse_number(self.last_dirty_timestamp),
            updated: parse_number(self.last_updated_timestamp),
            metadata: used_metadata(self.metadata),
            zone,
        })
    }
}

struct JsonInstance(Instance);

impl<'de> Deserialize<'de> for JsonInstance {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let common = Common::<JsonPort>::deserialize(deserializer)?;
        common
            .into_instance(
                |port| to_port(Some(port.number), port.enabled),
                de::Error::missing_field,
            )
            .map(JsonInstance)
    }
}

#[derive(serde::Deserialize)]
struct JsonApplication {
    name: String,
    #[serde(default = "OneOrMany::default")]
    instance: OneOrMany<JsonInstance>,
}

#[derive(serde::Deserialize)]
struct JsonApplications {
    #[serde(rename = "apps__hashcode")]
    hashcode: Option<String>,
    #[serde(default = "OneOrMany::default")]
    application: OneOrMany<JsonApplication>,
}

#[derive(serde::Deserialize)]
struct JsonDocument {
    applications: Option<JsonApplications>,
    application: Option<JsonApplication>,
    instance: Option<JsonInstance>,
}

/// Parses JSON: `{"applications": …}`, `{"application": …}` or `{"instance": …}`.
///
/// # Errors
/// The JSON is invalid or incomplete, a field is missing, or the document is none of those objects.
pub fn json(body: &[u8]) -> Result<Document, FormatError> {
    let application = |json: JsonApplication| Application {
        name: json.name,
        instances: json
            .instance
            .0
            .into_iter()
            .map(|instance| instance.0)
            .collect(),
    };
    let document: JsonDocument = serde_json::from_slice(body)?;
    match document {
        // Without a hash code, the document comes from another service or is incomplete.
        JsonDocument {
            applications:
                Some(JsonApplications {
                    hashcode: Some(hashcode),
                    application: applications,
                }),
            ..
        } => Ok(Document {
            hashcode: Some(hashcode),
            applications: applications.0.into_iter().map(application).collect(),
        }),
        JsonDocument {
            application: Some(single),
            ..
        } => Ok(Document {
            hashcode: None,
            applications: vec![application(single)],
        }),
        JsonDocument {
            instance: Some(instance),
            ..
        } => Ok(single_instance(instance.0)),
        _ => Err(FormatError::NoApplications),
    }
}

/// Returns a document of a single instance.
fn single_instance(instance: Instance) -> Document {
    Document {
        hashcode: None,
        applications: vec![Application {
            name: String::new(),
            instances: vec![instance],
        }],
    }
}

struct XmlInstance(Instance);

impl<'de> Deserialize<'de> for XmlInstance {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let common = Common::<XmlPort>::deserialize(deserializer)?;
        common
            .into_instance(
                |port| to_port(port.number, port.enabled),
                de::Error::missing_field,
            )
            .map(XmlInstance)
    }
}

#[derive(serde::Deserialize)]
struct XmlApplication {
    name: String,
    #[serde(default)]
    instance: Vec<XmlInstance>,
}

#[derive(serde::Deserialize)]
struct XmlApplications {
    #[serde(rename = "apps__hashcode")]
    hashcode: String,
    #[serde(default)]
    application: Vec<XmlApplication>,
}

/// Parses XML with a root of `<applications>`, `<application>` or `<instance>`.
///
/// # Errors
/// The body is not UTF-8, the XML is invalid or incomplete, an element is missing, or the root is another
/// element.
pub fn xml(body: &[u8]) -> Result<Document, FormatError> {
    let text = std::str::from_utf8(body).map_err(|_| FormatError::NotUtf8)?;
    let application = |xml: XmlApplication| Application {
        name: xml.name,
        instances: xml
            .instance
            .into_iter()
            .map(|instance| instance.0)
            .collect(),
    };
    match root_element(text)?.as_str() {
        "applications" => {
            let list: XmlApplications = quick_xml::de::from_str(text)?;
            Ok(Document {
                hashcode: Some(list.hashcode),
                applications: list.application.into_iter().map(application).collect(),
            })
        }
        "application" => {
            let single: XmlApplication = quick_xml::de::from_str(text)?;
            Ok(Document {
                hashcode: None,
                applications: vec![application(single)],
            })
        }
        "instance" => Ok(single_instance(
            quick_xml::de::from_str::<XmlInstance>(text)?.0,
        )),
        other => Err(FormatError::UnknownRoot(other.chars().take(64).collect())),
    }
}

/// Returns the name of the first XML element.
fn root_element(text: &str) -> Result<String, FormatError> {
    use quick_xml::events::Event;
    let mut reader = quick_xml::Reader::from_str(text);
    loop {
        match reader.read_event().map_err(quick_xml::DeError::from)? {
            Event::Start(element) | Event::Empty(element) => {
                return Ok(element.local_name().as_ref().to_string());
            }
            Event::Eof => return Err(FormatError::NoApplications),
            _ => {}
        }
    }
}
