//! Answers to the client: single packets, whole results, and stored results at the rate at which the client
//! reads.

use super::accept::timed_out;
use super::cursor::split_result;
use super::session::{Session, SessionEnd};
use super::{StatementUpstream, WRITE_TIMEOUT};
use crate::dispatch::Reply;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{
    OK_HEADER, PacketError, ResultFormat, SERVER_STATUS_AUTOCOMMIT, SERVER_STATUS_IN_TRANS,
    SERVER_STATUS_NO_BACKSLASH_ESCAPES, eof_status, err_packet, ok_packet_with_status,
};
use crate::protocol::mysql::sql_mode::LexicalModes;
use crate::spool_io::{ResultReader, SpoolError, packets};
use crate::upstream::mysql::work::{Output, error_of_reply};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::SinkExt;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Encoder;

/// Number of bytes of a stored result after which the buffer is written to the socket.
const CHUNK_BYTES: usize = 12 * 1024;

/// Returns the error for a stored result that was removed before it was read.
pub(super) fn result_removed(code: crate::protocol::mysql::error::ErrorCode) -> SqlError {
    SqlError::new(code, SpoolError::Removed.to_string())
}

/// Returns the error for a stored result whose remaining rows cannot be read.
pub(super) fn result_interrupted(error: &SpoolError) -> SqlError {
    SqlError::new(
        code::ER_TOO_BIG_SELECT,
        format!("the result breaks off: {error}"),
    )
}

/// Returns the status flag that tells the meaning of a backslash: drivers escape the text in statements by it.
pub(super) fn mode_flag(modes: LexicalModes) -> u16 {
    match modes.no_backslash_escapes() {
        true => SERVER_STATUS_NO_BACKSLASH_ESCAPES,
        false => 0,
    }
}

impl<U: StatementUpstream> Session<'_, U> {
    /// Returns the status flags of the session, for answers of the frontend itself.
    pub(super) fn status_flags(&self) -> u16 {
        let in_transaction = self
            .sticky
            .as_ref()
            .is_some_and(|sticky| sticky.transaction.may_be_open());
        let mut status = 0;
        if self.state.autocommit() {
            status |= SERVER_STATUS_AUTOCOMMIT;
        }
        if in_transaction {
            status |= SERVER_STATUS_IN_TRANS;
        }
        status | mode_flag(self.lexical_modes())
    }

    /// Returns an OK packet with the session's status, for commands that the frontend answers itself.
    pub(super) fn ok_packet(&self) -> Vec<u8> {
        ok_packet_with_status(self.status_flags())
    }

    pub(super) async fn send_ok(&mut self) -> Result<(), SessionEnd> {
        let packet = self.ok_packet();
        self.send_packet(&packet).await
    }

    pub(super) async fn send_error(&mut self, error: &SqlError) -> Result<(), SessionEnd> {
        self.send_packet(&err_packet(error)).await
    }

    pub(super) async fn send_ok_or_error(
        &mut self,
        result: Result<(), SqlError>,
    ) -> Result<(), SessionEnd> {
        match result {
            Ok(()) => self.send_ok().await,
            Err(error) => self.send_error(&error).await,
        }
    }

    pub(super) async fn send_packet(&mut self, packet: &[u8]) -> Result<(), SessionEnd> {
        self.send_packets([packet].into_iter()).await
    }

    pub(super) async fn send_packets<'p>(
        &mut self,
        packets: impl Iterator<Item = &'p [u8]>,
    ) -> Result<(), SessionEnd> {
        let connection = &mut *self.connection;
        let write = async {
            for packet in packets {
                connection.feed(packet).await?;
            }
            SinkExt::<&[u8]>::flush(connection).await
        };
        tokio::time::timeout(WRITE_TIMEOUT, write)
            .await
            .map_err(timed_out)??;
        Ok(())
    }

    /// Sends the final answer of a request.
    pub(super) async fn send_reply(&mut self, reply: Reply<Output>) -> Result<(), SessionEnd> {
        if let Some(error) = error_of_reply(&reply) {
            return self.send_error(&error).await;
        }
        match reply {
            Reply::Served(Output::Inline(packets)) => self.send_result(packets.into_bytes()).await,
            Reply::Served(Output::Spooled(spool)) => match self.frontend.spools.reader(spool, 0) {
                Some(reader) => self.send_stored_result(reader).await,
                None => {
                    self.send_error(&result_removed(code::ER_TOO_BIG_SELECT))
                        .await
                }
            },
            _ => Ok(()),
        }
    }

    /// Sends a whole result, in which each packet follows its length. Header and last packet are converted to
    /// the client's result format.
    pub(super) async fn send_result(&mut self, result: Bytes) -> Result<(), SessionEnd> {
        let format = self.result_format;
        if format == ResultFormat::default() {
            return self.send_packets(packets(&result)).await;
        }
        let Some(parts) = split_result(&result) else {
            return self.send_without_rows(&result).await;
        };
        let status = eof_status(&parts.last).unwrap_or(self.status_flags());
        let last = format.last(status, None);
        let header = self.header_packets(&parts.header);
        let all = header
            .iter()
            .map(Vec::as_slice)
            .chain(packets(&parts.rows))
            .chain([&last[..]]);
        self.send_packets(all).await
    }

    /// Sends an answer without rows, such as an OK or an error.
    async fn send_without_rows(&mut self, answer: &[u8]) -> Result<(), SessionEnd> {
        let format = self.result_format;
        let in_format = |packet: &[u8]| match packet.first() {
            Some(&OK_HEADER) => format.ok(packet),
            _ => packet.to_vec(),
        };
        let all: Vec<Vec<u8>> = packets(answer).map(in_format).collect();
        self.send_packets(all.iter().map(Vec::as_slice)).await
    }

    /// Returns the packets before the rows, in the client's result format.
    fn header_packets(&self, header: &[u8]) -> Vec<Vec<u8>> {
        packets(header)
            .filter(|packet| self.wants_before_rows(packet))
            .map(<[u8]>::to_vec)
            .collect()
    }

    /// Whether a packet before the rows is sent: a client that has set CLIENT_DEPRECATE_EOF gets no EOF
    /// there.
    pub(super) fn wants_before_rows(&self, packet: &[u8]) -> bool {
        !self.result_format.deprecate_eof || eof_status(packet).is_none()
    }

    /// Sends a stored result page by page, at the rate at which the client reads.
    pub(super) async fn send_stored_result(
        &mut self,
        mut reader: ResultReader,
    ) -> Result<(), SessionEnd> {
        let spools = self.frontend.spools.clone();
        let id = reader.id();
        let header_and_trailer =
            spools.with_result(id, |result| (result.header.clone(), result.trailer.clone()));
        let Some((header, trailer)) = header_and_trailer else {
            return self
                .send_error(&result_removed(code::ER_TOO_BIG_SELECT))
                .await;
        };
        let header = self.header_packets(&header);
        self.send_packets(header.iter().map(Vec::as_slice)).await?;
        loop {
            match reader.next_page().await {
                Ok(Some(page)) => {
                    self.send_rows(&page, spools.client_stall_timeout()).await?;
                }
                Ok(None) => break,
                // Rows may have been sent already. The error packet ends the result, so that it does not look
                // complete.
                Err(error) => return self.send_error(&result_interrupted(&error)).await,
            }
        }
        let status = trailer.as_deref().and_then(eof_status);
        // The session may have another mode than when the result was stored.
        let status = status.unwrap_or(self.status_flags()) & !SERVER_STATUS_NO_BACKSLASH_ESCAPES
            | mode_flag(self.lexical_modes());
        let last = self
            .result_format
            .last(status, spools.handle(id).as_deref());
        self.send_packet(&last).await
    }

    /// Sends rows at the rate at which the client reads. A client that reads nothing for `stall_timeout` is
    /// disconnected; one that reads slowly is not.
    pub(super) async fn send_rows(
        &mut self,
        page: &[u8],
        stall_timeout: Duration,
    ) -> Result<(), SessionEnd> {
        let mut chunk = self.frontend.buffers.take();
        SinkExt::<&[u8]>::flush(&mut *self.connection).await?;
        for row in packets(page) {
            self.connection.codec_mut().encode(row, &mut chunk)?;
            if chunk.len() >= CHUNK_BYTES {
                self.write_chunk(&mut chunk, stall_timeout).await?;
            }
        }
        self.write_chunk(&mut chunk, stall_timeout).await
    }

    async fn write_chunk(
        &mut self,
        chunk: &mut BytesMut,
        stall_timeout: Duration,
    ) -> Result<(), SessionEnd> {
        let socket = self.connection.get_mut();
        while !chunk.is_empty() {
            let written = tokio::time::timeout(stall_timeout, socket.write(chunk))
                .await
                .map_err(timed_out)?
                .map_err(PacketError::from)?;
            if written == 0 {
                let closed = io::Error::from(io::ErrorKind::WriteZero);
                return Err(PacketError::from(closed).into());
            }
            chunk.advance(written);
        }
        Ok(())
    }
}
