//! The dispatcher's program itself, as a child: started with a file, called by operators, told by signals.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// How long anything is waited for.
const WAIT: Duration = Duration::from_secs(10);

/// What went wrong with a child.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("it never said {what:?}; its log: {log:?}")]
    Silent { what: String, log: Vec<String> },
    #[error("the call {0} was not answered")]
    Unanswered(String),
}

/// A folder that goes with its handle.
pub struct Folder(PathBuf);

impl Folder {
    /// A new one under the machine's folder for such.
    ///
    /// # Errors
    /// It cannot be made.
    pub fn new(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("hitchwinch-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[derive(Default)]
struct Log {
    lines: RefCell<Vec<String>>,
    more: Notify,
}

/// A dispatcher on the MySQL front. It is killed when the handle goes.
pub struct Program {
    child: Child,
    pub address: SocketAddr,
    pub admin: Option<SocketAddr>,
    file: PathBuf,
    log: Rc<Log>,
}

impl Program {
    /// Starts `binary --mysql FILE` with this text in the file and waits until it listens.
    ///
    /// # Errors
    /// It does not start, or ends before it listens.
    pub async fn start(
        binary: &Path,
        folder: &Folder,
        name: &str,
        text: &str,
    ) -> Result<Self, ProgramError> {
        Self::start_with(binary, folder, name, text, &[]).await
    }

    /// The same with these variables in its environment.
    ///
    /// # Errors
    /// It does not start, or ends before it listens.
    pub async fn start_with(
        binary: &Path,
        folder: &Folder,
        name: &str,
        text: &str,
        environment: &[(&str, PathBuf)],
    ) -> Result<Self, ProgramError> {
        let file = folder.path().join(format!("{name}.toml"));
        std::fs::write(&file, text)?;
        let mut child = Command::new(binary)
            .arg("--mysql")
            .arg(&file)
            .env_remove("PROXY_ADMIN_ADDR")
            .env_remove("PROXY_INHERITED_FD")
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let log = Rc::new(Log::default());
        if let Some(stderr) = child.stderr.take() {
            let log = log.clone();
            spawn_local(async move {
                let mut lines = BufReader::new(stderr).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    log.lines.borrow_mut().push(line);
                    log.more.notify_waiters();
                }
            });
        }
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut program = Program {
            child,
            address: nowhere,
            admin: None,
            file,
            log,
        };
        let line = program.says("listens on ").await?;
        program.address = after(&line, "listens on ").unwrap_or(nowhere);
        let told = program
            .log
            .lines
            .borrow()
            .iter()
            .find_map(|l| after(l, "operators call at "));
        program.admin = told;
        Ok(program)
    }

    /// The first line of its log that holds this.
    ///
    /// # Errors
    /// None came in time.
    pub async fn says(&self, what: &str) -> Result<String, ProgramError> {
        let silent = || ProgramError::Silent {
            what: what.into(),
            log: self.log.lines.borrow().clone(),
        };
        let wait = async {
            loop {
                let more = self.log.more.notified();
                if let Some(line) = self.log.lines.borrow().iter().find(|l| l.contains(what)) {
                    return line.clone();
                }
                more.await;
            }
        };
        tokio::time::timeout(WAIT, wait).await.map_err(|_| silent())
    }

    pub fn log(&self) -> Vec<String> {
        self.log.lines.borrow().clone()
    }

    pub fn id(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Sends a signal by its name: `TERM`, `HUP`, `KILL`.
    ///
    /// # Errors
    /// The machine's `kill` is not to be had.
    pub async fn signal(&self, name: &str) -> Result<(), ProgramError> {
        Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status()
            .await?;
        Ok(())
    }

    /// Another text is in its file, and it is told.
    ///
    /// # Errors
    /// The file cannot be written.
    pub async fn configure(&self, text: &str) -> Result<(), ProgramError> {
        std::fs::write(&self.file, text)?;
        self.signal("HUP").await
    }

    /// An operator's call: its status and its body.
    ///
    /// # Errors
    /// No whole answer.
    pub async fn call(&self, method: &str, path: &str) -> Result<(u16, String), ProgramError> {
        let unanswered = || ProgramError::Unanswered(format!("{method} {path}"));
        let admin = self.admin.ok_or_else(unanswered)?;
        let exchange = async {
            let mut tcp = TcpStream::connect(admin).await?;
            tcp.write_all(format!("{method} {path} HTTP/1.1\r\nHost: lab\r\n\r\n").as_bytes())
                .await?;
            let mut text = String::new();
            tcp.read_to_string(&mut text).await?;
            Ok::<_, io::Error>(text)
        };
        let text = tokio::time::timeout(WAIT, exchange)
            .await
            .map_err(|_| unanswered())??;
        let (head, body) = text.split_once("\r\n\r\n").ok_or_else(unanswered)?;
        let code = head
            .split(' ')
            .nth(1)
            .and_then(|c| c.parse().ok())
            .ok_or_else(unanswered)?;
        Ok((code, body.to_string()))
    }

    /// `GET /_members`, as JSON; null before there is one.
    ///
    /// # Errors
    /// No whole answer.
    pub async fn members(&self, query: &str) -> Result<serde_json::Value, ProgramError> {
        let (_, body) = self.call("GET", &format!("/_members{query}")).await?;
        Ok(serde_json::from_str(&body).unwrap_or_default())
    }

    /// Waits until this holds of `GET /_members`.
    ///
    /// # Errors
    /// It did not come to hold in time.
    pub async fn until(
        &self,
        what: &str,
        holds: impl Fn(&serde_json::Value) -> bool,
    ) -> Result<serde_json::Value, ProgramError> {
        let wait = async {
            loop {
                if let Ok(page) = self.members("").await
                    && holds(&page)
                {
                    return page;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let silent = || ProgramError::Silent {
            what: what.into(),
            log: self.log(),
        };
        tokio::time::timeout(WAIT, wait).await.map_err(|_| silent())
    }

    /// Sends SIGTERM and waits: true if it ended well.
    ///
    /// # Errors
    /// It did not end in time.
    pub async fn ends(mut self) -> Result<bool, ProgramError> {
        self.signal("TERM").await?;
        let ended = tokio::time::timeout(Duration::from_secs(35), self.child.wait()).await;
        Ok(ended
            .map_err(|_| ProgramError::Unanswered("SIGTERM".into()))??
            .success())
    }

    /// Its exit status, if it has ended by itself.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Ends it without a word.
    ///
    /// # Errors
    /// The system's.
    pub async fn kill(mut self) -> Result<(), ProgramError> {
        Ok(self.child.kill().await?)
    }

    /// Seconds of processor time that it has taken so far.
    pub fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let fields: Vec<&str> = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        let ticks = |n: usize| {
            fields
                .get(n)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        // The kernel's clock ticks a hundred times a second wherever this runs.
        (ticks(11) + ticks(12)) / 100.0
    }

    /// Megabytes of memory: now, and the most so far.
    pub fn memory(&self) -> (f64, f64) {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = |name: &str| {
            let line = status
                .lines()
                .find(|l| l.starts_with(name))
                .unwrap_or_default();
            line.split_whitespace()
                .nth(1)
                .and_then(|n| n.parse::<f64>().ok())
                .unwrap_or(0.0)
                / 1024.0
        };
        (line("VmRSS:"), line("VmHWM:"))
    }
}

fn after(line: &str, what: &str) -> Option<SocketAddr> {
    line.split_once(what)?.1.trim().parse().ok()
}
