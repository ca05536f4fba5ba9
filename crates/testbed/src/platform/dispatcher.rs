//! The dispatcher with the platform's frontend as a child process, optionally with a preloaded library (shim)
//! that steps its wall clock or lets system calls fail.

use crate::platform::clients::Connection;
use crate::program::{Folder, ProgramError};
use query_dispatcher::server::process_metrics;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::spawn_local;

/// Maximum time for a start and for an HTTP call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Source of the shim.
const SHIM_SOURCE: &str = include_str!("shim.c");

/// Library, preloaded into dispatchers, that adds an offset to their wall clock and fails some system calls.
pub struct Shim {
    library: PathBuf,
}

impl Shim {
    /// Compiles the library with the machine's C compiler, which linking Rust programs needs as well.
    pub fn build(folder: &Folder) -> Result<Self, ProgramError> {
        let source = folder.path().join("shim.c");
        let library = folder.path().join("libshim.so");
        std::fs::write(&source, SHIM_SOURCE)?;
        let status = std::process::Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .args([&library, &source])
            .status()?;
        match status.success() {
            true => Ok(Shim { library }),
            false => Err(ProgramError::Unanswered("cc".into())),
        }
    }

    /// Writes the initial faults to a file and returns the environment of a process that loads the shim.
    pub fn environment(
        &self,
        faults: &Path,
        initial: Faults,
    ) -> Result<[(&'static str, PathBuf); 2], ProgramError> {
        std::fs::write(faults, initial.bytes())?;
        Ok([
            ("LD_PRELOAD", self.library.clone()),
            ("SHIM_FAULTS", faults.to_path_buf()),
        ])
    }
}

/// Faults that a shim injects into one process, which maps the file that they are written to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Offset that is added to the wall clock, in milliseconds.
    pub clock_offset_ms: i64,
    /// Number of failing or short system calls per million.
    pub call_failures_per_million: u32,
}

impl Faults {
    /// Wall-clock offsets that soaks draw from, in milliseconds.
    pub const CLOCK_STEPS_MS: [i64; 5] = [-3_600_000, -5000, 0, 5000, 3_600_000];

    fn bytes(self) -> [u8; 16] {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&(self.clock_offset_ms * 1_000_000).to_le_bytes());
        bytes[8..12].copy_from_slice(&self.call_failures_per_million.to_le_bytes());
        bytes
    }

    /// Overwrites the faults of the process that maps this file.
    pub fn write(self, file: &Path) -> std::io::Result<()> {
        use std::io::{Seek, Write};
        // Written in place, because the process maps this file.
        let mut file = std::fs::OpenOptions::new().write(true).open(file)?;
        file.rewind()?;
        file.write_all(&self.bytes())
    }
}

/// A process of the dispatcher, which is killed when the handle is dropped.
pub struct Dispatcher {
    child: Child,
    pub address: SocketAddr,
    admin: SocketAddr,
    file: PathBuf,
    faults: PathBuf,
    log: Rc<RefCell<Vec<(Instant, String)>>>,
}

impl Dispatcher {
    /// Starts `binary` with this configuration and waits until it is ready for clients.
    pub async fn start(
        binary: &Path,
        folder: &Folder,
        name: &str,
        config: &str,
        shim: Option<(&Shim, Faults)>,
    ) -> Result<Self, ProgramError> {
        let faults = folder.path().join(format!("{name}.faults"));
        let environment = match shim {
            Some((shim, initial)) => shim.environment(&faults, initial)?.to_vec(),
            None => vec![],
        };
        Self::start_with(binary, folder, name, config, &environment).await
    }

    /// Starts a process like [`Dispatcher::start`] that shares its state directory with other processes.
    pub async fn start_sharing(
        binary: &Path,
        folder: &Folder,
        name: &str,
        config: &str,
        state_directory: &Path,
    ) -> Result<Self, ProgramError> {
        let environment = [("TMPDIR", state_directory.to_path_buf())];
        Self::start_with(binary, folder, name, config, &environment).await
    }

    /// Starts a process like [`Dispatcher::start`], with these further environment variables.
    async fn start_with(
        binary: &Path,
        folder: &Folder,
        name: &str,
        config: &str,
        environment: &[(&'static str, PathBuf)],
    ) -> Result<Self, ProgramError> {
        let file = folder.path().join(format!("{name}.json"));
        let faults = folder.path().join(format!("{name}.faults"));
        std::fs::write(&file, config)?;
        let mut command = Command::new(binary);
        command
            .env_clear()
            .env("PROXY_CONFIG", &file)
            .env("PROXY_ADMIN_ADDR", "127.0.0.1:0")
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let mut child = command.spawn()?;
        let log: Rc<RefCell<Vec<(Instant, String)>>> = Rc::default();
        if let Some(stderr) = child.stderr.take() {
            let log = log.clone();
            spawn_local(async move {
                let mut lines = BufReader::new(stderr).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    log.borrow_mut().push((Instant::now(), line));
                }
            });
        }
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut dispatcher = Dispatcher {
            child,
            address: unknown,
            admin: unknown,
            file,
            faults,
            log,
        };
        dispatcher.admin = dispatcher.logged_address("operators call at ").await?;
        dispatcher.address = dispatcher.logged_address(" listens on ").await?;
        dispatcher.wait_until_ready().await?;
        Ok(dispatcher)
    }

    /// Waits for a log line with this text and returns the address after it.
    async fn logged_address(&self, after: &str) -> Result<SocketAddr, ProgramError> {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            let address = self.log().iter().find_map(|(_, line)| {
                let (_, address) = line.split_once(after)?;
                address.trim().parse().ok()
            });
            if let Some(address) = address {
                return Ok(address);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Err(ProgramError::TimedOut {
            what: after.into(),
            log: self.log().into_iter().map(|(_, line)| line).collect(),
        })
    }

    async fn wait_until_ready(&self) -> Result<(), ProgramError> {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            if Connection::request_readiness(self.address)
                .await
                .unwrap_or(false)
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(ProgramError::Unanswered("readiness request".into()))
    }

    /// Returns the lines that the process has logged, with their times of arrival.
    pub fn log(&self) -> Vec<(Instant, String)> {
        self.log.borrow().clone()
    }

    /// Changes the faults that the shim injects.
    pub fn set_faults(&self, faults: Faults) -> Result<(), ProgramError> {
        Ok(faults.write(&self.faults)?)
    }

    /// Returns the process id, or `None` once the process has been reaped.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends the signal of this name: `TERM`, `HUP`, `KILL`, `STOP`, `CONT`.
    pub async fn signal(&self, name: &str) {
        send_signal(self.id(), name).await;
    }

    /// Writes another configuration to the file and sends SIGHUP.
    pub async fn reload_config(&self, config: &str) -> Result<(), ProgramError> {
        std::fs::write(&self.file, config)?;
        self.signal("HUP").await;
        Ok(())
    }

    /// Waits for the process to exit by itself, at most this long, and returns its exit status.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<std::process::ExitStatus> {
        let status = tokio::time::timeout(limit, self.child.wait()).await;
        status.ok()?.ok()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Fetches a page from the operators' address: the whole HTTP response as text.
    pub async fn fetch_page(&self, path: &str) -> Result<String, ProgramError> {
        let request_page = async {
            let mut tcp = TcpStream::connect(self.admin).await?;
            let request =
                format!("GET {path} HTTP/1.1\r\nHost: local\r\nConnection: close\r\n\r\n");
            tcp.write_all(request.as_bytes()).await?;
            let mut response = String::new();
            tcp.read_to_string(&mut response).await?;
            Ok(response)
        };
        tokio::time::timeout(TIMEOUT, request_page)
            .await
            .map_err(|_| ProgramError::Unanswered(path.into()))?
    }

    /// Returns a metric of `/_vars`; 0 if the page does not have it.
    pub async fn metric(&self, name: &str) -> Result<u64, ProgramError> {
        let page = self.fetch_page("/_vars").await?;
        let value = page
            .lines()
            .find_map(|line| line.trim().strip_prefix(name)?.strip_prefix('='));
        Ok(value.and_then(|value| value.parse().ok()).unwrap_or(0))
    }

    /// Returns the peak resident memory of the process so far, in megabytes.
    pub fn peak_memory_mb(&self) -> f64 {
        let id = self.child.id().unwrap_or(0);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let memory = process_metrics::parse_status(&status);
        memory.map_or(0.0, |memory| memory.peak_kb as f64 / 1024.0)
    }

    /// Returns the processor time that the process has used so far, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        let id = self.child.id().unwrap_or(0);
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
        // `utime` and `stime` count clock ticks: 100 per second on every machine that this runs on.
        (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / 100.0
    }
}

/// Sends the signal of this name to a process that the caller has started; does nothing without an id.
pub async fn send_signal(id: Option<u32>, name: &str) {
    let Some(id) = id else {
        return;
    };
    let _ = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(id.to_string())
        .status()
        .await;
}
