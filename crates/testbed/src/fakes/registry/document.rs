//! JSON and XML documents of a registry, as its public API defines them. They are formatted by hand rather
//! than with the types of the dispatcher's parser, so that an error of the parser is not repeated here.

use super::leases::Instance;
use query_dispatcher::membership::Status;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Returns a text as a JSON string.
fn json_string(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

/// Escapes a text for XML.
fn xml_escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn overridden_status(i: &Instance) -> &'static str {
    i.overridden.map_or("UNKNOWN", Status::as_str)
}

pub fn json_instance(i: &Instance) -> String {
    let metadata: Vec<String> = i
        .metadata
        .iter()
        .map(|(k, v)| format!("{}:{}", json_string(k), json_string(v)))
        .collect();
    format!(
        concat!(
            r#"{{"instanceId":{id},"hostName":{host},"app":{app},"ipAddr":{ip},"status":"{status}","#,
            r#""overriddenStatus":"{over}","port":{{"$":{port},"@enabled":"true"}},"#,
            r#""securePort":{{"$":{secure},"@enabled":"{has_secure}"}},"countryId":1,"#,
            r#""dataCenterInfo":{{"@class":"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo","name":"MyOwn"}},"#,
            r#""leaseInfo":{{"renewalIntervalInSecs":30,"durationInSecs":{lease},"registrationTimestamp":{registered},"#,
            r#""lastRenewalTimestamp":{renewed},"evictionTimestamp":0,"serviceUpTimestamp":{up}}},"#,
            r#""metadata":{{{metadata}}},"vipAddress":{vip},"secureVipAddress":{svip},"#,
            r#""isCoordinatingDiscoveryServer":"false","lastUpdatedTimestamp":"{updated}","#,
            r#""lastDirtyTimestamp":"{dirty}","actionType":"{action}"}}"#
        ),
        id = json_string(&i.id),
        host = json_string(&i.host),
        app = json_string(&i.app),
        ip = json_string(&i.ip),
        status = i.listed().as_str(),
        over = overridden_status(i),
        port = i.port,
        secure = i.secure_port.unwrap_or(443),
        has_secure = i.secure_port.is_some(),
        lease = (i.duration / 1000.0) as u64,
        registered = i.registered as u64,
        renewed = i.renewed as u64,
        up = i.up as u64,
        metadata = metadata.join(","),
        vip = json_string(&i.vip),
        svip = json_string(&i.svip),
        updated = i.updated,
        dirty = i.dirty,
        action = i.action,
    )
}

pub fn xml_instance(i: &Instance) -> String {
    let mut metadata = String::new();
    for (k, v) in &i.metadata {
        let _ = write!(metadata, "<{k}>{}</{k}>", xml_escaped(v));
    }
    format!(
        concat!(
            "<instance><instanceId>{id}</instanceId><hostName>{host}</hostName><app>{app}</app>",
            "<ipAddr>{ip}</ipAddr><status>{status}</status><overriddenstatus>{over}</overriddenstatus>",
            "<port enabled=\"true\">{port}</port><securePort enabled=\"{has_secure}\">{secure}</securePort>",
            "<countryId>1</countryId><leaseInfo><renewalIntervalInSecs>30</renewalIntervalInSecs>",
            "<durationInSecs>{lease}</durationInSecs><serviceUpTimestamp>{up}</serviceUpTimestamp></leaseInfo>",
            "<metadata>{metadata}</metadata><vipAddress>{vip}</vipAddress>",
            "<lastUpdatedTimestamp>{updated}</lastUpdatedTimestamp>",
            "<lastDirtyTimestamp>{dirty}</lastDirtyTimestamp><actionType>{action}</actionType></instance>"
        ),
        id = xml_escaped(&i.id),
        host = xml_escaped(&i.host),
        app = xml_escaped(&i.app),
        ip = xml_escaped(&i.ip),
        status = i.listed().as_str(),
        over = overridden_status(i),
        port = i.port,
        secure = i.secure_port.unwrap_or(443),
        has_secure = i.secure_port.is_some(),
        lease = (i.duration / 1000.0) as u64,
        up = i.up as u64,
        metadata = metadata,
        vip = xml_escaped(&i.vip),
        updated = i.updated,
        dirty = i.dirty,
        action = i.action,
    )
}

fn group_by_app<'a>(instances: &[&'a Instance]) -> BTreeMap<&'a str, Vec<&'a Instance>> {
    let mut apps: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
    instances
        .iter()
        .for_each(|i| apps.entry(&i.app).or_default().push(i));
    apps
}

fn json_application(name: &str, instances: &[&Instance]) -> String {
    let all: Vec<String> = instances.iter().map(|i| json_instance(i)).collect();
    // Registries write a single instance as an object instead of a list.
    let list = if all.len() == 1 {
        all[0].clone()
    } else {
        format!("[{}]", all.join(","))
    };
    format!(r#"{{"name":{},"instance":{list}}}"#, json_string(name))
}

fn xml_application(name: &str, instances: &[&Instance]) -> String {
    let all: String = instances.iter().map(|i| xml_instance(i)).collect();
    format!(
        "<application><name>{}</name>{all}</application>",
        xml_escaped(name)
    )
}

/// Formats a list of instances grouped by application: the whole list, a delta, or the instances of one
/// VIP.
pub fn applications(xml: bool, hashcode: &str, instances: &[&Instance]) -> String {
    let apps = group_by_app(instances);
    match xml {
        true => {
            let all: String = apps
                .iter()
                .map(|(name, i)| xml_application(name, i))
                .collect();
            format!(
                "<applications><versions__delta>1</versions__delta>\
                 <apps__hashcode>{hashcode}</apps__hashcode>{all}</applications>"
            )
        }
        false => {
            let all: Vec<String> = apps
                .iter()
                .map(|(name, i)| json_application(name, i))
                .collect();
            format!(
                r#"{{"applications":{{"versions__delta":"1","apps__hashcode":"{hashcode}","application":[{}]}}}}"#,
                all.join(",")
            )
        }
    }
}

/// Formats a single application.
pub fn application(xml: bool, name: &str, instances: &[&Instance]) -> String {
    match xml {
        true => xml_application(name, instances),
        false => format!(r#"{{"application":{}}}"#, json_application(name, instances)),
    }
}

/// Formats a single instance.
pub fn instance(xml: bool, i: &Instance) -> String {
    if xml {
        xml_instance(i)
    } else {
        format!(r#"{{"instance":{}}}"#, json_instance(i))
    }
}
