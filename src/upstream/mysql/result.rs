//! Reads the answer to a statement: its result, and its warnings.

use super::connection::{Connection, WaitingClient};
use super::executor::{Executor, check_description_size};
use super::work::{Output, Packets, Work};
use crate::protocol::mysql::packet::{
    COM_QUERY, ERR_HEADER, NULL_VALUE, OK_HEADER, PacketError, SERVER_MORE_RESULTS_EXISTS,
    eof_status, eof_warning_count, is_err, parse_ok_status, read_packet,
};
use crate::spool_io::{ResultWriter, StoredResult};

/// Limit of the warnings that are kept of one statement.
const MAX_WARNINGS: usize = 64;
/// A server that asks for a local file (LOAD DATA LOCAL) begins with the byte that stands for NULL in rows.
const LOCAL_INFILE_HEADER: u8 = NULL_VALUE;
/// The columns of a result end with one EOF, its rows with another.
const EOFS_OF_RESULT: usize = 2;

impl Executor {
    /// Reads the answer to a statement that has been written, and its warnings.
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

    /// Reads a whole result: an OK, an ERR, or columns and rows up to their end. Rows go into the spool as they arrive,
    /// and the connection is free at the last packet. A result that its engine interrupts with an error is that error.
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
            Some(&LOCAL_INFILE_HEADER) => Err(PacketError::Protocol("it asks for a local file")),
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

fn check_single_result(status: u16) -> Result<(), PacketError> {
    match status & SERVER_MORE_RESULTS_EXISTS {
        0 => Ok(()),
        _ => Err(PacketError::Protocol(
            "several results at once are not carried",
        )),
    }
}

/// Warnings stay on the connection that reported them, and the session may use another when it asks for them: they are
/// fetched at once.
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
