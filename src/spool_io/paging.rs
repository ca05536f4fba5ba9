//! Adding pages to spooled results, and writing them to the disk.

use super::disk::{DiskCommand, DiskHandle};
use super::result::{
    BufferedPageState, PersistedBegin, PersistedEnd, ResultOwner, SpooledResult, encode_with_json,
};
use super::spools::Spools;
use crate::clock::process_clock_millis;
use crate::spool::{AdmissionRequest, Placement, SpoolCommand, SpoolId, SpoolRejection};
use bytes::Bytes;

/// Maximum number of bytes in pending disk writes. Above it, engines are read no faster than the disk writes.
const MAX_PENDING_WRITE_BYTES: u64 = 4 << 20;

/// The disk command queue is full.
struct QueueFull;

impl Spools {
    /// Opens a spool and issues its handle.
    pub(super) fn begin(
        &self,
        request: AdmissionRequest,
        owner: ResultOwner,
        header: Bytes,
    ) -> Result<SpoolId, SpoolRejection> {
        let now = process_clock_millis();
        let opened = self.index.borrow_mut().open(now, request)?;
        let id = opened.id;
        let mut random = [0; 16];
        if getrandom::fill(&mut random).is_err() {
            // Without random numbers the handle could be guessed.
            self.index.borrow_mut().fail(id);
            return Err(SpoolRejection::TooManySpools);
        }
        let random = u128::from_be_bytes(random);
        self.handles.borrow_mut().issue(id, &owner.user, random);
        let result = SpooledResult::new(owner, request, header, now);
        self.results.borrow_mut().insert(id, result);
        self.execute(opened.commands);
        Ok(id)
    }

    /// Adds a page to an incomplete result. Waits while more than [`MAX_PENDING_WRITE_BYTES`] are in pending
    /// disk writes.
    pub(super) async fn add_page(
        &self,
        id: SpoolId,
        rows: u32,
        bytes: Bytes,
    ) -> Result<(), SpoolRejection> {
        let length = bytes.len() as u64;
        let outcome = self
            .index
            .borrow_mut()
            .add_page(process_clock_millis(), id, length);
        let placement = match outcome.placement {
            Ok(placement) => placement,
            Err(rejection) => {
                self.execute(outcome.commands);
                return Err(rejection);
            }
        };
        self.received_bytes.set(self.received_bytes.get() + length);
        if let Some(result) = self.results.borrow_mut().get_mut(&id) {
            result.add_page(rows, bytes);
        }
        self.execute(outcome.commands);
        if placement == Placement::Disk {
            self.write_to_disk(id);
        }
        while self.pending_write_bytes.get() > MAX_PENDING_WRITE_BYTES {
            self.write_completed.notified().await;
        }
        Ok(())
    }

    /// Completes a result, and persists it if the disk has capacity, so that it outlives the process.
    pub(super) fn complete(&self, id: SpoolId, trailer: Bytes) {
        let now = process_clock_millis();
        if let Some(result) = self.results.borrow_mut().get_mut(&id) {
            result.trailer = Some(trailer);
        }
        self.index.borrow_mut().complete(now, id);
        let commands = self.index.borrow_mut().persist(now, id);
        self.execute(commands);
        self.write_to_disk(id);
    }

    /// Removes a result whose attempt ended without completing it.
    pub(super) fn abandon(&self, id: SpoolId) {
        self.index.borrow_mut().fail(id);
        self.remove_result(id);
    }

    pub(super) fn execute(&self, commands: Vec<SpoolCommand>) {
        for command in commands {
            match command {
                SpoolCommand::Evict(id) => self.remove_result(id),
                SpoolCommand::Spill(id) => self.write_to_disk(id),
            }
        }
    }

    /// Drops the pages of a result in memory and on disk, and expires its handle.
    pub(super) fn remove_result(&self, id: SpoolId) {
        self.drop_pages(id);
        self.handles.borrow_mut().expire(id);
    }

    fn drop_pages(&self, id: SpoolId) {
        let Some(result) = self.results.borrow_mut().remove(&id) else {
            return;
        };
        let Some(disk) = &self.disk else { return };
        let may_be_on_disk = result.begin_sent || result.end_sent;
        if may_be_on_disk && !disk.try_send(DiskCommand::Remove { spool: id }) {
            self.unsent_removals.borrow_mut().push(id);
        }
    }

    /// Sends the unsent parts of a spilled result to the disk, in order.
    pub(super) fn write_to_disk(&self, id: SpoolId) {
        let Some(disk) = &self.disk else { return };
        if !self.index.borrow().is_spilled(id) {
            return;
        }
        let mut results = self.results.borrow_mut();
        let Some(result) = results.get_mut(&id) else {
            return;
        };
        if self.send_unsent(disk, id, result).is_err() {
            self.retry_writes.set(true);
        }
    }

    fn send_unsent(
        &self,
        disk: &DiskHandle,
        id: SpoolId,
        result: &mut SpooledResult,
    ) -> Result<(), QueueFull> {
        if !result.begin_sent {
            let content = self.encode_begin(id, result);
            send(disk, DiskCommand::Begin { spool: id, content })?;
            result.begin_sent = true;
        }
        self.send_pages(disk, id, result)?;
        if result.needs_persisting() {
            let content = encode_end(result);
            send(disk, DiskCommand::End { spool: id, content })?;
            result.end_sent = true;
        }
        Ok(())
    }

    /// Sends the pages in memory to the disk. If the queue is full, the remaining pages stay in memory until
    /// a retry.
    fn send_pages(
        &self,
        disk: &DiskHandle,
        id: SpoolId,
        result: &mut SpooledResult,
    ) -> Result<(), QueueFull> {
        let indexed_pages = (result.pages_on_disk..).zip(&mut result.buffered_pages);
        for (index, page) in indexed_pages {
            if page.state == BufferedPageState::Writing {
                continue;
            }
            let command = DiskCommand::AppendPage {
                spool: id,
                page: index as u32,
                rows: page.rows,
                bytes: page.bytes.clone(),
            };
            send(disk, command)?;
            page.state = BufferedPageState::Writing;
            let pending = self.pending_write_bytes.get();
            self.pending_write_bytes
                .set(pending + page.bytes.len() as u64);
        }
        Ok(())
    }

    fn encode_begin(&self, id: SpoolId, result: &SpooledResult) -> Vec<u8> {
        let handles = self.handles.borrow();
        let tenant = result.request.tenant;
        let class = self.classes.get(result.request.class);
        let begin = PersistedBegin {
            user: result.owner.user.clone(),
            tenant: tenant.and_then(|tenant| self.tenants.get(tenant).cloned()),
            class: class.cloned().unwrap_or_default(),
            protected: result.request.protected,
            handle: handles.of_spool(id).unwrap_or_default().to_string(),
            binary: result.owner.binary,
            statement: result.owner.statement.clone(),
            created_at: result.created_at,
        };
        encode_with_json(&begin, &result.header)
    }
}

fn send(disk: &DiskHandle, command: DiskCommand) -> Result<(), QueueFull> {
    if disk.try_send(command) {
        Ok(())
    } else {
        Err(QueueFull)
    }
}

fn encode_end(result: &SpooledResult) -> Vec<u8> {
    let end = PersistedEnd {
        rows: result.rows,
        bytes: result.bytes,
        completed_at: process_clock_millis(),
    };
    encode_with_json(&end, result.trailer.as_deref().unwrap_or_default())
}
