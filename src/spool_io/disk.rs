//! The one thread that owns the disk: orders go in, and what came of each comes back. The runtime never waits for a
//! file.
//!
//! Each process has a folder of its own below the operators' one, locked while it lives. Folders whose lock is free
//! are taken over at the start; those of living processes are only read.

use crate::log_line;
use crate::storage::segments::{BlockDevice, Directory, Recovered, Rules, SegmentError, Segments};
use bytes::Bytes;
use std::collections::HashMap;
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

/// Orders that wait at a time.
const WAITING: usize = 4096;
/// Bytes that are written anew between two orders, when room is won back.
const COMPACT: u64 = 1 << 20;
/// A segment's size, in bytes.
const SEGMENT: u64 = 16 << 20;
/// Folders of other processes that are looked at.
const FOLDERS: usize = 16;

/// Tells by a spool's beginning whether it is the one.
pub type Wanted = Box<dyn Fn(&[u8]) -> bool + Send>;

/// What is to be done. Pages of one spool are written in their order; after one that failed none is.
pub enum Order {
    Begin {
        spool: u64,
        begin: Vec<u8>,
    },
    Page {
        spool: u64,
        page: u32,
        rows: u32,
        bytes: Bytes,
    },
    End {
        spool: u64,
        end: Vec<u8>,
    },
    Forget {
        spool: u64,
    },
    Read {
        spool: u64,
        page: u32,
        reply: oneshot::Sender<Result<Vec<u8>, ReadError>>,
    },
    /// Is there a spool in a living process's folder whose beginning passes? It is copied under this number.
    Look {
        spool: u64,
        wanted: Wanted,
        reply: oneshot::Sender<Option<PersistedSpool>>,
    },
    Most {
        bytes: u64,
    },
}

/// A page that cannot be had.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    #[error("a page is torn on the disk")]
    Torn,
    #[error("the disk does not give it: {0}")]
    Disk(String),
}

/// What came of a write.
#[derive(Debug)]
pub struct Done {
    pub spool: u64,
    /// The page, or none for a beginning or an end.
    pub page: Option<u32>,
    /// Of the page.
    pub bytes: u64,
    pub ended: bool,
    pub took_ms: f64,
    pub result: Result<(), Failure>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A write of the same spool failed before: this one was not tried.
    Skipped,
    Full,
    Disk(String),
}

/// A whole spool that lies on the disk.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistedSpool {
    pub begin: Vec<u8>,
    pub end: Vec<u8>,
    /// Rows and bytes of each page.
    pub pages: Vec<(u32, u32)>,
    pub stored: u64,
}

/// One folder's segments, and the numbers that their spools have in this process.
struct Own {
    segments: Segments<Directory>,
    path: PathBuf,
    _lock: File,
}

/// The thread, what it tells, and the spools that were found.
pub type Started = (
    Disk,
    mpsc::UnboundedReceiver<Done>,
    Vec<(u64, PersistedSpool)>,
);

/// The way to the thread.
pub struct Disk {
    orders: mpsc::Sender<Order>,
}

impl Disk {
    /// Opens the folder, which may take a while, and starts the thread. Each spool found is told with the number that
    /// it has from now on, from `first` on.
    ///
    /// # Errors
    /// The folder cannot be used.
    pub fn start(dir: &Path, most: u64, first: u64) -> io::Result<Started> {
        let rules = Rules {
            segment: SEGMENT.min(most / 4).max(64 << 10),
            most,
        };
        std::fs::create_dir_all(dir)?;
        let mut owned: Vec<Own> = vec![];
        let mut found = vec![];
        let mut places = HashMap::new();
        let (mut next, mut local) = (first, 1);
        for path in folders(dir)? {
            let Some(lock) = lock(&path)? else { continue };
            // A folder that cannot be read whole (a later version's, say) is left alone, and told of.
            let (segments, recovered) = match Segments::open(Directory::new(&path)?, rules) {
                Ok(opened) => opened,
                Err(e) => {
                    log_line!("spools: {}: {e}; it is left alone", path.display());
                    continue;
                }
            };
            let Recovered {
                dropped,
                torn,
                missing,
                ..
            } = recovered;
            if dropped + missing > 0 || torn > 0 {
                log_line!(
                    "spools: {}: {dropped} results were not whole, {torn} bytes torn, {missing} segments missing",
                    path.display()
                );
            }
            for kept in keeps(recovered) {
                if owned.is_empty() {
                    local = local.max(kept.0 + 1);
                }
                places.insert(next, (owned.len(), kept.0));
                found.push((next, kept.1));
                next += 1;
            }
            // The first goes on as ours; of the others only those in which something lies stay.
            if owned.is_empty() || !segments.is_empty() {
                owned.push(Own {
                    segments,
                    path,
                    _lock: lock,
                });
            } else {
                let _ = std::fs::remove_dir_all(path);
            }
        }
        if owned.is_empty() {
            let path = dir.join(format!("own-{}-{}", std::process::id(), unique()));
            std::fs::create_dir_all(&path)?;
            let lock = lock(&path)?.ok_or_else(|| io::Error::other("a new folder is locked"))?;
            let (segments, _) = Segments::open(Directory::new(&path)?, rules)?;
            owned.push(Own {
                segments,
                path,
                _lock: lock,
            });
        }
        let (orders, inbox) = mpsc::channel(WAITING);
        let (tell, done) = mpsc::unbounded_channel();
        let worker = Worker {
            dir: dir.to_path_buf(),
            owned,
            places,
            local,
            broken: HashMap::new(),
            tell,
        };
        std::thread::Builder::new()
            .name("spool-disk".into())
            .spawn(move || worker.run(inbox))?;
        Ok((Disk { orders }, done, found))
    }

    /// False if too many orders wait already.
    pub fn order(&self, order: Order) -> bool {
        self.orders.try_send(order).is_ok()
    }

    /// Waits until there is room for it.
    pub async fn order_in_turn(&self, order: Order) -> bool {
        self.orders.send(order).await.is_ok()
    }
}

/// A number that no other start of this process has.
fn unique() -> u128 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_nanos())
}

fn folders(dir: &Path) -> io::Result<Vec<PathBuf>> {
    let mut all = vec![];
    for entry in std::fs::read_dir(dir)? {
        let entry = entry?;
        if entry
            .file_name()
            .to_str()
            .is_some_and(|n| n.starts_with("own-"))
            && entry.path().is_dir()
        {
            all.push(entry.path());
        }
    }
    all.sort();
    all.truncate(FOLDERS);
    Ok(all)
}

/// The folder's lock, if no living process has it.
fn lock(path: &Path) -> io::Result<Option<File>> {
    let file = File::create(path.join("lock"))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

fn keeps(recovered: Recovered) -> impl Iterator<Item = (u64, PersistedSpool)> {
    recovered.whole.into_iter().map(|f| {
        (
            f.spool,
            PersistedSpool {
                begin: f.begin,
                end: f.end,
                pages: f.pages,
                stored: f.stored,
            },
        )
    })
}

/// A living process's segments are read and never touched.
struct Looking(Directory);

impl BlockDevice for Looking {
    fn append(&mut self, _: u32, _: &[u8]) -> io::Result<()> {
        Err(io::ErrorKind::ReadOnlyFilesystem.into())
    }
    fn read(&mut self, segment: u32, at: u64, length: usize) -> io::Result<Vec<u8>> {
        self.0.read(segment, at, length)
    }
    fn sync(&mut self, _: u32) -> io::Result<()> {
        Ok(())
    }
    fn truncate(&mut self, _: u32, _: u64) -> io::Result<()> {
        Ok(())
    }
    fn remove(&mut self, _: u32) -> io::Result<()> {
        Ok(())
    }
    fn list(&mut self) -> io::Result<Vec<(u32, u64)>> {
        self.0.list()
    }
    fn name(&mut self, _: &[u32]) -> io::Result<()> {
        Ok(())
    }
    fn named(&mut self) -> io::Result<Option<Vec<u32>>> {
        self.0.named()
    }
}

struct Worker {
    dir: PathBuf,
    /// The first grows; the others are of processes that ended, and go when nothing lies in them.
    owned: Vec<Own>,
    /// Where a spool lies, and its number there.
    places: HashMap<u64, (usize, u64)>,
    /// The next number in our own folder: above all that earlier processes gave there.
    local: u64,
    /// Spools of which a write failed: no later page of theirs is written before the whole begins anew. The value is
    /// the page that is wanted next.
    broken: HashMap<u64, u32>,
    tell: mpsc::UnboundedSender<Done>,
}

impl Worker {
    fn run(mut self, mut inbox: mpsc::Receiver<Order>) {
        while let Some(order) = inbox.blocking_recv() {
            self.carry_out(order);
            // Room is won back when nothing waits.
            while inbox.is_empty()
                && self.owned[0]
                    .segments
                    .compact(COMPACT)
                    .is_ok_and(|more| more)
            {}
        }
    }

    fn carry_out(&mut self, order: Order) {
        let began = Instant::now();
        match order {
            Order::Begin { spool, begin } => {
                let local = self.local;
                self.local += 1;
                self.broken.remove(&spool);
                let result = self.owned[0].segments.begin(local, &begin);
                if result.is_ok() {
                    self.places.insert(spool, (0, local));
                }
                self.done(spool, None, false, began, result);
            }
            Order::Page {
                spool,
                page,
                rows,
                bytes,
            } => {
                let size = bytes.len() as u64;
                if self
                    .broken
                    .get(&spool)
                    .is_some_and(|wanted| *wanted != page)
                {
                    return self.skipped(spool, Some((page, size)), false, began);
                }
                let local = match self.places.get(&spool) {
                    Some((0, local)) => *local,
                    _ => return self.skipped(spool, Some((page, size)), false, began),
                };
                let segments = &mut self.owned[0].segments;
                let mut result = segments.page(local, rows, &bytes);
                // What is dead still takes room until it is won back: now is the time.
                while matches!(result, Err(SegmentError::Quota(_)))
                    && segments.compact(COMPACT).unwrap_or(false)
                {
                    result = segments.page(local, rows, &bytes);
                }
                match &result {
                    Ok(()) => drop(self.broken.remove(&spool)),
                    Err(_) => drop(self.broken.insert(spool, page)),
                }
                self.done(spool, Some((page, size)), false, began, result);
            }
            Order::End { spool, end } => {
                if self.broken.contains_key(&spool) {
                    return self.skipped(spool, None, true, began);
                }
                let result = match self.places.get(&spool) {
                    Some((0, local)) => self.owned[0].segments.end(*local, &end),
                    _ => return self.skipped(spool, None, true, began),
                };
                self.done(spool, None, true, began, result);
            }
            Order::Forget { spool } => {
                self.broken.remove(&spool);
                if let Some((folder, local)) = self.places.remove(&spool) {
                    let _ = self.owned[folder].segments.forget(local);
                    // A folder of a process that ended goes with its last spool; its place in the list stays, since
                    // others are counted by it.
                    let own = &self.owned[folder];
                    if folder > 0 && own.segments.is_empty() {
                        let _ = std::fs::remove_dir_all(&own.path);
                    }
                }
            }
            Order::Read { spool, page, reply } => {
                let read = match self.places.get(&spool) {
                    Some((folder, local)) => self.owned[*folder].segments.read(*local, page),
                    None => Err(SegmentError::Unknown(spool)),
                };
                let read = read.map_err(|e| match e {
                    SegmentError::Torn { .. } => ReadError::Torn,
                    other => ReadError::Disk(other.to_string()),
                });
                let _ = reply.send(read);
            }
            Order::Look {
                spool,
                wanted,
                reply,
            } => {
                let _ = reply.send(self.look(spool, &*wanted));
            }
            Order::Most { bytes } => {
                for own in &mut self.owned {
                    let rules = own.segments.rules();
                    own.segments.configure(Rules {
                        most: bytes,
                        ..rules
                    });
                }
            }
        }
    }

    /// Copies a whole spool out of a living process's folder.
    fn look(&mut self, spool: u64, wanted: &dyn Fn(&[u8]) -> bool) -> Option<PersistedSpool> {
        let ours: Vec<PathBuf> = self.owned.iter().map(|o| o.path.clone()).collect();
        for path in folders(&self.dir)
            .ok()?
            .into_iter()
            .filter(|p| !ours.contains(p))
        {
            let Ok(folder) = Directory::new(&path) else {
                continue;
            };
            let rules = Rules {
                segment: SEGMENT,
                most: u64::MAX,
            };
            let Ok((mut there, recovered)) = Segments::open(Looking(folder), rules) else {
                continue;
            };
            let Some((number, kept)) = keeps(recovered).find(|(_, k)| wanted(&k.begin)) else {
                continue;
            };
            let local = self.local;
            self.local += 1;
            let own = &mut self.owned[0].segments;
            let copied = (|| {
                own.begin(local, &kept.begin)?;
                for (page, (rows, _)) in kept.pages.iter().enumerate() {
                    let bytes = there.read(number, page as u32)?;
                    own.page(local, *rows, &bytes)?;
                }
                own.end(local, &kept.end)
            })();
            if copied.is_ok() {
                self.places.insert(spool, (0, local));
                return Some(kept);
            }
            let _ = own.forget(local);
        }
        None
    }

    fn done(
        &self,
        spool: u64,
        page: Option<(u32, u64)>,
        ended: bool,
        began: Instant,
        result: Result<(), SegmentError>,
    ) {
        let result = result.map_err(|e| match e {
            SegmentError::Full | SegmentError::Quota(_) => Failure::Full,
            other => Failure::Disk(other.to_string()),
        });
        let took_ms = began.elapsed().as_secs_f64() * 1000.0;
        let (page, bytes) = (page.map(|p| p.0), page.map_or(0, |p| p.1));
        let _ = self.tell.send(Done {
            spool,
            page,
            bytes,
            ended,
            took_ms,
            result,
        });
    }

    fn skipped(&self, spool: u64, page: Option<(u32, u64)>, ended: bool, began: Instant) {
        let took_ms = began.elapsed().as_secs_f64() * 1000.0;
        let (page, bytes) = (page.map(|p| p.0), page.map_or(0, |p| p.1));
        let _ = self.tell.send(Done {
            spool,
            page,
            bytes,
            ended,
            took_ms,
            result: Err(Failure::Skipped),
        });
    }
}
