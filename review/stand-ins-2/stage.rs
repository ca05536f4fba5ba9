//! What every case needs: processes that end with the case, a temporary folder, free ports, and the record.

use crate::engine::now_ms;
use crate::wire::bad;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after which a play is given up.
const LONGEST: Duration = Duration::from_secs(112);

/// A process that is killed with its handle.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn signal(&self, name: &str) -> io::Result<()> {
        signal(self.child.id(), name)
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for its end; false if it does not come in time.
    pub fn ends_within(&mut self, limit: Duration) -> io::Result<bool> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.child.try_wait()?.is_some() {
                return Ok(true);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(false)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn signal(id: u32, name: &str) -> io::Result<()> {
    let sent = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {id}")).status()?;
    match sent.success() {
        true => Ok(()),
        false => Err(bad(&format!("no signal {name} to process {id}"))),
    }
}

/// The stage of one play.
pub struct Stage {
    pub folder: PathBuf,
    pub trouble: bool,
    record: Mutex<File>,
    began: Instant,
}

impl Stage {
    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn path(&self, name: &str) -> String {
        self.folder.join(name).to_string_lossy().into_owned()
    }

    /// Starts an engine in a process of its own.
    pub fn engine(&self, name: &str, address: &str, control_ms: u64) -> io::Result<Process> {
        let log = self.path(&format!("{name}.log"));
        let child = Command::new(std::env::current_exe()?)
            .args(["engine", name, address, &log, &control_ms.to_string()])
            .stdin(Stdio::null())
            .spawn()?;
        let process = Process { child };
        wait_for(address)?;
        Ok(process)
    }

    /// Starts the dispatcher by the command of the deploy file, with this configuration of the MySQL frontend.
    /// `listener` becomes its descriptor 7.
    pub fn dispatcher(&self, name: &str, config: &str, listener: Option<&TcpListener>) -> io::Result<Process> {
        let file = self.path(&format!("{name}.toml"));
        std::fs::write(&file, config)?;
        let run = format!("exec target/release/hitchwinch --mysql '{file}'");
        let folder = self.path("tmp");
        std::fs::create_dir_all(&folder)?;
        let Some(listener) = listener else {
            return self.start(name, &run, &[("TMPDIR", &folder)]);
        };
        let input = Stdio::from(std::os::fd::OwnedFd::from(listener.try_clone()?));
        self.spawn(name, &format!("exec 7<&0 </dev/null; {run}"), &[("TMPDIR", &folder)], input)
    }

    /// Starts a program by a command for the shell; its log is `name`.log.
    pub fn start(&self, name: &str, command: &str, variables: &[(&str, &str)]) -> io::Result<Process> {
        self.spawn(name, command, variables, Stdio::null())
    }

    fn spawn(&self, name: &str, command: &str, variables: &[(&str, &str)], input: Stdio) -> io::Result<Process> {
        let log = File::options().create(true).append(true).open(self.path(&format!("{name}.log")))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .envs(variables.iter().copied())
            .stdin(input)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        Ok(Process { child })
    }

    /// Copies a log into the record.
    pub fn append_log(&self, name: &str) {
        let text = std::fs::read_to_string(self.folder.join(name)).unwrap_or_default();
        let _ = writeln!(self.record.lock().unwrap(), "\n--- {name}\n{text}");
    }
}

/// Runs a play; returns the exit code.
pub fn play(record: &str, run: impl FnOnce(&Stage) -> io::Result<bool>) -> i32 {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = std::env::temp_dir().join(format!("hitchwinch-review-{}-{}", std::process::id(), now_ms()));
    let opened = std::fs::create_dir_all(&folder).and_then(|()| File::create(record));
    let record = match opened {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            return 2;
        }
    };
    if !Path::new("target/release/hitchwinch").exists() {
        eprintln!("target/release/hitchwinch is missing: build it first");
        return 2;
    }
    let stage = Stage {
        folder: folder.clone(),
        trouble,
        record: Mutex::new(record),
        began: Instant::now(),
    };
    stage.note(if trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    let outcome = run(&stage);
    let code = match outcome {
        Ok(true) => {
            stage.note("the rule was BROKEN");
            1
        }
        Ok(false) => {
            stage.note("the rule held");
            0
        }
        Err(error) => {
            stage.note(&format!("the case could not run: {error}"));
            2
        }
    };
    let _ = std::fs::remove_dir_all(folder);
    code
}

/// Ends the play if it takes too long: `processes` are killed by their ids.
pub fn watch(processes: Arc<Mutex<Vec<u32>>>) {
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST);
        for id in processes.lock().unwrap().iter() {
            let _ = signal(*id, "KILL");
        }
        eprintln!("the play took too long");
        std::process::exit(2);
    });
}

pub fn free_address() -> io::Result<String> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

pub fn wait_for(address: &str) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if TcpStream::connect(address).is_ok() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(bad(&format!("nobody listens at {address}")))
}

/// A started fleet: its engines, and one dispatcher before them.
pub struct Fleet {
    pub listed: Vec<(String, String)>,
    pub engines: Vec<Process>,
    pub listen: String,
    /// Ends with the fleet.
    _dispatcher: Process,
}

impl Stage {
    /// Starts engines, and a dispatcher with `more` at the head of its configuration.
    pub fn fleet(&self, engines: usize, more: &str) -> io::Result<Fleet> {
        let started = Arc::new(Mutex::new(vec![]));
        watch(started.clone());
        let (mut processes, mut listed) = (vec![], vec![]);
        for number in 0..engines {
            let (name, address) = (format!("engine-{number}"), free_address()?);
            let process = self.engine(&name, &address, 0)?;
            started.lock().unwrap().push(process.id());
            processes.push(process);
            listed.push((name, address));
        }
        let (listen, admin) = (free_address()?, free_address()?);
        let dispatcher = self.dispatcher("dispatcher", &config(&listen, &admin, &listed, more), None)?;
        started.lock().unwrap().push(dispatcher.id());
        wait_ready(&admin)?;
        Ok(Fleet { listed, engines: processes, listen, _dispatcher: dispatcher })
    }

    /// Returns, for each engine, the lines of its log that hold this text.
    pub fn lines(&self, fleet: &Fleet, text: &str) -> Vec<Vec<String>> {
        let log = |name: &str| std::fs::read_to_string(self.path(&format!("{name}.log"))).unwrap_or_default();
        let lines = |log: String| log.lines().filter(|line| line.contains(text)).map(str::to_string).collect();
        fleet.listed.iter().map(|(name, _)| lines(log(name))).collect()
    }

    /// Waits until an engine has got a statement that holds this text; returns its number.
    pub fn engine_of(&self, fleet: &Fleet, text: &str) -> io::Result<usize> {
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until {
            if let Some(number) = self.lines(fleet, text).iter().position(|lines| !lines.is_empty()) {
                return Ok(number);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Err(bad("no engine has got the statement"))
    }

    /// Copies all logs into the record.
    pub fn append_logs(&self, fleet: &Fleet) {
        for (name, _) in &fleet.listed {
            self.append_log(&format!("{name}.log"));
        }
        self.append_log("dispatcher.log");
    }
}

/// Calls the dispatcher's address for operators; returns the status and the body.
pub fn call(address: &str, method: &str, path: &str) -> io::Result<(u16, String)> {
    let mut tcp = TcpStream::connect(address)?;
    tcp.set_read_timeout(Some(Duration::from_secs(5)))?;
    let head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    tcp.write_all(head.as_bytes())?;
    let mut answer = String::new();
    tcp.read_to_string(&mut answer)?;
    let status = answer.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, body.to_string()))
}

/// Waits until the dispatcher says that it is ready.
pub fn wait_ready(admin: &str) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if matches!(call(admin, "GET", "/_ready"), Ok((200, _))) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(bad("the dispatcher does not get ready"))
}

/// The configuration of a small deployment: classes and deadlines as the deployment's brief has them.
pub fn config(listen: &str, admin: &str, engines: &[(String, String)], more: &str) -> String {
    let mut text = format!(
        "listen = \"{listen}\"\nadmin_addr = \"{admin}\"\nread_class = \"lookup\"\nwrite_class = \"load\"\n{more}\n\
[[user]]\nname = \"guest\"\npassword = \"guest\"\n\
[[user]]\nname = \"till\"\npassword = \"till\"\n\
[[class]]\nname = \"lookup\"\nworth = 1.0\naim_ms = 2000.0\naim_stretch = 1.5\ndeadline_ms = 10000.0\n\
[[class]]\nname = \"report\"\nworth = 5.0\naim_ms = 2000.0\naim_stretch = 2.5\nlate_share = 0.3\ndeadline_ms = 25000.0\nthreads = 3\n\
[[class]]\nname = \"load\"\nworth = 4.0\naim_ms = 4000.0\naim_stretch = 3.0\nlate_share = 0.5\ndeadline_ms = 20000.0\nthreads = 2\nunsafe = true\n\
[engines]\nuser = \"dispatcher\"\npassword = \"change-me\"\n"
    );
    for (id, address) in engines {
        text.push_str(&format!("[[engine]]\nid = \"{id}\"\naddress = \"{address}\"\n"));
    }
    text
}
