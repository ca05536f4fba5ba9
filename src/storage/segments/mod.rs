//! Spools on a disk: segments that only grow at their end, an index of what is in them that is rebuilt at the start,
//! and a bound on all of it.
//!
//! - A spool is whole when its `End` stands behind all its pages; what was not ended when the process was killed is
//!   dropped at the next start, and so is a torn tail.
//! - A segment is removed when nothing in it lives. When more than half of all that is stored is dead, the spools of
//!   the deadest segment are written anew at the end, a bounded number of bytes at a time.
//! - An append that fails leaves no trace: the segment is cut back to what was whole, or if even that fails, written to
//!   no more.
//!
//! - A manifest names the segments that are ours: it is written before a segment begins and before one goes. What it does
//!   not name is a rest of before, and removed; what it names and is not there was lost, and told.
//!
//! All of it blocks, and none of it knows of the runtime: one thread owns it.

pub mod frame;
pub mod volume;

pub use volume::{BlockDevice, Directory};

use frame::{FrameError, HEAD, Head, Kind};
use std::collections::BTreeMap;
use std::io;

/// Sizes, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// A segment that has grown past this is followed by the next.
    pub segment: u64,
    /// All segments together.
    pub most: u64,
}

/// Why something was not stored or not read.
#[derive(Debug, thiserror::Error)]
pub enum SegmentError {
    #[error("the {0} bytes for spools are used up")]
    Quota(u64),
    #[error("the disk is full")]
    Full,
    #[error("the disk: {0}")]
    Disk(io::Error),
    #[error("spool {0} is not stored")]
    Unknown(u64),
    #[error("page {page} of spool {spool} is torn: {error}")]
    Torn {
        spool: u64,
        page: u32,
        error: FrameError,
    },
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl From<io::Error> for SegmentError {
    fn from(e: io::Error) -> Self {
        match e.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => SegmentError::Full,
            _ => SegmentError::Disk(e),
        }
    }
}

/// Where a frame lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    segment: u32,
    /// Segments are far below 4 GiB.
    at: u32,
    /// Of the frame, in bytes.
    length: u32,
}

/// A page that was found: its place, its rows and its content's bytes.
type Page = (Place, u32, u32);

/// A spool as it is found frame by frame.
struct Begun {
    begin: Place,
    pages: Vec<Page>,
}

/// One spool, as the index knows it.
#[derive(Clone, Debug, PartialEq)]
struct Stored {
    begin: Place,
    pages: Vec<Place>,
    end: Option<Place>,
}

impl Stored {
    fn places(&self) -> impl Iterator<Item = &Place> {
        std::iter::once(&self.begin)
            .chain(&self.pages)
            .chain(&self.end)
    }

    fn bytes(&self) -> u64 {
        self.places().map(|p| u64::from(p.length)).sum()
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Segment {
    length: u64,
    live: u64,
}

/// A spool that was found whole at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    pub spool: u64,
    /// What its `Begin` and its `End` hold.
    pub begin: Vec<u8>,
    pub end: Vec<u8>,
    /// Rows of each page, and the content's bytes.
    pub pages: Vec<(u32, u32)>,
    pub stored: u64,
}

/// What the start found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    pub whole: Vec<Found>,
    /// Spools that had not ended, or of which something was missing.
    pub dropped: usize,
    /// Bytes behind the last whole frame of a segment.
    pub torn: u64,
    /// Segments that the manifest names and that are not there; the newest may never have begun.
    pub missing: usize,
}

/// All spools of one folder.
pub struct Segments<V: BlockDevice> {
    volume: V,
    rules: Rules,
    spools: BTreeMap<u64, Stored>,
    segments: BTreeMap<u32, Segment>,
    /// The one that grows; none before the first frame, or after one that could not be mended.
    current: Option<u32>,
    next: u32,
}

impl<V: BlockDevice> Segments<V> {
    /// Reads what is there. What is torn or not whole is dropped; the content of pages in older segments, which
    /// were synced, is checked when it is read.
    ///
    /// # Errors
    /// The disk's.
    pub fn open(volume: V, rules: Rules) -> io::Result<(Self, Recovered)> {
        let mut s = Segments {
            volume,
            rules,
            spools: BTreeMap::new(),
            segments: BTreeMap::new(),
            current: None,
            next: 1,
        };
        let mut recovered = Recovered::default();
        let mut listed = s.volume.list()?;
        match s.volume.named()? {
            Some(named) => {
                let there: Vec<u32> = listed.iter().map(|l| l.0).collect();
                let newest = named.iter().max().copied();
                recovered.missing = named
                    .iter()
                    .filter(|n| Some(**n) != newest && !there.contains(n))
                    .count();
                for stray in there.iter().filter(|n| !named.contains(n)) {
                    s.volume.remove(*stray)?;
                }
                listed.retain(|(n, _)| named.contains(n));
                s.next = newest.map_or(1, |n| n + 1);
            }
            // The manifest comes before the first segment: these are not ours.
            None if !listed.is_empty() => {
                return Err(io::Error::other(
                    "there are segments and no manifest: the folder is not ours",
                ));
            }
            None => s.volume.name(&[])?,
        }
        let last = listed.last().map(|l| l.0);
        let (mut begun, mut found) = (BTreeMap::new(), BTreeMap::new());
        for (number, length) in listed {
            let whole = s.scan(number, length, Some(number) == last, &mut begun, &mut found)?;
            recovered.torn += length - whole;
            s.segments.insert(
                number,
                Segment {
                    length: whole,
                    live: 0,
                },
            );
            if whole < length {
                // Nothing may be written behind what is torn.
                s.volume.truncate(number, whole)?;
            }
            s.next = s.next.max(number + 1);
        }
        recovered.dropped = begun.len();
        s.keep_whole(found, &mut recovered);
        let empty: Vec<u32> = s
            .segments
            .iter()
            .filter(|(_, s)| s.live == 0)
            .map(|(n, _)| *n)
            .collect();
        for number in &empty {
            s.segments.remove(number);
        }
        s.volume
            .name(&s.segments.keys().copied().collect::<Vec<_>>())?;
        for number in empty {
            s.volume.remove(number)?;
        }
        Ok((s, recovered))
    }

    /// Takes the frames of a segment into the index; the length up to which they are whole.
    fn scan(
        &mut self,
        number: u32,
        length: u64,
        check: bool,
        begun: &mut BTreeMap<u64, Begun>,
        whole: &mut BTreeMap<u64, (Begun, Place)>,
    ) -> io::Result<u64> {
        let mut at = 0;
        while at + HEAD as u64 <= length {
            let bytes = self.volume.read(number, at, HEAD)?;
            let Ok(bytes) = <&[u8; HEAD]>::try_from(&bytes[..]) else {
                break;
            };
            let Ok(head) = Head::read(bytes) else { break };
            if at + head.length() > length {
                break;
            }
            // The newest segment may not have been synced whole: its contents are checked as well.
            if check {
                let stored = self
                    .volume
                    .read(number, at + HEAD as u64, head.stored as usize)?;
                if head.open(&stored).is_err() {
                    break;
                }
            }
            let place = Place {
                segment: number,
                at: at as u32,
                length: head.length() as u32,
            };
            match (head.kind, begun.get_mut(&head.spool)) {
                // Maybe a copy: the spool as it was counts until the copy is whole.
                (Kind::Begin, _) => drop(begun.insert(
                    head.spool,
                    Begun {
                        begin: place,
                        pages: vec![],
                    },
                )),
                (Kind::Page, Some(s)) if s.pages.len() == head.page as usize => {
                    s.pages.push((place, head.rows, head.raw));
                }
                (Kind::End, Some(s)) if s.pages.len() == head.page as usize => {
                    if let Some(found) = begun.remove(&head.spool) {
                        whole.insert(head.spool, (found, place));
                    }
                }
                _ => {}
            }
            at += head.length();
        }
        Ok(at)
    }

    fn keep_whole(&mut self, whole: BTreeMap<u64, (Begun, Place)>, recovered: &mut Recovered) {
        for (spool, (found, last)) in whole {
            let (begin, end) = (
                self.content(spool, &found.begin),
                self.content(spool, &last),
            );
            let (Ok((_, begin)), Ok((_, end))) = (begin, end) else {
                recovered.dropped += 1;
                continue;
            };
            let pages: Vec<Place> = found.pages.iter().map(|p| p.0).collect();
            let stored = Stored {
                begin: found.begin,
                pages,
                end: Some(last),
            };
            for p in stored.places() {
                if let Some(s) = self.segments.get_mut(&p.segment) {
                    s.live += u64::from(p.length);
                }
            }
            recovered.whole.push(Found {
                spool,
                begin,
                end,
                pages: found
                    .pages
                    .iter()
                    .map(|(_, rows, raw)| (*rows, *raw))
                    .collect(),
                stored: stored.bytes(),
            });
            self.spools.insert(spool, stored);
        }
    }

    /// A frame's head and its content, checked.
    fn content(&mut self, spool: u64, p: &Place) -> Result<(Head, Vec<u8>), SegmentError> {
        let frame = self
            .volume
            .read(p.segment, p.at.into(), p.length as usize)?;
        let torn = |page, error| SegmentError::Torn { spool, page, error };
        let Some((head, stored)) = frame.split_first_chunk::<HEAD>() else {
            return Err(torn(0, FrameError::Head));
        };
        let head = Head::read(head).map_err(|e| torn(0, e))?;
        if head.spool != spool {
            return Err(torn(head.page, FrameError::Head));
        }
        let content = head.open(stored).map_err(|e| torn(head.page, e))?;
        Ok((head, content))
    }

    /// A spool begins. `begin` is found again at a start.
    ///
    /// # Errors
    /// It was not stored.
    pub fn begin(&mut self, spool: u64, begin: &[u8]) -> Result<(), SegmentError> {
        let place = self.append(Kind::Begin, spool, 0, 0, begin)?;
        self.spools.insert(
            spool,
            Stored {
                begin: place,
                pages: vec![],
                end: None,
            },
        );
        Ok(())
    }

    /// The next page of a spool.
    ///
    /// # Errors
    /// It was not stored; the pages before it are.
    pub fn page(&mut self, spool: u64, rows: u32, content: &[u8]) -> Result<(), SegmentError> {
        let page = self
            .spools
            .get(&spool)
            .ok_or(SegmentError::Unknown(spool))?
            .pages
            .len() as u32;
        let place = self.append(Kind::Page, spool, page, rows, content)?;
        if let Some(s) = self.spools.get_mut(&spool) {
            s.pages.push(place);
        }
        Ok(())
    }

    /// The spool is whole.
    ///
    /// # Errors
    /// It was not stored, and is not whole.
    pub fn end(&mut self, spool: u64, end: &[u8]) -> Result<(), SegmentError> {
        let pages = self
            .spools
            .get(&spool)
            .ok_or(SegmentError::Unknown(spool))?
            .pages
            .len() as u32;
        let place = self.append(Kind::End, spool, pages, 0, end)?;
        if let Some(s) = self.spools.get_mut(&spool) {
            s.end = Some(place);
        }
        Ok(())
    }

    /// A page's content.
    ///
    /// # Errors
    /// It is not there, not to be read, or not what was written.
    pub fn read(&mut self, spool: u64, page: u32) -> Result<Vec<u8>, SegmentError> {
        let stored = self
            .spools
            .get(&spool)
            .ok_or(SegmentError::Unknown(spool))?;
        let place = *stored
            .pages
            .get(page as usize)
            .ok_or(SegmentError::Unknown(spool))?;
        let (head, content) = self.content(spool, &place)?;
        // A place in the index is never another page's.
        match head.kind == Kind::Page && head.page == page {
            true => Ok(content),
            false => Err(SegmentError::Torn {
                spool,
                page,
                error: FrameError::Head,
            }),
        }
    }

    /// Forgets a spool. Its room is free as soon as nothing else lives in its segments. Until then a start finds it
    /// again: whoever keeps account of spools has to know by their content which are too old.
    ///
    /// # Errors
    /// The disk's, in removing what is free. The spool is forgotten all the same.
    pub fn forget(&mut self, spool: u64) -> Result<(), SegmentError> {
        let Some(stored) = self.spools.remove(&spool) else {
            return Ok(());
        };
        for p in stored.places() {
            self.died(p);
        }
        self.sweep()
    }

    fn died(&mut self, p: &Place) {
        if let Some(s) = self.segments.get_mut(&p.segment) {
            s.live = s.live.saturating_sub(p.length.into());
        }
    }

    /// Removes segments in which nothing lives; the one that grows as well, if it has grown at all.
    fn sweep(&mut self) -> Result<(), SegmentError> {
        let dead: Vec<u32> = self
            .segments
            .iter()
            .filter(|(_, s)| s.live == 0 && s.length > 0)
            .map(|(n, _)| *n)
            .collect();
        if dead.is_empty() {
            return Ok(());
        }
        for number in &dead {
            if self.current == Some(*number) {
                self.current = None;
            }
            self.segments.remove(number);
        }
        self.volume
            .name(&self.segments.keys().copied().collect::<Vec<_>>())?;
        for number in dead {
            self.volume.remove(number)?;
        }
        Ok(())
    }

    /// Writes anew what lives in the deadest segment, if more than half of all that is stored is dead; at most so many
    /// bytes of content. True if there may be more to do.
    ///
    /// # Errors
    /// The disk's; nothing is lost by it.
    pub fn compact(&mut self, most: u64) -> Result<bool, SegmentError> {
        let (used, live) = (
            self.used(),
            self.segments.values().map(|s| s.live).sum::<u64>(),
        );
        if live * 2 >= used || used < self.rules.segment {
            return Ok(false);
        }
        let old = self
            .segments
            .iter()
            .filter(|(n, _)| Some(**n) != self.current);
        let Some((&number, _)) = old.min_by_key(|(_, s)| s.live) else {
            return Ok(false);
        };
        let mut moved = 0;
        let there: Vec<u64> = self
            .spools
            .iter()
            .filter(|(_, s)| s.end.is_some() && s.places().any(|p| p.segment == number))
            .map(|(id, _)| *id)
            .collect();
        for spool in there {
            let Some(stored) = self.spools.get(&spool).cloned() else {
                continue;
            };
            moved += stored.bytes();
            self.rewrite(spool, &stored)?;
            if moved >= most {
                return Ok(true);
            }
        }
        Ok(moved > 0)
    }

    /// A whole spool goes to the end, under the same number; the copy there counts from its `End` on.
    fn rewrite(&mut self, spool: u64, stored: &Stored) -> Result<(), SegmentError> {
        let mut copied: Vec<Place> = vec![];
        let result = (|| {
            for place in stored.places() {
                let (head, content) = self.content(spool, place)?;
                copied.push(self.append(head.kind, spool, head.page, head.rows, &content)?);
            }
            Ok(())
        })();
        if let Err(e) = result {
            // The spool as it was goes on counting, also at a start: half a copy counts for nothing.
            copied.iter().for_each(|p| self.died(p));
            return Err(e);
        }
        let mut copied = copied.into_iter();
        if let Some(begin) = copied.next() {
            let mut pages: Vec<Place> = copied.collect();
            let end = pages.pop();
            stored.places().for_each(|p| self.died(p));
            self.spools.insert(spool, Stored { begin, pages, end });
        }
        self.sweep()
    }

    fn append(
        &mut self,
        kind: Kind,
        spool: u64,
        page: u32,
        rows: u32,
        content: &[u8],
    ) -> Result<Place, SegmentError> {
        let (head, bytes) = frame::write(kind, spool, page, rows, content)?;
        if self.used() + bytes.len() as u64 > self.rules.most {
            return Err(SegmentError::Quota(self.rules.most));
        }
        let number = match self.current.filter(|n| {
            self.segments
                .get(n)
                .is_some_and(|s| s.length < self.rules.segment)
        }) {
            Some(number) => number,
            None => {
                if let Some(full) = self.current.take() {
                    // Synced before the next begins: only the newest is checked whole at a start.
                    self.volume.sync(full)?;
                }
                let number = self.next;
                let named: Vec<u32> = self.segments.keys().copied().chain([number]).collect();
                self.volume.name(&named)?;
                self.next += 1;
                self.segments.insert(number, Segment::default());
                self.current = Some(number);
                number
            }
        };
        let at = self.segments.get(&number).map_or(0, |s| s.length);
        if let Err(e) = self.volume.append(number, &bytes) {
            // A part of it may be there; what cannot be cut off is written to no more.
            if self.volume.truncate(number, at).is_err() {
                self.current = None;
            }
            if at == 0 {
                self.segments.remove(&number);
                self.current = None;
                let _ = self.volume.remove(number);
            }
            return Err(e.into());
        }
        if let Some(s) = self.segments.get_mut(&number) {
            s.length += bytes.len() as u64;
            s.live += bytes.len() as u64;
        }
        Ok(Place {
            segment: number,
            at: at as u32,
            length: head.length() as u32,
        })
    }

    /// What was written is on the disk when it returns.
    ///
    /// # Errors
    /// The disk's.
    pub fn sync(&mut self) -> Result<(), SegmentError> {
        match self.current {
            Some(number) => Ok(self.volume.sync(number)?),
            None => Ok(()),
        }
    }

    /// Bytes of all segments.
    pub fn used(&self) -> u64 {
        self.segments.values().map(|s| s.length).sum()
    }

    /// Spools that are stored.
    pub fn len(&self) -> usize {
        self.spools.len()
    }

    pub fn is_empty(&self) -> bool {
        self.spools.is_empty()
    }

    pub fn rules(&self) -> Rules {
        self.rules
    }

    /// Other bounds are in force; what is there stays.
    pub fn configure(&mut self, rules: Rules) {
        self.rules = rules;
    }
}

#[cfg(test)]
mod tests;
