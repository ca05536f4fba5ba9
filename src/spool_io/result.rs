//! A spooled result: its pages in memory, and its persisted representation.

use super::disk::PersistedSpool;
use crate::decision::model::Millis;
use crate::spool::AdmissionRequest;
use bytes::{BufMut, Bytes};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Owner of a result, and the statement that the result answers.
#[derive(Clone, Debug, PartialEq)]
pub struct ResultOwner {
    /// User who sent the statement.
    pub user: String,
    /// Beginning of the statement, by which the owner recognises the result.
    pub statement: String,
    /// Whether the rows are encoded in the binary protocol.
    pub binary: bool,
}

/// A spooled result.
pub struct SpooledResult {
    /// Owner of the result.
    pub owner: ResultOwner,
    /// Request that the result answers.
    pub request: AdmissionRequest,
    /// Packets before the rows: the column count, the column definitions and the packet that ends them.
    pub header: Bytes,
    /// Last packet. `None` while the result is incomplete.
    pub trailer: Option<Bytes>,
    /// Number of rows so far.
    pub rows: u64,
    /// Size of all pages so far, in bytes.
    pub bytes: u64,
    /// Time when the spool was opened.
    pub created_at: Millis,
    /// Number of leading pages that are on disk and no longer in memory.
    pub(super) pages_on_disk: usize,
    /// Pages in memory, which follow those on disk.
    pub(super) buffered_pages: VecDeque<BufferedPage>,
    /// Whether the begin frame has been sent to the disk.
    pub(super) begin_sent: bool,
    /// Whether the end frame has been sent to the disk.
    pub(super) end_sent: bool,
}

/// A page in memory.
pub(super) struct BufferedPage {
    pub(super) rows: u32,
    pub(super) bytes: Bytes,
    pub(super) state: BufferedPageState,
}

/// Whether a page in memory is also being written to the disk.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum BufferedPageState {
    InMemory,
    Writing,
}

/// Location of a page.
pub(super) enum PageSource {
    /// On disk.
    Disk,
    /// In memory.
    Memory(Bytes),
    /// The result has no such page.
    End,
}

impl SpooledResult {
    pub(super) fn new(
        owner: ResultOwner,
        request: AdmissionRequest,
        header: Bytes,
        now: Millis,
    ) -> Self {
        SpooledResult {
            owner,
            request,
            header,
            trailer: None,
            rows: 0,
            bytes: 0,
            created_at: now,
            pages_on_disk: 0,
            buffered_pages: VecDeque::new(),
            begin_sent: false,
            end_sent: false,
        }
    }

    /// Returns the number of pages so far.
    pub fn page_count(&self) -> usize {
        self.pages_on_disk + self.buffered_pages.len()
    }

    pub(super) fn add_page(&mut self, rows: u32, bytes: Bytes) {
        self.rows += u64::from(rows);
        self.bytes += bytes.len() as u64;
        self.buffered_pages.push_back(BufferedPage {
            rows,
            bytes,
            state: BufferedPageState::InMemory,
        });
    }

    pub(super) fn page_source(&self, page: usize) -> PageSource {
        let Some(position) = page.checked_sub(self.pages_on_disk) else {
            return PageSource::Disk;
        };
        match self.buffered_pages.get(position) {
            Some(buffered) => PageSource::Memory(buffered.bytes.clone()),
            None => PageSource::End,
        }
    }

    /// Returns whether the result is complete and its end frame has not been sent to the disk.
    pub(super) fn needs_persisting(&self) -> bool {
        self.trailer.is_some() && !self.end_sent
    }
}

/// Content of a begin frame: JSON, followed by the packets of the header.
#[derive(Serialize, Deserialize)]
pub(super) struct PersistedBegin {
    pub(super) user: String,
    pub(super) tenant: Option<String>,
    pub(super) class: String,
    #[serde(rename = "load")]
    pub(super) protected: bool,
    pub(super) handle: String,
    pub(super) binary: bool,
    pub(super) statement: String,
    #[serde(rename = "created")]
    pub(super) created_at: Millis,
}

/// Content of an end frame: JSON, followed by the last packet.
#[derive(Serialize, Deserialize)]
pub(super) struct PersistedEnd {
    pub(super) rows: u64,
    pub(super) bytes: u64,
    #[serde(rename = "whole")]
    pub(super) completed_at: Millis,
}

/// Size of the prefix that states the length of the JSON text, in bytes.
const JSON_LENGTH_BYTES: usize = 4;

/// Encodes a JSON value and a payload: the length of the JSON text as a big-endian `u32`, the text, and the
/// payload.
pub(super) fn encode_with_json(value: &impl Serialize, payload: &[u8]) -> Vec<u8> {
    let json = serde_json::to_vec(value).unwrap_or_default();
    let mut bytes = Vec::with_capacity(JSON_LENGTH_BYTES + json.len() + payload.len());
    bytes.put_u32(json.len() as u32);
    bytes.put_slice(&json);
    bytes.put_slice(payload);
    bytes
}

/// Decodes the output of [`encode_with_json`].
pub(super) fn decode_with_json<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<(T, Bytes)> {
    let (length, remaining) = bytes.split_first_chunk::<JSON_LENGTH_BYTES>()?;
    let (json, payload) = remaining.split_at_checked(u32::from_be_bytes(*length) as usize)?;
    let value = serde_json::from_slice(json).ok()?;
    Some((value, Bytes::copy_from_slice(payload)))
}

/// A result that was found on disk.
pub(super) struct RestoredResult {
    pub(super) result: SpooledResult,
    pub(super) handle: String,
    pub(super) completed_at: Millis,
}

impl RestoredResult {
    /// Decodes a persisted spool. Tenant and class are looked up by name: an unknown tenant becomes none, and
    /// an unknown class gets an index that no class has.
    pub(super) fn decode(
        persisted: &PersistedSpool,
        classes: &[String],
        tenants: &[String],
    ) -> Option<Self> {
        let (begin, header) = decode_with_json::<PersistedBegin>(&persisted.begin)?;
        let (end, trailer) = decode_with_json::<PersistedEnd>(&persisted.end)?;
        let tenant = begin.tenant.and_then(|name| index_of(tenants, &name));
        let request = AdmissionRequest {
            tenant,
            class: index_of(classes, &begin.class).unwrap_or(usize::MAX),
            protected: begin.protected,
        };
        let owner = ResultOwner {
            user: begin.user,
            statement: begin.statement,
            binary: begin.binary,
        };
        let result = SpooledResult {
            owner,
            request,
            header,
            trailer: Some(trailer),
            rows: end.rows,
            bytes: end.bytes,
            created_at: begin.created_at,
            pages_on_disk: persisted.pages.len(),
            buffered_pages: VecDeque::new(),
            begin_sent: true,
            end_sent: true,
        };
        Some(RestoredResult {
            result,
            handle: begin.handle,
            completed_at: end.completed_at,
        })
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
