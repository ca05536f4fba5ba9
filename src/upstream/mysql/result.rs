//! Reads the answer to a statement: its result and its warnings.

use super::connection::{Connection, WaitingClient};
use super::executor::{Executor, check_description_size};
use super::work::{Output, Packets, Work};
use crate::protocol::mysql::packet::{
    COM_QUERY, ERR_HEADER, NULL_VALUE, OK_HEADER, PacketError, SERVER_MORE_RESULTS_EXISTS,
    eof_status, eof_warning_count, is_err, parse_ok_status, read_packet,
};
use crate::spool_io::{ResultWriter, StoredResult};

/// Maximum number of warnings that are kept of one statement.
const MAX_WARNINGS: usize = 64;
/// First byte of a server request for a local file (LOAD DATA LOCAL); the same byte represents NULL in rows.
const LOCAL_INFILE_HEADER: u8 = NULL_VALUE;
/// Number of EOF packets in a result: one ends the columns, another ends the rows.
const EOFS_OF_RESULT: usize = 2;

impl Executor {
    /// Reads the answer to a statement that has been written, and fetches its warnings.
    pub(super) async fn read_answer(
        &self,
        connection: &mut Connection,
        work: &Work,
        client: WaitingClient<'_>,
    ) -> Result<Output, PacketError> {
        let output = self.read_result(connection, work).await?;
        fetch_warnings(connection, work, client).await?;
        Ok(output)
    }

    /// Reads a whole result: an OK, an ERR, or all columns and rows. Rows are written to the spool as
    /// they arrive, and the connection is free again after the last packet. If the engine interrupts a
    /// result with an error, the answer is that error.
    async fn read_result(
        &self,
        connection: &mut Connection,
        work: &Work,
    ) -> Result<Output, PacketError> {
        connection.warnings = 0;
        let mut writer = self.spools.writer(work.admission, work.owner.clone());
        let first = read_packet(&mut *connection.wire).await?;
        match first.first() {
            None => Err(PacketError::Truncated),
            Some(&ERR_HEADER) => Ok(Output::one_packet(&first)),
            Some(&LOCAL_INFILE_HEADER) => Err(PacketError::Protocol(
                "the engine requested a local file, which is not supported",
            )),
            Some(&OK_HEADER) => {
                let ok = parse_ok_status(&first)?;
                connection.status = ok.flags;
                connection.warnings = ok.warnings;
                check_single_result(ok.flags)?;
                Ok(Output::one_packet(&first))
            }
            Some(_) => {
                writer.add_header(&first)?;
                read_columns(connection, &mut writer).await?;
                read_rows(connection, writer).await
            }
        }
    }
}

/// Reads the column definitions of a result up to their EOF.
async fn read_columns(
    connection: &mut Connection,
    writer: &mut ResultWriter,
) -> Result<(), PacketError> {
    loop {
        let packet = read_packet(&mut *connection.wire).await?;
        let status = eof_status(&packet);
        check_single_result(status.unwrap_or(0))?;
        writer.add_header(&packet)?;
        if status.is_some() {
            return Ok(());
        }
    }
}

/// Reads the rows of a result up to their EOF, or up to the error that interrupts them.
async fn read_rows(
    connection: &mut Connection,
    mut writer: ResultWriter,
) -> Result<Output, PacketError> {
    loop {
        let packet = read_packet(&mut *connection.wire).await?;
        match eof_status(&packet) {
            Some(status) => {
                check_single_result(status)?;
                connection.status = status;
                connection.warnings = eof_warning_count(&packet);
                return Ok(match writer.finish(Some(&packet)).await? {
                    StoredResult::Inline(bytes) => Output::Inline(bytes.into()),
                    StoredResult::Spooled(spool) => Output::Spooled(spool),
                });
            }
            None if is_err(&packet) => return Ok(Output::one_packet(&packet)),
            None => writer.add_row(&packet).await?,
        }
    }
}

/// Returns an error if the status flags announce another result set.
fn check_single_result(status: u16) -> Result<(), PacketError> {
    match status & SERVER_MORE_RESULTS_EXISTS {
        0 => Ok(()),
        _ => Err(PacketError::Protocol(
            "multiple result sets are not supported",
        )),
    }
}

/// Fetches the warnings of a statement. The engine keeps warnings per connection, and the session may be
/// on another connection when it requests them, so they are fetched right after the statement.
async fn fetch_warnings(
    connection: &mut Connection,
    work: &Work,
    client: WaitingClient<'_>,
) -> Result<(), PacketError> {
    if std::mem::take(&mut connection.warnings) == 0 {
        return Ok(());
    }
    let show = format!("SHOW WARNINGS LIMIT {MAX_WARNINGS}");
    connection
        .write_command(client, COM_QUERY, &[show.as_bytes()], || Ok(()))
        .await?;
    let mut packets = Packets::default();
    let mut eofs = 0;
    while eofs < EOFS_OF_RESULT {
        let packet = read_packet(&mut *connection.wire).await?;
        if is_err(&packet) {
            return Ok(());
        }
        packets.push(&packet);
        check_description_size(&packets)?;
        eofs += usize::from(eof_status(&packet).is_some());
    }
    *work.warnings.borrow_mut() = Some(packets.into_bytes());
    Ok(())
}
