//! MySQL client at the packet level, for what drivers hide and for clients that read slowly.

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::SinkExt;
use query_dispatcher::protocol::mysql::auth;
use query_dispatcher::protocol::mysql::error::SqlError;
use query_dispatcher::protocol::mysql::packet::*;
use query_dispatcher::transport::memory_budget::Reservation;
use query_dispatcher::transport::stream::{PrereadStream, Stream};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio_rustls::rustls::ClientConfig;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::{TlsConnector, TlsStream};
use tokio_stream::StreamExt;
use tokio_util::codec::Framed;

/// Optional capabilities and socket settings of a session.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionOptions {
    pub deprecate_eof: bool,
    pub session_track: bool,
    /// Size of the socket's receive buffer in bytes; `None` for the system's default.
    pub receive_buffer: Option<u32>,
}

/// Session after its log-in.
pub struct Session {
    /// Connection ID from the greeting.
    pub number: u32,
    wire: Framed<Stream, PacketCodec>,
    deprecate_eof: bool,
}

/// Result of a statement: number of columns, row packets, and the final packet.
#[derive(Debug)]
pub struct Answer {
    pub columns: usize,
    pub rows: Vec<Bytes>,
    pub last: Bytes,
}

fn connection_ended<T>() -> Result<T, PacketError> {
    Err(PacketError::Protocol("the connection ended"))
}

impl Session {
    /// Connects and logs in.
    ///
    /// # Errors
    /// The connection fails, or the server rejects the log-in.
    pub async fn log_in(
        address: SocketAddr,
        user: &str,
        password: &str,
        options: SessionOptions,
    ) -> Result<Self, PacketError> {
        let socket = TcpSocket::new_v4()?;
        if let Some(bytes) = options.receive_buffer {
            socket.set_recv_buffer_size(bytes)?;
        }
        let stream = Stream::from(socket.connect(address).await?);
        Self::log_in_on(stream, user, password, options, None).await
    }

    /// Connects and logs in over TLS, with this client configuration and server name.
    ///
    /// # Errors
    /// The connection fails, the server's certificate is not trusted, or the server rejects the log-in.
    pub async fn log_in_tls(
        address: SocketAddr,
        user: &str,
        password: &str,
        config: Arc<ClientConfig>,
        host: &str,
    ) -> Result<Self, PacketError> {
        let tcp = TcpStream::connect(address).await?;
        // Otherwise Nagle's algorithm delays the client hello until the SSL request is acknowledged.
        tcp.set_nodelay(true)?;
        let stream = Stream::from(tcp);
        Self::log_in_on(
            stream,
            user,
            password,
            SessionOptions::default(),
            Some((config, host)),
        )
        .await
    }

    /// Returns the certificate that the server presented.
    pub fn certificate(&self) -> Option<Vec<u8>> {
        self.wire.get_ref().certificate().map(<[u8]>::to_vec)
    }

    async fn log_in_on(
        stream: Stream,
        user: &str,
        password: &str,
        options: SessionOptions,
        tls: Option<(Arc<ClientConfig>, &str)>,
    ) -> Result<Self, PacketError> {
        let mut wire = Framed::new(
            stream,
            PacketCodec {
                max_packet: (1 << 24) - 2,
                sequence: 0,
                memory: Reservation::default(),
            },
        );
        let Some(greeting) = wire.next().await else {
            return connection_ended();
        };
        let greeting = Greeting::read(greeting?)?;
        let auth_response =
            auth::auth_response(&greeting.plugin, password, &greeting.nonce).unwrap_or_default();
        let result_format = ResultFormat::default();
        let login = Login {
            user: user.into(),
            auth: auth_response,
            schema: None,
            plugin: greeting.plugin,
            result_format,
        };
        let mut login = login.write(1 << 24);
        let mut flags = u32::from_le_bytes([login[0], login[1], login[2], login[3]]);
        flags |= if options.deprecate_eof {
            CLIENT_DEPRECATE_EOF
        } else {
            0
        };
        flags |= if options.session_track {
            CLIENT_SESSION_TRACK
        } else {
            0
        };
        flags |= if tls.is_some() { CLIENT_SSL } else { 0 };
        login[..4].copy_from_slice(&flags.to_le_bytes());
        if let Some((config, host)) = tls {
            // The SSL request is the first 32 bytes of the log-in, which follows whole over TLS.
            wire.send(&login[..32]).await?;
            let mut parts = wire.into_parts();
            let Stream::Plain(tcp) = parts.io else {
                return connection_ended();
            };
            let host = ServerName::try_from(host.to_string());
            let host =
                host.map_err(|_| PacketError::Protocol("the host is not a valid server name"))?;
            let secured = TlsConnector::from(config)
                .connect(host, PrereadStream::new(BytesMut::new(), tcp))
                .await?;
            parts.io = Stream::Tls(Box::new(TlsStream::Client(secured)));
            wire = Framed::from_parts(parts);
        }
        wire.send(&login[..]).await?;
        let mut s = Session {
            number: greeting.connection,
            wire,
            deprecate_eof: options.deprecate_eof,
        };
        let p = s.next().await?;
        match p.first() {
            Some(0) => Ok(s),
            _ => Err(PacketError::Server(parse_err_packet(&p))),
        }
    }

    /// Changes the user of the session.
    ///
    /// # Errors
    /// The connection fails, or the server rejects the user.
    pub async fn change_user(&mut self, user: &str, password: &str) -> Result<(), PacketError> {
        // The authentication response is empty, since the server requests one for a new nonce in any case.
        self.send(
            COM_CHANGE_USER,
            &[
                user.as_bytes(),
                &[0, 0, 0, UTF8MB4_GENERAL_CI, 0],
                auth::MYSQL_NATIVE_PASSWORD.as_bytes(),
                &[0],
            ],
        )
        .await?;
        let p = self.next().await?;
        let mut r = PayloadReader(p.slice(1..));
        if p.first() != Some(&0xfe) || r.text() != auth::MYSQL_NATIVE_PASSWORD {
            return Err(PacketError::Protocol(
                "the server requests no authentication",
            ));
        }
        let auth_response = auth::auth_response(
            auth::MYSQL_NATIVE_PASSWORD,
            password,
            r.0.strip_suffix(&[0]).unwrap_or(&r.0),
        );
        self.wire
            .send(&auth_response.unwrap_or_default()[..])
            .await?;
        let p = self.next().await?;
        match p.first() {
            Some(0) => Ok(()),
            _ => Err(PacketError::Server(parse_err_packet(&p))),
        }
    }

    /// Reads one packet of any kind.
    ///
    /// # Errors
    /// The connection fails or has ended.
    pub async fn packet(&mut self) -> Result<Bytes, PacketError> {
        self.next().await
    }

    async fn next(&mut self) -> Result<Bytes, PacketError> {
        match self.wire.next().await {
            Some(p) => p,
            None => connection_ended(),
        }
    }

    /// Sends a command whose payload consists of these parts.
    ///
    /// # Errors
    /// The connection fails.
    pub async fn send(&mut self, kind: u8, parts: &[&[u8]]) -> Result<(), PacketError> {
        let mut p = vec![kind];
        parts.iter().for_each(|part| p.put_slice(part));
        self.wire.codec_mut().sequence = 0;
        self.wire.send(&p[..]).await
    }

    /// Executes a statement and reads its whole result.
    ///
    /// # Errors
    /// The connection fails, or the server reports an error, also in the middle of a result.
    pub async fn query(&mut self, sql: &str) -> Result<Answer, PacketError> {
        self.send(COM_QUERY, &[sql.as_bytes()]).await?;
        self.answer().await
    }

    /// Reads the response to the oldest command without one; further commands may have been sent after it.
    ///
    /// # Errors
    /// The connection fails, or the server reports an error.
    pub async fn answer(&mut self) -> Result<Answer, PacketError> {
        self.wire.codec_mut().sequence = 1;
        let first = self.next().await?;
        match first.first() {
            Some(0xff) => return Err(PacketError::Server(parse_err_packet(&first))),
            Some(0) => {
                return Ok(Answer {
                    columns: 0,
                    rows: vec![],
                    last: first,
                });
            }
            _ => {}
        }
        let columns = usize::from(first[0]);
        for _ in 0..columns + usize::from(!self.deprecate_eof) {
            self.next().await?;
        }
        self.rows(columns).await
    }

    /// Reads an error that the server sends without a command, such as one about its shutdown. A call that
    /// waits for a response reports such an error as out of order.
    ///
    /// # Errors
    /// The connection fails.
    pub async fn notice(&mut self) -> Result<SqlError, PacketError> {
        self.wire.codec_mut().sequence = 0;
        // After an error the packet stream returns `None` once, although the packet is still buffered.
        if let Some(unexpected) = self.wire.next().await {
            return unexpected.map(|packet| parse_err_packet(&packet));
        }
        let packet = self.next().await?;
        match packet.first() {
            Some(0xff) => Ok(parse_err_packet(&packet)),
            _ => Err(PacketError::OutOfOrder),
        }
    }

    /// Reads rows up to the end of the result.
    ///
    /// # Errors
    /// The connection fails, or the server reports an error.
    pub async fn rows(&mut self, columns: usize) -> Result<Answer, PacketError> {
        let mut rows = vec![];
        loop {
            let p = self.next().await?;
            match p.first() {
                Some(0xff) => return Err(PacketError::Server(parse_err_packet(&p))),
                Some(0xfe) if p.len() < 0xff_ffff && (self.deprecate_eof || p.len() < 9) => {
                    return Ok(Answer {
                        columns,
                        rows,
                        last: p,
                    });
                }
                _ => rows.push(p),
            }
        }
    }

    /// Executes a statement and passes each row to `row` without storing it. Returns the number of rows.
    ///
    /// # Errors
    /// The connection fails, or the server reports an error, also in the middle of a result.
    pub async fn each(
        &mut self,
        sql: &str,
        mut row: impl FnMut(u64, &Bytes),
    ) -> Result<u64, PacketError> {
        self.send(COM_QUERY, &[sql.as_bytes()]).await?;
        let first = self.next().await?;
        if first.first() == Some(&0xff) {
            return Err(PacketError::Server(parse_err_packet(&first)));
        }
        for _ in 0..usize::from(first[0]) + usize::from(!self.deprecate_eof) {
            self.next().await?;
        }
        let mut n = 0;
        loop {
            let p = self.next().await?;
            match p.first() {
                Some(0xff) => return Err(PacketError::Server(parse_err_packet(&p))),
                Some(0xfe) if p.len() < 9 => return Ok(n),
                _ => row(n, &p),
            }
            n += 1;
        }
    }

    /// Prepares a statement without parameters. Returns its ID and its number of columns.
    ///
    /// # Errors
    /// The connection fails, or the server reports an error.
    pub async fn prepare(&mut self, sql: &str) -> Result<(u32, usize), PacketError> {
        self.send(COM_STMT_PREPARE, &[sql.as_bytes()]).await?;
        let first = self.next().await?;
        if first.first() == Some(&0xff) {
            return Err(PacketError::Server(parse_err_packet(&first)));
        }
        let mut r = PayloadReader(first.slice(1..));
        let (id, columns) = (r.u32()?, usize::from(r.u16()?));
        for _ in 0..columns + usize::from(!self.deprecate_eof && columns > 0) {
            self.next().await?;
        }
        Ok((id, columns))
    }

    /// Executes a prepared statement. With `cursor`, the rows stay at the server for [`Session::fetch`].
    ///
    /// # Errors
    /// The connection fails, or the server reports an error.
    pub async fn execute(&mut self, id: u32, cursor: bool) -> Result<Answer, PacketError> {
        self.send(
            COM_STMT_EXECUTE,
            &[&id.to_le_bytes(), &[u8::from(cursor), 1, 0, 0, 0]],
        )
        .await?;
        if !cursor {
            return self.answer().await;
        }
        let first = self.next().await?;
        if first.first() == Some(&0xff) {
            return Err(PacketError::Server(parse_err_packet(&first)));
        }
        let columns = usize::from(first[0]);
        for _ in 0..columns {
            self.next().await?;
        }
        let last = self.next().await?;
        Ok(Answer {
            columns,
            rows: vec![],
            last,
        })
    }

    /// Fetches the next rows of a statement's cursor.
    ///
    /// # Errors
    /// The connection fails, or the server reports an error.
    pub async fn fetch(&mut self, id: u32, rows: u32) -> Result<Answer, PacketError> {
        self.send(COM_STMT_FETCH, &[&id.to_le_bytes(), &rows.to_le_bytes()])
            .await?;
        self.rows(0).await
    }

    /// Reads at this rate for this duration, and returns the number of bytes read.
    ///
    /// # Errors
    /// The connection fails; its end is not an error.
    pub async fn read_slowly(
        &mut self,
        bytes_per_second: usize,
        span: Duration,
    ) -> Result<usize, PacketError> {
        let (mut total, step) = (0, Duration::from_millis(100));
        let began = tokio::time::Instant::now();
        let mut buffer = vec![0; (bytes_per_second / 10).max(1)];
        while began.elapsed() < span {
            match self.wire.get_mut().read(&mut buffer).await? {
                0 => break,
                n => total += n,
            }
            tokio::time::sleep(step).await;
        }
        Ok(total)
    }
}

/// Returns the text in the first column of a row.
pub fn text(row: &Bytes, binary: bool) -> Option<String> {
    let mut r = PayloadReader(row.slice(if binary { 2 } else { 0 }..));
    r.length_encoded_bytes()
        .ok()
        .map(|b| String::from_utf8_lossy(&b).into_owned())
}

/// Returns all columns of a row in the text protocol.
pub fn texts(row: &Bytes) -> Vec<String> {
    let mut r = PayloadReader(row.clone());
    std::iter::from_fn(|| {
        r.length_encoded_bytes()
            .ok()
            .map(|b| String::from_utf8_lossy(&b).into_owned())
    })
    .collect()
}

/// Returns the server's error in a result, if there is one.
pub fn error<T>(result: Result<T, PacketError>) -> Option<SqlError> {
    match result {
        Err(PacketError::Server(e)) => Some(e),
        _ => None,
    }
}
