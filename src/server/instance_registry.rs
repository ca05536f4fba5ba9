//! What the processes of one dispatcher share, in a folder that both see while one takes over from the other:
//! the engines that operators took out by hand, a file for each, so that no process overwrites another's.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// Engines out by hand at a time, and the longest file name that most file systems take.
const MOST: usize = 1024;
const NAME: usize = 255;

/// Without a folder nothing outlives the process.
pub struct InstanceRegistry(Option<Folder>);

struct Folder {
    path: PathBuf,
    /// Locked for as long as this process lives: so others know that it does.
    _here: File,
    name: OsString,
}

impl InstanceRegistry {
    pub fn open(folder: Option<&Path>) -> io::Result<Self> {
        let Some(path) = folder.map(|f| f.join("hitchwinch")) else {
            return Ok(InstanceRegistry(None));
        };
        std::fs::create_dir_all(&path)?;
        // Locked before it has the name that others look for: one without a lock is of a process that ended.
        let (id, draft) = (
            std::process::id(),
            path.join(format!("new-{}", std::process::id())),
        );
        let here = File::create(&draft)?;
        here.try_lock()?;
        let name = OsString::from(format!("here-{id}"));
        std::fs::rename(draft, path.join(&name))?;
        Ok(InstanceRegistry(Some(Folder {
            path,
            _here: here,
            name,
        })))
    }

    /// Processes of this dispatcher that live, this one included.
    pub fn processes(&self) -> io::Result<u32> {
        let Some(folder) = &self.0 else { return Ok(1) };
        let mut living = 1;
        for entry in std::fs::read_dir(&folder.path)? {
            let name = entry?.file_name();
            if name == folder.name || !name.to_string_lossy().starts_with("here-") {
                continue;
            }
            let path = folder.path.join(name);
            match File::open(&path).map(|f| f.try_lock_shared()) {
                Ok(Err(TryLockError::WouldBlock)) => living += 1,
                // It has ended, and is not to be looked at again.
                Ok(_) => drop(std::fs::remove_file(path)),
                Err(_) => {}
            }
        }
        Ok(living)
    }

    /// Kept before the operator gets a yes; to keep it twice changes nothing.
    pub fn drain_engine(&self, engine: &str) -> io::Result<()> {
        let Some(path) = self.path(engine)? else {
            return Ok(());
        };
        if !path.exists() && self.drained_engines()?.is_some_and(|out| out.len() >= MOST) {
            return Err(io::Error::other("too many engines are out by hand"));
        }
        std::fs::write(path, [])
    }

    pub fn undrain(&self, engine: &str) -> io::Result<()> {
        let Some(path) = self.path(engine)? else {
            return Ok(());
        };
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// All that are out; none if nothing is shared.
    pub fn drained_engines(&self) -> io::Result<Option<BTreeSet<String>>> {
        let Some(Folder { path: folder, .. }) = &self.0 else {
            return Ok(None);
        };
        let mut out = BTreeSet::new();
        for entry in std::fs::read_dir(folder)? {
            let name = entry?.file_name();
            out.extend(
                name.to_str()
                    .and_then(|n| n.strip_prefix("out-"))
                    .and_then(decode_engine_id),
            );
        }
        Ok(Some(out))
    }

    fn path(&self, engine: &str) -> io::Result<Option<PathBuf>> {
        let Some(Folder { path: folder, .. }) = &self.0 else {
            return Ok(None);
        };
        let name = format!("out-{}", encode_engine_id(engine));
        match name.len() {
            0..=NAME => Ok(Some(folder.join(name))),
            _ => Err(io::Error::other("the engine's name is too long to be kept")),
        }
    }
}

/// An engine's id as a part of a path: what could be read as anything else is written `%XX`.
pub fn encode_engine_id(id: &str) -> String {
    let plain = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    id.bytes()
        .map(|b| {
            if plain(&b) {
                char::from(b).to_string()
            } else {
                format!("%{b:02X}")
            }
        })
        .collect()
}

/// The id behind it, if it is one.
pub fn decode_engine_id(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&b, after)) = rest.split_first() {
        let hex = after.get(..2).filter(|_| b == b'%');
        match hex.map(|h| {
            std::str::from_utf8(h)
                .ok()
                .and_then(|h| u8::from_str_radix(h, 16).ok())
        }) {
            Some(byte) => {
                bytes.push(byte?);
                rest = &after[2..];
            }
            None if b == b'%' => return None,
            None => {
                bytes.push(b);
                rest = after;
            }
        }
    }
    String::from_utf8(bytes).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_out_by_hand_outlives_its_process_whatever_its_name() {
        let folder = std::env::temp_dir().join(format!("hitchwinch-shared-{}", std::process::id()));
        let (a, b) = (
            InstanceRegistry::open(Some(&folder)).unwrap(),
            InstanceRegistry::open(Some(&folder)).unwrap(),
        );
        let odd = "host/../x:80 %é";
        for (one, other) in [(&a, &b), (&b, &a)] {
            one.drain_engine(odd).unwrap();
            one.drain_engine("e1").unwrap();
            other.drain_engine("e1").unwrap();
            assert_eq!(
                other.drained_engines().unwrap().unwrap(),
                [odd, "e1"].map(str::to_string).into()
            );
            other.undrain("e1").unwrap();
            one.undrain("e1").unwrap();
            one.undrain(odd).unwrap();
            assert!(other.drained_engines().unwrap().unwrap().is_empty());
        }
        assert!(
            a.drain_engine(&"x".repeat(300)).is_err(),
            "it could not be kept, so there is no yes"
        );
        std::fs::remove_dir_all(folder).unwrap();
        assert_eq!(decode_engine_id("%4"), None);
    }
}
