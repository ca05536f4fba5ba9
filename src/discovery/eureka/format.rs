//! Parsers of a registry's documents in JSON and XML. Both give the same [`Document`]. Unknown fields are ignored; a
//! missing required field is an error.

use crate::discovery::eureka::model::{Application, Document, Instance, Port};
use serde::de::{self, Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

/// Why a body is not a valid document.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// Neither `Content-Type`, cut off after 64 characters, nor the first byte shows a known format.
    #[error("the body is neither JSON nor XML (Content-Type {0:?})")]
    Unknown(String),
    /// Invalid JSON, or a field missing or of the wrong type.
    #[error("JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// Invalid XML, or an element missing or of the wrong type.
    #[error("XML: {0}")]
    Xml(#[from] quick_xml::DeError),
    /// The root element, cut off after 64 characters, is not one that is known.
    #[error("XML: its root is <{0}>")]
    Root(String),
    /// There is neither a list of applications with its hash code, nor an application, nor an instance; or no XML element.
    #[error("it holds no applications")]
    Empty,
    /// An XML body is not valid UTF-8.
    #[error("the text is not UTF-8")]
    Text,
}

/// Parses a body in the format that its `Content-Type` names, or that its first byte suggests if the type is missing or
/// generic.
///
/// # Errors
/// The format is unknown, or the body is not a complete and valid document.
pub fn parse(content_type: &str, body: &[u8]) -> Result<Document, FormatError> {
    let kind = content_type
        .split(';')
        .next()
        .unwrap_or_default()
        .trim()
        .to_ascii_lowercase();
    let first = body.iter().find(|b| !b.is_ascii_whitespace());
    match (kind.as_str(), first) {
        (k, _) if k.ends_with("/json") || k.ends_with("+json") => json(body),
        (k, _) if k.ends_with("/xml") || k.ends_with("+xml") => xml(body),
        ("" | "text/plain" | "application/octet-stream", Some(b'{')) => json(body),
        ("" | "text/plain" | "application/octet-stream", Some(b'<')) => xml(body),
        _ => Err(FormatError::Unknown(kind.chars().take(64).collect())),
    }
}

/// A list that the registry's JSON writes without brackets if it has one element. Deserialized without an intermediate
/// value, since a full list takes many megabytes.
struct OneOrMany<T>(Vec<T>);

impl<T> Default for OneOrMany<T> {
    fn default() -> Self {
        OneOrMany(vec![])
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for OneOrMany<T> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct ListVisitor<T>(PhantomData<T>);
        impl<'de, T: Deserialize<'de>> Visitor<'de> for ListVisitor<T> {
            type Value = OneOrMany<T>;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("one or many")
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
                let mut all = vec![];
                while let Some(one) = seq.next_element()? {
                    all.push(one);
                }
                Ok(OneOrMany(all))
            }
            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Self::Value, A::Error> {
                T::deserialize(de::value::MapAccessDeserializer::new(map))
                    .map(|one| OneOrMany(vec![one]))
            }
            fn visit_unit<E>(self) -> Result<Self::Value, E> {
                Ok(OneOrMany(vec![]))
            }
        }
        d.deserialize_any(ListVisitor(PhantomData))
    }
}

/// A string, number or boolean as a string, since registries differ in which they write. Nested values are ignored.
struct Scalar(Option<String>);

impl<'de> Deserialize<'de> for Scalar {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct ScalarVisitor;
        impl<'de> Visitor<'de> for ScalarVisitor {
            type Value = Scalar;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a text or a number")
            }
            fn visit_str<E>(self, v: &str) -> Result<Scalar, E> {
                Ok(Scalar(Some(v.to_string())))
            }
            fn visit_bool<E>(self, v: bool) -> Result<Scalar, E> {
                Ok(Scalar(Some(v.to_string())))
            }
            fn visit_u64<E>(self, v: u64) -> Result<Scalar, E> {
                Ok(Scalar(Some(v.to_string())))
            }
            fn visit_i64<E>(self, v: i64) -> Result<Scalar, E> {
                Ok(Scalar(Some(v.to_string())))
            }
            fn visit_f64<E>(self, v: f64) -> Result<Scalar, E> {
                Ok(Scalar(Some(v.to_string())))
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
        d.deserialize_any(ScalarVisitor)
    }
}

/// The number that a scalar holds.
fn number(scalar: Option<Scalar>) -> Option<f64> {
    scalar.and_then(|l| l.0).and_then(|t| t.trim().parse().ok())
}

/// The entries of an instance's metadata that are used; other applications' metadata may be long.
fn used_metadata(all: Option<BTreeMap<String, Scalar>>) -> BTreeMap<String, String> {
    let all = all.unwrap_or_default().into_iter();
    let used = all.filter(|(k, _)| matches!(k.as_str(), "zone" | "kind"));
    used.filter_map(|(k, v)| Some((k, v.0?))).collect()
}

/// An instance in either format; the formats differ in how they write a port, `P`.
#[derive(serde::Deserialize)]
#[serde(rename_all = "camelCase")]
struct Common<P> {
    instance_id: Option<String>,
    host_name: Option<String>,
    ip_addr: Option<String>,
    status: String,
    overriddenstatus: Option<String>,
    /// The same, as later registries spell it in JSON.
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

fn port(number: Option<Scalar>, enabled: Option<Scalar>) -> Port {
    let number = number.and_then(|l| l.0).and_then(|t| t.trim().parse().ok());
    Port {
        number,
        enabled: enabled.and_then(|l| l.0).is_none_or(|e| e == "true"),
    }
}

impl<P> Common<P> {
    fn instance<E>(
        self,
        port: impl Fn(P) -> Port,
        missing: impl Fn(&'static str) -> E,
    ) -> Result<Instance, E> {
        let zone = self.data_center_info.and_then(|d| d.metadata);
        let zone = zone
            .and_then(|mut m| m.remove("availability-zone"))
            .and_then(|l| l.0);
        let id = self
            .instance_id
            .filter(|id| !id.is_empty())
            .or(self.host_name);
        Ok(Instance {
            id: id.ok_or_else(|| missing("instanceId"))?,
            ip: self.ip_addr,
            status: self.status,
            overridden: self.overridden_status.or(self.overriddenstatus),
            port: self.port.map(&port),
            secure_port: self.secure_port.map(&port),
            action: self.action_type,
            started: number(self.lease_info.and_then(|l| l.service_up_timestamp)),
            dirty: number(self.last_dirty_timestamp),
            updated: number(self.last_updated_timestamp),
            metadata: used_metadata(self.metadata),
            zone,
        })
    }
}

struct JsonInstance(Instance);

impl<'de> Deserialize<'de> for JsonInstance {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let common = Common::<JsonPort>::deserialize(d)?;
        common
            .instance(
                |p| port(Some(p.number), p.enabled),
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
/// The JSON is invalid or incomplete, a field is missing, or it is none of those objects.
pub fn json(body: &[u8]) -> Result<Document, FormatError> {
    let application = |json: JsonApplication| Application {
        name: json.name,
        instances: json.instance.0.into_iter().map(|i| i.0).collect(),
    };
    let document: JsonDocument = serde_json::from_slice(body)?;
    match document {
        // Without a hash code it is another service's answer, or an incomplete one.
        JsonDocument {
            applications:
                Some(JsonApplications {
                    hashcode: Some(hashcode),
                    application: all,
                }),
            ..
        } => Ok(Document {
            hashcode: Some(hashcode),
            applications: all.0.into_iter().map(application).collect(),
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
        } => Ok(single(instance.0)),
        _ => Err(FormatError::Empty),
    }
}

/// A document of a single instance.
fn single(instance: Instance) -> Document {
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
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let common = Common::<XmlPort>::deserialize(d)?;
        common
            .instance(|p| port(p.number, p.enabled), de::Error::missing_field)
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
/// The body is not UTF-8, the XML is invalid or incomplete, an element is missing, or the root is none of those.
pub fn xml(body: &[u8]) -> Result<Document, FormatError> {
    let text = std::str::from_utf8(body).map_err(|_| FormatError::Text)?;
    let application = |xml: XmlApplication| Application {
        name: xml.name,
        instances: xml.instance.into_iter().map(|i| i.0).collect(),
    };
    match root(text)?.as_str() {
        "applications" => {
            let all: XmlApplications = quick_xml::de::from_str(text)?;
            Ok(Document {
                hashcode: Some(all.hashcode),
                applications: all.application.into_iter().map(application).collect(),
            })
        }
        "application" => {
            let single: XmlApplication = quick_xml::de::from_str(text)?;
            Ok(Document {
                hashcode: None,
                applications: vec![application(single)],
            })
        }
        "instance" => Ok(single(quick_xml::de::from_str::<XmlInstance>(text)?.0)),
        other => Err(FormatError::Root(other.chars().take(64).collect())),
    }
}

/// The name of the first element.
fn root(text: &str) -> Result<String, FormatError> {
    use quick_xml::events::Event;
    let mut reader = quick_xml::Reader::from_str(text);
    loop {
        match reader.read_event().map_err(quick_xml::DeError::from)? {
            Event::Start(e) | Event::Empty(e) => {
                return Ok(e.local_name().as_ref().to_string());
            }
            Event::Eof => return Err(FormatError::Empty),
            _ => {}
        }
    }
}
