//! The platform: engines that speak RESP, the journal service, and clients that send frames.

use crate::engine::now_ms;
use crate::stage::Stage;
use crate::wire::bad;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that has reached an engine whole.
pub struct Run {
    pub at: Instant,
    pub engine: usize,
    pub id: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts an engine that answers a request after 5 ms, and one of the class `load` after 4 s; returns its address.
pub fn engine(number: usize, runs: Runs) -> io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    std::thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let runs = runs.clone();
            std::thread::spawn(move || {
                let _ = serve_engine(number, tcp, &runs);
            });
        }
    });
    Ok(address)
}

fn serve_engine(number: usize, tcp: TcpStream, runs: &Runs) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let mut writer = tcp.try_clone()?;
    let mut reader = BufReader::new(tcp);
    loop {
        let words = read_array(&mut reader)?;
        let id = words.get(1).cloned().unwrap_or_default();
        match words.first().map(String::as_str) {
            Some("GET") => {
                runs.lock().unwrap().push(Run { at: Instant::now(), engine: number, id: id.clone() });
                let is_load = words.get(2).is_some_and(|fields| fields.contains("cls=load"));
                std::thread::sleep(Duration::from_millis(if is_load { 4000 } else { 5 }));
                writer.write_all(array(&[&id, "ACK", "total=1", "a\tb\tc\n"]).as_bytes())?;
            }
            Some("PING") => writer.write_all(array(&[&id, "READY", "-", ""]).as_bytes())?,
            _ => {}
        }
    }
}

fn array(words: &[&str]) -> String {
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        text.push_str(&format!("${}\r\n{word}\r\n", word.len()));
    }
    text
}

fn read_array(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<String>> {
    let mut number = |sign: char| -> io::Result<(usize, Vec<u8>)> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let number = line.trim().strip_prefix(sign).and_then(|digits| digits.parse().ok());
        let number: usize = number.ok_or(bad("no RESP array"))?;
        let mut bytes = vec![];
        if sign == '$' {
            bytes = vec![0; number + 2];
            reader.read_exact(&mut bytes)?;
            bytes.truncate(number);
        }
        Ok((number, bytes))
    };
    let (count, _) = number('*')?;
    (0..count).map(|_| Ok(String::from_utf8_lossy(&number('$')?.1).into_owned())).collect()
}

/// The journal service. While it is slow, whatever it sends on a connection comes `delay` later.
pub struct Journal {
    events: Mutex<Vec<(Instant, String)>>,
    slow: Mutex<Option<(Instant, Instant)>>,
    delay: Duration,
}

impl Journal {
    pub fn start(first: String, delay: Duration) -> io::Result<(Arc<Self>, String)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let journal = Arc::new(Journal {
            events: Mutex::new(vec![(Instant::now(), first)]),
            slow: Mutex::new(None),
            delay,
        });
        let service = journal.clone();
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let service = service.clone();
                std::thread::spawn(move || {
                    let _ = service.serve(tcp);
                });
            }
        });
        Ok((journal, address))
    }

    pub fn announce(&self, event: String) {
        self.events.lock().unwrap().push((Instant::now(), event));
    }

    /// From now on, and for this time, the service is slow.
    pub fn slow_for(&self, span: Duration) {
        *self.slow.lock().unwrap() = Some((Instant::now(), Instant::now() + span));
    }

    /// Returns whether something that is due since `due` may be sent now.
    fn may_send(&self, due: Instant) -> bool {
        match *self.slow.lock().unwrap() {
            Some((from, until)) if due >= from && Instant::now() < until => due.elapsed() >= self.delay,
            _ => true,
        }
    }

    fn serve(&self, mut tcp: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(tcp.try_clone()?);
        let mut sent = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some((name, value)) = line.split_once(':')
                && name.eq_ignore_ascii_case("last-event-id")
            {
                sent = value.trim().parse().unwrap_or(0);
            }
            if line.trim().is_empty() {
                break;
            }
        }
        let asked = Instant::now();
        while !self.may_send(asked) {
            std::thread::sleep(Duration::from_millis(10));
        }
        tcp.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n")?;
        let mut comment_due = Instant::now() + Duration::from_secs(1);
        loop {
            let due: Vec<(Instant, String)> = self.events.lock().unwrap().iter().skip(sent).cloned().collect();
            for (at, event) in due {
                if !self.may_send(at.max(asked)) {
                    break;
                }
                sent += 1;
                tcp.write_all(format!("id: {sent}\ndata: {event}\n\n").as_bytes())?;
            }
            if Instant::now() >= comment_due && self.may_send(comment_due) {
                tcp.write_all(b": still here\n")?;
                comment_due = Instant::now() + Duration::from_secs(1);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

pub fn event(position: usize, reset: bool, engines: &[(usize, &str, &str)]) -> String {
    let instances: Vec<String> = engines
        .iter()
        .map(|(number, address, lifecycle)| {
            format!(
                "{{\"instanceId\":\"engine-{number}\",\"hostPort\":\"{address}\",\"zone\":\"east\",\"machineType\":\"std\",\
                 \"cell\":0,\"lifecycle\":\"{lifecycle}\",\"weight\":1,\"startedAtMs\":0}}"
            )
        })
        .collect();
    format!(
        "{{\"pos\":{position},\"hosts\":{{\"generation\":{position},\"reset\":{reset},\"instances\":[{}]}}}}",
        instances.join(",")
    )
}

/// The configuration of a dispatcher.
pub fn platform_config(listen: &str, peer: &str, journal: &str, known: &str) -> String {
    let class = |name: &str, effect: &str, deadline: u32| {
        format!(
            "{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"group\":\"all\",\"dedup_window\":5000.0,\"aim\":2000.0,\
             \"aim_stretch\":1.5,\"hard_limit\":{deadline}.0,\"late_share\":0.0,\"streaming\":false,\"worth\":1.0}}"
        )
    };
    let settings = format!(
        "{{\"ceilings\":{{\"cancel\":true,\"conn_idle\":30000.0,\"connect_timeout\":250.0,\"max_open\":20000,\
         \"max_retry_after\":500.0,\"most_tries\":3,\"peer_messages\":true,\"probes\":false,\"retry_after\":true,\
         \"second_copies\":true,\"streams_per_conn\":100}},\
         \"deductions\":{{\"peer\":0.01,\"cross_zone\":0.02}},\"discovery\":\"automatic\",\
         \"extra\":{{\"cores_by_kind\":[8],\"ram_of_kind_mb\":[16384.0],\"class_waits\":[true,false],\
         \"holds_tables\":[false,true],\"width_by_class\":[1,2],\"progress\":500.0,\"takes_grants\":true,\"most_grant\":0.4}},\
         \"feedback\":{{\"fields\":[\"rif\",\"x0\"],\"how\":\"answers\"}},\"fleet_size\":1,\"rank\":0,\
         \"grades\":[{},{}],\"locality\":\"east\",\"machine_types\":[\"std\"],\"zones\":[\"east\"],\
         \"rules\":{{\"cold_from\":0.3,\"drain_grace\":1000.0,\"fall_multiple\":4.0,\"grace_to_answer\":20.0,\
         \"overload_for\":2000.0,\"warm_within\":15000.0}},\"step\":5.0}}",
        class("lookup", "retryable", 10_000),
        class("load", "fragile", 20_000)
    );
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"peer_listen\":\"{peer}\",\"peers\":[\"{peer}\"],\
         \"peers_all\":\"127.0.0.1:9\",\"journal\":\"{journal}\",\"known\":{{\"pos\":1,\"entries\":[{known}]}},\
         \"settings\":{settings}}}"
    )
}

/// A client that sends a request at a time on one connection.
pub struct FramesClient {
    address: String,
    tcp: Option<TcpStream>,
    stream: u32,
}

impl FramesClient {
    pub fn new(address: &str) -> Self {
        FramesClient { address: address.to_string(), tcp: None, stream: 0 }
    }

    /// Sends a request and waits for its answer; returns the code.
    pub fn ask(&mut self, class: &str, id: &str, limit_ms: u32) -> io::Result<u8> {
        if self.tcp.is_none() {
            let tcp = TcpStream::connect(&self.address)?;
            tcp.set_nodelay(true)?;
            tcp.set_read_timeout(Some(Duration::from_secs(30)))?;
            (self.tcp, self.stream) = (Some(tcp), 0);
        }
        self.stream += 1;
        let fields = [
            ("verb", class.to_string()),
            ("txn", id.to_string()),
            ("limit", limit_ms.to_string()),
            ("cpu", "5.0".to_string()),
            ("mem", "4".to_string()),
        ];
        let mut payload = vec![fields.len() as u8];
        for (name, value) in &fields {
            payload.push(name.len() as u8);
            payload.extend_from_slice(name.as_bytes());
            payload.extend_from_slice(&(value.len() as u16).to_be_bytes());
            payload.extend_from_slice(value.as_bytes());
        }
        payload.extend_from_slice(b"select * from sales_17.orders");
        let mut frame = (payload.len() as u32 + 5).to_be_bytes().to_vec();
        frame.push(2);
        frame.extend_from_slice(&self.stream.to_be_bytes());
        frame.extend_from_slice(&payload);
        let asked = self.stream;
        let answer = self.exchange(&frame, asked);
        if answer.is_err() {
            self.tcp = None;
        }
        answer
    }

    fn exchange(&mut self, frame: &[u8], asked: u32) -> io::Result<u8> {
        let tcp = self.tcp.as_mut().ok_or(bad("no connection"))?;
        tcp.write_all(frame)?;
        loop {
            let mut head = [0; 9];
            tcp.read_exact(&mut head)?;
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
            let mut payload = vec![0; length - 5];
            tcp.read_exact(&mut payload)?;
            if head[4] == 4 && stream == asked {
                return payload.first().copied().ok_or(bad("an empty answer"));
            }
        }
    }
}

/// A new request id.
pub fn new_id(client: usize, number: usize) -> String {
    format!("{:08x}{:02x}{:06x}", now_ms() as u32, client, number)
}

impl Stage {
    /// Starts the dispatcher of the platform by the command of the deploy file.
    pub fn platform_dispatcher(&self, config: &str, admin: &str) -> io::Result<crate::stage::Process> {
        let file = self.path("config.json");
        std::fs::write(&file, config)?;
        let temporary = self.path("dispatcher-tmp");
        std::fs::create_dir_all(&temporary)?;
        let variables = [("PROXY_CONFIG", &file[..]), ("TMPDIR", &temporary), ("PROXY_ADMIN_ADDR", admin)];
        self.start("dispatcher", "exec target/release/hitchwinch", &variables)
    }
}
