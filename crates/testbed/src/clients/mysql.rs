//! A client at the level of packets: for what drivers do not show, and for reading slowly.

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::SinkExt;
use query_dispatcher::protocol::mysql::auth;
use query_dispatcher::protocol::mysql::error::SqlError;
use query_dispatcher::protocol::mysql::packet::*;
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

/// What a session asks for at log-in, beside what every client does.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionOptions {
    pub deprecate_eof: bool,
    pub session_track: bool,
    /// The machine keeps so few bytes for it that are not read, if that is said.
    pub receive: Option<u32>,
}

/// A logged-in session.
pub struct Session {
    /// Its number, as the greeting told it.
    pub number: u32,
    wire: Framed<Stream, PacketCodec>,
    deprecate_eof: bool,
}

/// A result's packets: columns, rows, and what came last.
#[derive(Debug)]
pub struct Answer {
    pub columns: usize,
    pub rows: Vec<Bytes>,
    pub last: Bytes,
}

fn broken<T>() -> Result<T, PacketError> {
    Err(PacketError::Protocol("the connection ended"))
}

impl Session {
    /// # Errors
    /// It cannot connect, or is turned away.
    pub async fn log_in(
        address: SocketAddr,
        user: &str,
        password: &str,
        wants: SessionOptions,
    ) -> Result<Self, PacketError> {
        let socket = TcpSocket::new_v4()?;
        if let Some(bytes) = wants.receive {
            socket.set_recv_buffer_size(bytes)?;
        }
        let stream = Stream::from(socket.connect(address).await?);
        Self::greet(stream, user, password, wants, None).await
    }

    /// Logs in over TLS, as a client of this configuration that asks for this host.
    ///
    /// # Errors
    /// It cannot connect, does not trust the server, or is turned away.
    pub async fn log_in_tls(
        address: SocketAddr,
        user: &str,
        password: &str,
        config: Arc<ClientConfig>,
        host: &str,
    ) -> Result<Self, PacketError> {
        let tcp = TcpStream::connect(address).await?;
        // Its hello would wait for the wish before it to be acknowledged.
        tcp.set_nodelay(true)?;
        let stream = Stream::from(tcp);
        Self::greet(
            stream,
            user,
            password,
            SessionOptions::default(),
            Some((config, host)),
        )
        .await
    }

    /// The certificate that the server has shown.
    pub fn certificate(&self) -> Option<Vec<u8>> {
        self.wire.get_ref().certificate().map(<[u8]>::to_vec)
    }

    async fn greet(
        stream: Stream,
        user: &str,
        password: &str,
        wants: SessionOptions,
        tls: Option<(Arc<ClientConfig>, &str)>,
    ) -> Result<Self, PacketError> {
        let mut wire = Framed::new(
            stream,
            PacketCodec {
                max_packet: (1 << 24) - 2,
                sequence: 0,
            },
        );
        let Some(greeting) = wire.next().await else {
            return broken();
        };
        let greeting = Greeting::read(greeting?)?;
        let proof =
            auth::auth_response(&greeting.plugin, password, &greeting.nonce).unwrap_or_default();
        let ends = ResultFormat::default();
        let login = Login {
            user: user.into(),
            auth: proof,
            schema: None,
            plugin: greeting.plugin,
            result_format: ends,
        };
        let mut login = login.write(1 << 24);
        let mut flags = u32::from_le_bytes([login[0], login[1], login[2], login[3]]);
        flags |= if wants.deprecate_eof {
            CLIENT_DEPRECATE_EOF
        } else {
            0
        };
        flags |= if wants.session_track {
            CLIENT_SESSION_TRACK
        } else {
            0
        };
        flags |= if tls.is_some() { CLIENT_SSL } else { 0 };
        login[..4].copy_from_slice(&flags.to_le_bytes());
        if let Some((config, host)) = tls {
            // The same head alone, then all of it again in TLS.
            wire.send(&login[..32]).await?;
            let mut parts = wire.into_parts();
            let Stream::Plain(tcp) = parts.io else {
                return broken();
            };
            let host = ServerName::try_from(host.to_string());
            let host = host.map_err(|_| PacketError::Protocol("the host is no name"))?;
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
            deprecate_eof: wants.deprecate_eof,
        };
        let p = s.next().await?;
        match p.first() {
            Some(0) => Ok(s),
            _ => Err(PacketError::Server(parse_err_packet(&p))),
        }
    }

    /// Another user takes the session over.
    ///
    /// # Errors
    /// The connection's, or that it is turned away.
    pub async fn change_user(&mut self, user: &str, password: &str) -> Result<(), PacketError> {
        // Whatever stands as its proof, the server asks anew with a nonce of its own.
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
            return Err(PacketError::Protocol("it asks for no proof"));
        }
        let proof = auth::auth_response(
            auth::MYSQL_NATIVE_PASSWORD,
            password,
            r.0.strip_suffix(&[0]).unwrap_or(&r.0),
        );
        self.wire.send(&proof.unwrap_or_default()[..]).await?;
        let p = self.next().await?;
        match p.first() {
            Some(0) => Ok(()),
            _ => Err(PacketError::Server(parse_err_packet(&p))),
        }
    }

    /// One packet, whatever it is.
    ///
    /// # Errors
    /// The connection's, also its end.
    pub async fn packet(&mut self) -> Result<Bytes, PacketError> {
        self.next().await
    }

    async fn next(&mut self) -> Result<Bytes, PacketError> {
        match self.wire.next().await {
            Some(p) => p,
            None => broken(),
        }
    }

    /// # Errors
    /// The connection's.
    pub async fn send(&mut self, kind: u8, parts: &[&[u8]]) -> Result<(), PacketError> {
        let mut p = vec![kind];
        parts.iter().for_each(|part| p.put_slice(part));
        self.wire.codec_mut().sequence = 0;
        self.wire.send(&p[..]).await
    }

    /// A statement and its whole result.
    ///
    /// # Errors
    /// The connection's, or the server's, also one that breaks a result off.
    pub async fn query(&mut self, sql: &str) -> Result<Answer, PacketError> {
        self.send(COM_QUERY, &[sql.as_bytes()]).await?;
        self.answer().await
    }

    /// The answer to the oldest command that has none: others may have been sent behind it.
    ///
    /// # Errors
    /// The connection's, or the server's.
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

    /// The error that a server sends of its own accord, such as that it shuts down: where an answer was awaited, it is out
    /// of order.
    ///
    /// # Errors
    /// The connection's.
    pub async fn notice(&mut self) -> Result<SqlError, PacketError> {
        self.wire.codec_mut().sequence = 0;
        // The stream rests once after an error; the packet is still there.
        if let Some(unexpected) = self.wire.next().await {
            return unexpected.map(|packet| parse_err_packet(&packet));
        }
        let packet = self.next().await?;
        match packet.first() {
            Some(0xff) => Ok(parse_err_packet(&packet)),
            _ => Err(PacketError::OutOfOrder),
        }
    }

    /// Rows up to their end.
    ///
    /// # Errors
    /// The connection's, or the server's.
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

    /// A statement whose rows are looked at as they come and not kept: how many there were.
    ///
    /// # Errors
    /// The connection's, or the server's, also one that breaks a result off.
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

    /// Prepares a statement without parameters: its number and its columns.
    ///
    /// # Errors
    /// The connection's, or the server's.
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

    /// Executes it; with `cursor` the rows wait to be fetched.
    ///
    /// # Errors
    /// The connection's, or the server's.
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

    /// The next rows of its cursor.
    ///
    /// # Errors
    /// The connection's, or the server's.
    pub async fn fetch(&mut self, id: u32, rows: u32) -> Result<Answer, PacketError> {
        self.send(COM_STMT_FETCH, &[&id.to_le_bytes(), &rows.to_le_bytes()])
            .await?;
        self.rows(0).await
    }

    /// Reads what comes at so many bytes a second, for so long; the bytes that were read.
    ///
    /// # Errors
    /// The connection's; its end is none.
    pub async fn read_slowly(
        &mut self,
        bytes_a_second: usize,
        span: Duration,
    ) -> Result<usize, PacketError> {
        let (mut all, step) = (0, Duration::from_millis(100));
        let began = tokio::time::Instant::now();
        let mut buffer = vec![0; (bytes_a_second / 10).max(1)];
        while began.elapsed() < span {
            match self.wire.get_mut().read(&mut buffer).await? {
                0 => break,
                n => all += n,
            }
            tokio::time::sleep(step).await;
        }
        Ok(all)
    }
}

/// The text of a row's first column.
pub fn text(row: &Bytes, binary: bool) -> Option<String> {
    let mut r = PayloadReader(row.slice(if binary { 2 } else { 0 }..));
    r.length_encoded_bytes()
        .ok()
        .map(|b| String::from_utf8_lossy(&b).into_owned())
}

/// All columns of a row of texts.
pub fn texts(row: &Bytes) -> Vec<String> {
    let mut r = PayloadReader(row.clone());
    std::iter::from_fn(|| {
        r.length_encoded_bytes()
            .ok()
            .map(|b| String::from_utf8_lossy(&b).into_owned())
    })
    .collect()
}

/// The server's error in a result.
pub fn error<T>(result: Result<T, PacketError>) -> Option<SqlError> {
    match result {
        Err(PacketError::Server(e)) => Some(e),
        _ => None,
    }
}
