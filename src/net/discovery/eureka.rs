//! Eureka's registry: the full `/apps` first, then deltas that are checked by the registry's hash code. In an
//! outage the last list stays in force.

use super::{Change, Discovery, Engine, Sink};
use crate::config::EurekaSource;
use crate::interface::{EngineState, ListUpdate};
use crate::say;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A whole exchange takes no longer.
const EXCHANGE: Duration = Duration::from_secs(3);
/// A registry's answer is no longer.
const BODY: usize = 8 << 20;

/// One or many: the registry's JSON leaves the brackets out where there is one.
#[derive(Deserialize)]
#[serde(untagged)]
enum Many<T> {
    Many(Vec<T>),
    One(T),
}

impl<T> Many<T> {
    fn all(self) -> Vec<T> {
        match self {
            Many::Many(all) => all,
            Many::One(one) => vec![one],
        }
    }
}

#[derive(Deserialize)]
struct Answer {
    applications: Applications,
}

#[derive(Deserialize)]
struct Applications {
    #[serde(rename = "apps__hashcode", default)]
    hashcode: String,
    application: Option<Many<Application>>,
}

#[derive(Deserialize)]
struct Application {
    name: String,
    instance: Option<Many<Instance>>,
}

#[derive(Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: Option<String>,
    host_name: Option<String>,
    ip_addr: Option<String>,
    status: String,
    overriddenstatus: Option<String>,
    port: Option<Port>,
    action_type: Option<String>,
    lease_info: Option<Lease>,
    #[serde(default)]
    metadata: BTreeMap<String, serde_json::Value>,
}

#[derive(Clone, Deserialize)]
struct Port {
    #[serde(rename = "$")]
    number: serde_json::Value,
    #[serde(rename = "@enabled")]
    enabled: Option<serde_json::Value>,
}

#[derive(Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Lease {
    service_up_timestamp: Option<f64>,
}

/// A value that some registries write as text.
fn text(v: &serde_json::Value) -> String {
    v.as_str().map_or_else(|| v.to_string(), str::to_string)
}

impl Instance {
    fn id(&self) -> String {
        self.instance_id.clone().or_else(|| self.host_name.clone()).unwrap_or_default()
    }

    /// UP serves; OUT_OF_SERVICE is a drain (it may finish what it has); STARTING and UNKNOWN take nothing
    /// new either; DOWN is gone.
    fn state(&self) -> EngineState {
        let over = self.overriddenstatus.as_deref().filter(|s| *s != "UNKNOWN" && !s.is_empty());
        match over.unwrap_or(&self.status) {
            "UP" => EngineState::Ready,
            "OUT_OF_SERVICE" | "STARTING" | "UNKNOWN" => EngineState::Draining,
            _ => EngineState::Gone,
        }
    }

    fn engine(&self) -> Engine {
        let port = self.port.as_ref().filter(|p| p.enabled.as_ref().is_none_or(|e| text(e) == "true"));
        let port: Option<u16> = port.and_then(|p| text(&p.number).parse().ok());
        let ip: Option<IpAddr> = self.ip_addr.as_deref().and_then(|a| a.parse().ok());
        let meta = |k: &str| self.metadata.get(k).map(text);
        let address = ip.zip(port).map(|(ip, port)| SocketAddr::new(ip, port));
        Engine {
            id: self.id(),
            address,
            // Without an address nothing can be sent to it.
            state: if address.is_some() { self.state() } else { EngineState::Gone },
            zone: meta("zone"),
            kind: meta("kind"),
            cell: 0,
            started: self.lease_info.as_ref().and_then(|l| l.service_up_timestamp).filter(|t| *t > 0.0),
        }
    }
}

/// What is known of the registry: by application and instance, since the hash code counts all of them.
#[derive(Default)]
struct Registry {
    instances: BTreeMap<(String, String), Instance>,
    listed: bool,
}

impl Registry {
    /// How many instances stand in each status, as the registry words it: `DOWN_1_UP_7_`.
    fn hashcode(&self) -> String {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        self.instances.values().for_each(|i| *counts.entry(&i.status).or_default() += 1);
        counts.iter().map(|(status, n)| format!("{status}_{n}_")).collect()
    }

    fn engines(&self, app: &str) -> Vec<Engine> {
        let ours = self.instances.iter().filter(|((name, _), _)| name.eq_ignore_ascii_case(app));
        ours.map(|(_, i)| i.engine()).collect()
    }

    fn instances(apps: Applications) -> impl Iterator<Item = ((String, String), Instance)> {
        let apps = apps.application.map(Many::all).unwrap_or_default();
        apps.into_iter().flat_map(|a| {
            let instances = a.instance.map(Many::all).unwrap_or_default();
            instances.into_iter().map(move |i| ((a.name.clone(), i.id()), i))
        })
    }

    fn whole(&mut self, apps: Applications) {
        self.instances = Self::instances(apps).collect();
        self.listed = true;
    }

    /// Applies a delta; false if the result is not what the registry has, so that the whole must be asked for.
    fn delta(&mut self, apps: Applications) -> bool {
        let hashcode = apps.hashcode.clone();
        for (key, i) in Self::instances(apps) {
            match i.action_type.as_deref() {
                Some("DELETED") => drop(self.instances.remove(&key)),
                _ => drop(self.instances.insert(key, i)),
            }
        }
        self.hashcode() == hashcode
    }
}

pub struct Eureka {
    source: EurekaSource,
    registry: Registry,
    /// What the sink was told last.
    told: Vec<Engine>,
}

impl Eureka {
    pub fn new(source: EurekaSource) -> Self {
        Eureka { source, registry: Registry::default(), told: vec![] }
    }

    /// One round: a delta if a list is in hand, the whole if not or if the delta does not add up.
    async fn round(&mut self) -> io::Result<Option<Change>> {
        let mut whole = !self.registry.listed;
        if !whole {
            let delta = self.get("/apps/delta").await?;
            whole = !self.registry.delta(delta);
        }
        if whole {
            // Until the whole is here, a delta that does not add up must not count as the list.
            self.registry.listed = false;
            let apps = self.get("/apps").await?;
            self.registry.whole(apps);
        }
        let engines = self.registry.engines(&self.source.app);
        if engines == self.told {
            return Ok(None);
        }
        self.told = engines.clone();
        Ok(Some(Change { update: ListUpdate::Whole, engines }))
    }

    async fn get(&self, path: &str) -> io::Result<Applications> {
        let body = tokio::time::timeout(EXCHANGE, self.exchange(path)).await??;
        let answer: Answer = serde_json::from_slice(&body).map_err(io::Error::other)?;
        Ok(answer.applications)
    }

    async fn exchange(&self, path: &str) -> io::Result<Vec<u8>> {
        let s = &self.source;
        let mut tcp = TcpStream::connect(s.address).await?;
        let request = format!(
            "GET {}{path} HTTP/1.0\r\nHost: {}\r\nAccept: application/json\r\nConnection: close\r\n\r\n",
            s.path, s.address
        );
        tcp.write_all(request.as_bytes()).await?;
        let mut raw = vec![];
        tcp.take(BODY as u64 + 1).read_to_end(&mut raw).await?;
        if raw.len() > BODY {
            return Err(io::Error::other("the answer is too long"));
        }
        body(&raw)
    }
}

/// The body of a response that ended with its connection; one that ended early is an error.
fn body(raw: &[u8]) -> io::Result<Vec<u8>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(end) = response.parse(raw).map_err(io::Error::other)? else {
        return Err(io::Error::other("the head is not whole"));
    };
    if response.code != Some(200) {
        return Err(io::Error::other(format!("status {:?}", response.code)));
    }
    let body = &raw[end..];
    let header = |name: &str| {
        let found = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.map(|h| String::from_utf8_lossy(h.value).trim().to_ascii_lowercase())
    };
    let length = header("content-length").and_then(|v| v.parse::<usize>().ok());
    if header("transfer-encoding").is_some() {
        return Err(io::Error::other("the answer comes in chunks, though it was asked for as HTTP/1.0"));
    }
    match length {
        Some(n) if body.len() < n => Err(io::Error::other("the body is not whole")),
        Some(n) => Ok(body[..n].to_vec()),
        None => Ok(body.to_vec()),
    }
}

impl Discovery for Eureka {
    async fn run(mut self, sink: Sink) {
        loop {
            match self.round().await {
                Ok(Some(change)) => sink(change),
                Ok(None) => {}
                // The last list stays in force: engines that served go on serving.
                Err(e) => say!("eureka {}: {e}; the last list stays", self.source.address),
            }
            tokio::time::sleep(self.source.period).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::RefCell;
    use std::rc::Rc;
    use tokio::net::TcpListener;

    fn instance(id: &str, status: &str, action: &str) -> String {
        format!(
            r#"{{"instanceId":"{id}","ipAddr":"127.0.0.1","status":"{status}","actionType":"{action}",
            "port":{{"$":33061,"@enabled":"true"}},"leaseInfo":{{"serviceUpTimestamp":5}},
            "metadata":{{"zone":"z1"}}}}"#
        )
    }

    fn apps(hashcode: &str, instances: &[String]) -> String {
        format!(
            r#"{{"applications":{{"apps__hashcode":"{hashcode}","application":
            [{{"name":"ENGINES","instance":[{}]}}]}}}}"#,
            instances.join(",")
        )
    }

    /// A stand-in registry plays its answers in turn; what is asked and what is told is compared.
    fn play(answers: Vec<Option<String>>) -> (Vec<String>, Vec<Vec<(String, EngineState)>>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let source = EurekaSource {
                address: listener.local_addr().unwrap(),
                path: "/eureka".into(),
                app: "engines".into(),
                period: Duration::from_millis(1),
            };
            let told = Rc::new(RefCell::new(vec![]));
            let tell = told.clone();
            let sink: Sink = Box::new(move |c| {
                let list = c.engines.iter().map(|e| (e.id.clone(), e.state)).collect();
                tell.borrow_mut().push(list);
            });
            let registry = async {
                let mut asked = vec![];
                for answer in answers {
                    let (mut tcp, _) = listener.accept().await.unwrap();
                    let mut buffer = [0; 1024];
                    let n = tcp.read(&mut buffer).await.unwrap();
                    let line = String::from_utf8_lossy(&buffer[..n]).into_owned();
                    asked.push(line.split(' ').nth(1).unwrap_or_default().to_string());
                    if let Some(body) = answer {
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                        tcp.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
                    }
                }
                listener.accept().await.unwrap(); // the answer before has been worked through
                asked
            };
            let asked = tokio::select! {
                asked = registry => asked,
                () = Eureka::new(source).run(sink) => vec![],
            };
            (asked, told.take())
        })
    }

    #[test]
    fn the_whole_then_deltas_and_the_whole_again_when_the_hashcode_differs() {
        let (a, b) = (instance("a", "UP", "ADDED"), instance("b", "UP", "ADDED"));
        let (b_out, b_gone) = (instance("b", "OUT_OF_SERVICE", "MODIFIED"), instance("b", "UP", "DELETED"));
        let (asked, told) = play(vec![
            Some(apps("UP_2_", &[a.clone(), b.clone()])),
            Some(apps("OUT_OF_SERVICE_1_UP_1_", &[b_out])),
            Some(apps("UP_1_", &[b_gone])),
            Some(apps("UP_9_", &[])),
            Some(apps("UP_2_", &[a, instance("c", "STARTING", "ADDED")])),
        ]);
        let delta = "/eureka/apps/delta";
        assert_eq!(asked, ["/eureka/apps", delta, delta, delta, "/eureka/apps"]);
        use EngineState::{Draining, Ready};
        let list = |l: &[(&str, EngineState)]| l.iter().map(|(n, s)| (n.to_string(), *s)).collect::<Vec<_>>();
        assert_eq!(told[0], list(&[("a", Ready), ("b", Ready)]));
        assert_eq!(told[1], list(&[("a", Ready), ("b", Draining)]));
        assert_eq!(told[2], list(&[("a", Ready)]));
        assert_eq!(told[3], list(&[("a", Ready), ("c", Draining)]));
    }

    #[test]
    fn an_outage_or_half_an_answer_leaves_the_list_as_it_is() {
        let whole = apps("UP_1_", &[instance("a", "UP", "ADDED")]);
        let same = apps("UP_1_", &[]);
        let (_, told) = play(vec![Some(whole), None, Some("{".into()), Some(same)]);
        assert_eq!(told.len(), 1, "told once, and never that a is gone");
    }
}
