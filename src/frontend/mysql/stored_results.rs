//! Answers to administrative statements: the list of a user's stored results, and the pages of one. No engine
//! is involved.

use super::StatementUpstream;
use super::administrative_statements::AdministrativeStatement;
use super::replies::result_removed;
use super::session::{Session, SessionEnd};
use super::text_result::{RowFormat, join_packets, text_table};
use crate::protocol::mysql::error::{SqlError, code};
use crate::spool::SpoolId;
use crate::spool_io::{ResultListing, ResultReader, packets};

/// Column names of the list of stored results.
const LISTING_COLUMNS: [&str; 7] = [
    "handle",
    "statement",
    "pages",
    "rows",
    "bytes",
    "age_s",
    "expires_in_s",
];
/// Packets of a result's header besides the column definitions: the column count and the EOF.
const COUNT_AND_EOF_PACKETS: usize = 2;

/// Returns the row format of a plain or, with `binary`, a prepared statement.
fn row_format(binary: bool) -> RowFormat {
    match binary {
        true => RowFormat::Binary,
        false => RowFormat::Text,
    }
}

impl<U: StatementUpstream> Session<'_, U> {
    /// Answers an administrative statement; `binary` means that it was prepared.
    pub(super) async fn run_administrative(
        &mut self,
        statement: AdministrativeStatement,
        binary: bool,
    ) -> Result<(), SessionEnd> {
        match statement {
            AdministrativeStatement::ListResults => {
                let results = self.frontend.spools.list(&self.user).await;
                let listing = listing_packets(&results, row_format(binary), self.status_flags());
                self.send_result(join_packets(&listing)).await
            }
            AdministrativeStatement::FetchResult { handle, from_page } => {
                let reader = match self.resume_result(&handle).await {
                    Ok(id) => self.result_reader(id, from_page, binary),
                    Err(error) => Err(error),
                };
                match reader {
                    Ok(reader) => self.send_stored_result(reader).await,
                    Err(error) => self.send_error(&error).await,
                }
            }
        }
    }

    /// Returns the id of this user's stored result with this handle.
    async fn resume_result(&self, handle: &str) -> Result<SpoolId, SqlError> {
        self.frontend
            .spools
            .resume(&self.user, handle)
            .await
            .map_err(|error| SqlError::new(code::ER_NONEXISTING_GRANT, error.to_string()))
    }

    /// Returns a reader of a stored result that starts at page `from_page`, counted from 0.
    fn result_reader(
        &self,
        id: SpoolId,
        from_page: u32,
        binary: bool,
    ) -> Result<ResultReader, SqlError> {
        let spools = &self.frontend.spools;
        let (pages, is_binary) = spools
            .with_result(id, |result| (result.page_count(), result.owner.binary))
            .ok_or_else(|| result_removed(code::ER_NONEXISTING_GRANT))?;
        if is_binary != binary {
            let message = match is_binary {
                true => "this result is of a prepared statement: prepare the FETCH as well",
                false => "this result is of a plain statement: send the FETCH as one",
            };
            return Err(SqlError::new(code::ER_NOT_SUPPORTED_YET, message));
        }
        if from_page as usize >= pages.max(1) {
            return Err(SqlError::new(
                code::ER_NONEXISTING_GRANT,
                format!("it has {pages} pages, counted from 0"),
            ));
        }
        spools
            .reader(id, from_page)
            .ok_or_else(|| result_removed(code::ER_NONEXISTING_GRANT))
    }

    /// Returns the answer to preparing an administrative statement: no parameters, and the columns of the
    /// result.
    pub(super) async fn describe_administrative(
        &self,
        statement: &AdministrativeStatement,
    ) -> Result<Vec<Vec<u8>>, SqlError> {
        let header: Vec<Vec<u8>> = match statement {
            AdministrativeStatement::ListResults => {
                listing_packets(&[], RowFormat::Binary, self.status_flags())
                    .into_iter()
                    .take(LISTING_COLUMNS.len() + COUNT_AND_EOF_PACKETS)
                    .collect()
            }
            AdministrativeStatement::FetchResult { handle, .. } => {
                let id = self.resume_result(handle).await?;
                let header = self
                    .frontend
                    .spools
                    .with_result(id, |result| result.header.clone())
                    .ok_or_else(|| result_removed(code::ER_NONEXISTING_GRANT))?;
                packets(&header).map(<[u8]>::to_vec).collect()
            }
        };
        let columns = header.len().saturating_sub(COUNT_AND_EOF_PACKETS) as u16;
        let definitions = header.into_iter().skip(1);
        Ok(std::iter::once(prepare_ok(columns))
            .chain(definitions)
            .collect())
    }
}

/// Returns the first packet of an answer to COM_STMT_PREPARE, without parameters; the statement id is filled
/// in later.
fn prepare_ok(columns: u16) -> Vec<u8> {
    let header_and_id = [0; 5];
    let parameters_filler_and_warnings = [0; 5];
    let mut packet = header_and_id.to_vec();
    packet.extend(columns.to_le_bytes());
    packet.extend(parameters_filler_and_warnings);
    packet
}

/// Returns the packets of a list of stored results, with these status flags.
fn listing_packets(results: &[ResultListing], format: RowFormat, status: u16) -> Vec<Vec<u8>> {
    let rows = results.iter().map(|result| {
        let expires = match result.expires_in_s {
            Some(seconds) => format!("{:.1}", seconds.max(0.0)),
            None => "while it is read".to_string(),
        };
        vec![
            result.handle.clone(),
            result.statement.clone(),
            result.pages.to_string(),
            result.rows.to_string(),
            result.bytes.to_string(),
            format!("{:.1}", result.age_s),
            expires,
        ]
    });
    text_table(&LISTING_COLUMNS, rows, format, status)
}
