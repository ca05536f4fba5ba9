//! The dispatcher's binary as a child process: started with a configuration file, controlled by signals and
//! by calls to the operators' address.

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

/// Time limit for a log line, a page or a response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Error of a child process.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("timed out waiting for {what:?}; log of the program: {log:?}")]
    TimedOut { what: String, log: Vec<String> },
    #[error("the call {0:?} received no valid response")]
    Unanswered(String),
}

/// Temporary directory that is removed when the handle is dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a directory below the system's directory for temporary files.
    ///
    /// # Errors
    /// The directory cannot be created.
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
    line_added: Notify,
}

/// Dispatcher process with the MySQL front. It is killed when the handle is dropped.
pub struct Program {
    child: Child,
    pub address: SocketAddr,
    pub admin: Option<SocketAddr>,
    file: PathBuf,
    log: Rc<Log>,
}

impl Program {
    /// Starts `binary --mysql FILE` with this text in the file and waits until the process listens.
    ///
    /// # Errors
    /// The process does not start, or does not listen in time.
    pub async fn start(
        binary: &Path,
        folder: &Folder,
        name: &str,
        text: &str,
    ) -> Result<Self, ProgramError> {
        Self::start_with(binary, folder, name, text, &[]).await
    }

    /// Starts it like [`Program::start`], with further environment variables.
    ///
    /// # Errors
    /// The process does not start, or does not listen in time.
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
                    log.line_added.notify_waiters();
                }
            });
        }
        let unspecified = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut program = Program {
            child,
            address: unspecified,
            admin: None,
            file,
            log,
        };
        let line = program.wait_for_log("listens on ").await?;
        program.address = address_after(&line, "listens on ").unwrap_or(unspecified);
        let admin = program
            .log
            .lines
            .borrow()
            .iter()
            .find_map(|l| address_after(l, "operators call at "));
        program.admin = admin;
        Ok(program)
    }

    /// Waits for a log line that contains this text, and returns the first one.
    ///
    /// # Errors
    /// No such line was written in time.
    pub async fn wait_for_log(&self, what: &str) -> Result<String, ProgramError> {
        let timed_out = || ProgramError::TimedOut {
            what: what.into(),
            log: self.log.lines.borrow().clone(),
        };
        let wait = async {
            loop {
                let line_added = self.log.line_added.notified();
                if let Some(line) = self.log.lines.borrow().iter().find(|l| l.contains(what)) {
                    return line.clone();
                }
                line_added.await;
            }
        };
        tokio::time::timeout(TIMEOUT, wait)
            .await
            .map_err(|_| timed_out())
    }

    /// Returns the lines that the process has written to stderr so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lines.borrow().clone()
    }

    pub fn id(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Sends a signal by its name, such as `TERM`, `HUP` or `KILL`.
    ///
    /// # Errors
    /// The command `kill` cannot be run.
    pub async fn signal(&self, name: &str) -> Result<(), ProgramError> {
        Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status()
            .await?;
        Ok(())
    }

    /// Replaces the text of its configuration file and sends SIGHUP.
    ///
    /// # Errors
    /// The file cannot be written.
    pub async fn configure(&self, text: &str) -> Result<(), ProgramError> {
        std::fs::write(&self.file, text)?;
        self.signal("HUP").await
    }

    /// Sends a request to the operators' address. Returns the status code and the body.
    ///
    /// # Errors
    /// No whole response arrives in time.
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
        let text = tokio::time::timeout(TIMEOUT, exchange)
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

    /// Requests `GET /_members` and parses the body as JSON; null if it is not JSON.
    ///
    /// # Errors
    /// No whole response arrives in time.
    pub async fn members(&self, query: &str) -> Result<serde_json::Value, ProgramError> {
        let (_, body) = self.call("GET", &format!("/_members{query}")).await?;
        Ok(serde_json::from_str(&body).unwrap_or_default())
    }

    /// Requests `GET /_members` until the page meets this condition, and returns the page. `what` names the
    /// condition in the error.
    ///
    /// # Errors
    /// The condition was not met in time.
    pub async fn wait_for_members(
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
        let timed_out = || ProgramError::TimedOut {
            what: what.into(),
            log: self.log(),
        };
        tokio::time::timeout(TIMEOUT, wait)
            .await
            .map_err(|_| timed_out())
    }

    /// Sends SIGTERM and waits up to 35 s for the exit. Returns whether the exit status reports success.
    ///
    /// # Errors
    /// The process does not exit in time.
    pub async fn terminate(mut self) -> Result<bool, ProgramError> {
        self.signal("TERM").await?;
        let ended = tokio::time::timeout(Duration::from_secs(35), self.child.wait()).await;
        Ok(ended
            .map_err(|_| ProgramError::Unanswered("SIGTERM".into()))??
            .success())
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process by SIGKILL and waits for its exit.
    ///
    /// # Errors
    /// The process cannot be killed.
    pub async fn kill(mut self) -> Result<(), ProgramError> {
        Ok(self.child.kill().await?)
    }

    /// Returns the CPU time that the process has used so far, in seconds.
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
        // The kernel counts CPU time in units of 1/100 s (USER_HZ) on all supported machines.
        (ticks(11) + ticks(12)) / 100.0
    }

    /// Returns the resident memory of the process in megabytes: now, and its maximum so far.
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

/// Parses the address that follows `what` in a log line.
fn address_after(line: &str, what: &str) -> Option<SocketAddr> {
    line.split_once(what)?.1.trim().parse().ok()
}
