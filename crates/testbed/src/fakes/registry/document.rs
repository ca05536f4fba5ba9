//! A registry's documents, as its public API words them. Written by hand, not by the reader's own types: a mistake
//! in the reader must not be repeated here.

use super::leases::Instance;
use query_dispatcher::membership::Status;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Text within JSON's quotes.
fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

/// Text within XML.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn over(i: &Instance) -> &'static str {
    i.overridden.map_or("UNKNOWN", Status::as_str)
}

pub fn json_instance(i: &Instance) -> String {
    let metadata: Vec<String> = i
        .metadata
        .iter()
        .map(|(k, v)| format!("{}:{}", quoted(k), quoted(v)))
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
        id = quoted(&i.id),
        host = quoted(&i.host),
        app = quoted(&i.app),
        ip = quoted(&i.ip),
        status = i.listed().as_str(),
        over = over(i),
        port = i.port,
        secure = i.secure_port.unwrap_or(443),
        has_secure = i.secure_port.is_some(),
        lease = (i.duration / 1000.0) as u64,
        registered = i.registered as u64,
        renewed = i.renewed as u64,
        up = i.up as u64,
        metadata = metadata.join(","),
        vip = quoted(&i.vip),
        svip = quoted(&i.svip),
        updated = i.updated,
        dirty = i.dirty,
        action = i.action,
    )
}

pub fn xml_instance(i: &Instance) -> String {
    let mut metadata = String::new();
    for (k, v) in &i.metadata {
        let _ = write!(metadata, "<{k}>{}</{k}>", escaped(v));
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
        id = escaped(&i.id),
        host = escaped(&i.host),
        app = escaped(&i.app),
        ip = escaped(&i.ip),
        status = i.listed().as_str(),
        over = over(i),
        port = i.port,
        secure = i.secure_port.unwrap_or(443),
        has_secure = i.secure_port.is_some(),
        lease = (i.duration / 1000.0) as u64,
        up = i.up as u64,
        metadata = metadata,
        vip = escaped(&i.vip),
        updated = i.updated,
        dirty = i.dirty,
        action = i.action,
    )
}

fn by_app<'a>(instances: &[&'a Instance]) -> BTreeMap<&'a str, Vec<&'a Instance>> {
    let mut apps: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
    instances
        .iter()
        .for_each(|i| apps.entry(&i.app).or_default().push(i));
    apps
}

fn json_application(name: &str, instances: &[&Instance]) -> String {
    let all: Vec<String> = instances.iter().map(|i| json_instance(i)).collect();
    // One instance stands without brackets, as registries write it.
    let list = if all.len() == 1 {
        all[0].clone()
    } else {
        format!("[{}]", all.join(","))
    };
    format!(r#"{{"name":{},"instance":{list}}}"#, quoted(name))
}

fn xml_application(name: &str, instances: &[&Instance]) -> String {
    let all: String = instances.iter().map(|i| xml_instance(i)).collect();
    format!(
        "<application><name>{}</name>{all}</application>",
        escaped(name)
    )
}

/// All, or a delta, or those under one name.
pub fn applications(xml: bool, hashcode: &str, instances: &[&Instance]) -> String {
    let apps = by_app(instances);
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

/// One application alone.
pub fn application(xml: bool, name: &str, instances: &[&Instance]) -> String {
    match xml {
        true => xml_application(name, instances),
        false => format!(r#"{{"application":{}}}"#, json_application(name, instances)),
    }
}

/// One instance alone.
pub fn instance(xml: bool, i: &Instance) -> String {
    if xml {
        xml_instance(i)
    } else {
        format!(r#"{{"instance":{}}}"#, json_instance(i))
    }
}
