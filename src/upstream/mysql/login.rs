//! Connects to an engine and logs in.

use super::connection::{Connection, ConnectionId};
use crate::clock::{duration_from_millis, process_clock_millis};
use crate::config::{EngineCredentials, SocketSettings};
use crate::protocol::mysql::auth::{self, MYSQL_NATIVE_PASSWORD};
use crate::protocol::mysql::packet::{
    EOF_HEADER, ERR_HEADER, Greeting, Login, OK_HEADER, PacketCodec, PacketError, PayloadReader,
    ResultFormat, parse_err_packet, parse_ok_status, read_packet,
};
use crate::protocol::mysql::sql_mode::ObservedDefaults;
use crate::transport::buffer_pool::BufferPool;
use crate::transport::framed_connection::FramedConnection;
use crate::transport::memory_budget::Reservation;
use bytes::Bytes;
use futures_util::SinkExt;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// First byte of a packet with more data for the authentication plugin.
const AUTH_MORE_DATA_HEADER: u8 = 0x01;
/// Status byte of `caching_sha2_password`: the engine found the credentials in its cache, and an OK
/// packet follows.
const FAST_AUTH_SUCCESS: u8 = 3;

/// Opens connections with the engine account of the dispatcher.
pub(super) struct Connector {
    pub(super) credentials: EngineCredentials,
    pub(super) sockets: SocketSettings,
    pub(super) buffers: BufferPool,
    /// How engines read the statements of sessions that have not set `sql_mode`.
    pub(super) observed_defaults: Cell<ObservedDefaults>,
}

/// The answer to a login.
struct LoggedIn {
    /// Connection number that the engine assigned.
    number: u32,
    /// Status flags of the session.
    status: u16,
}

impl Connector {
    /// Connects and logs in; each step may take at most the configured connect timeout.
    pub(super) async fn open(&self, address: SocketAddr) -> Result<Connection, PacketError> {
        let limit = duration_from_millis(self.sockets.connect_timeout);
        let opened = process_clock_millis();
        let tcp = tokio::time::timeout(limit, TcpStream::connect(address))
            .await
            .map_err(io::Error::from)??;
        tcp.set_nodelay(true)?;
        let codec = PacketCodec {
            max_packet: self.credentials.max_packet,
            sequence: 0,
            memory: Reservation::default(),
        };
        let mut wire = FramedConnection::new(&self.buffers, tcp.into(), codec);
        let LoggedIn { number, status } = tokio::time::timeout(limit, self.log_in(&mut wire))
            .await
            .map_err(io::Error::from)??;
        Ok(Connection::new(
            wire,
            ConnectionId {
                address,
                number,
                opened,
            },
            opened,
            status,
        ))
    }

    /// Returns the time limit for a command whose answer has no rows, such as SET or KILL.
    pub(super) fn control_timeout(&self) -> Duration {
        duration_from_millis(4.0 * self.sockets.connect_timeout)
    }

    /// Answers the greeting of the engine and completes the authentication.
    async fn log_in(
        &self,
        wire: &mut FramedConnection<PacketCodec>,
    ) -> Result<LoggedIn, PacketError> {
        let greeting = Greeting::read(read_packet(&mut **wire).await?)?;
        let login = self.login(&greeting);
        wire.send(&login.write(self.credentials.max_packet as u32)[..])
            .await?;
        loop {
            let packet = read_packet(&mut **wire).await?;
            match packet.first() {
                Some(&OK_HEADER) => {
                    let status = parse_ok_status(&packet).map_or(0, |status| status.flags);
                    self.observe_defaults(status);
                    return Ok(LoggedIn {
                        number: greeting.connection,
                        status,
                    });
                }
                Some(&ERR_HEADER) => return Err(PacketError::Server(parse_err_packet(&packet))),
                Some(&EOF_HEADER) => {
                    let response = self.switch_plugin(&packet)?;
                    wire.send(&response[..]).await?;
                }
                Some(&AUTH_MORE_DATA_HEADER) if packet.get(1) == Some(&FAST_AUTH_SUCCESS) => {}
                _ => {
                    return Err(PacketError::Protocol(
                        "the engine requested the password over an unencrypted connection",
                    ));
                }
            }
        }
    }

    /// Records what the answer to a login tells of the engine's defaults.
    fn observe_defaults(&self, status: u16) {
        let mut observed = self.observed_defaults.get();
        observed.record(status);
        self.observed_defaults.set(observed);
    }

    /// Returns a login for the authentication plugin that the engine suggests, or for
    /// `mysql_native_password` if that plugin is not supported.
    fn login(&self, greeting: &Greeting) -> Login {
        let password = &self.credentials.password;
        let suggested = auth::auth_response(&greeting.plugin, password, &greeting.nonce);
        let (plugin, response) = match suggested {
            Some(response) => (greeting.plugin.clone(), response),
            None => (
                MYSQL_NATIVE_PASSWORD.into(),
                auth::auth_response(MYSQL_NATIVE_PASSWORD, password, &greeting.nonce)
                    .unwrap_or_default(),
            ),
        };
        Login {
            user: self.credentials.user.clone(),
            auth: response,
            schema: None,
            plugin,
            result_format: ResultFormat::default(),
        }
    }

    /// Returns the response to an engine that requests another authentication plugin.
    fn switch_plugin(&self, packet: &Bytes) -> Result<Vec<u8>, PacketError> {
        let mut reader = PayloadReader(packet.slice(1..));
        let plugin = reader.text();
        let nonce = reader.0.strip_suffix(&[0]).unwrap_or(&reader.0);
        auth::auth_response(&plugin, &self.credentials.password, nonce).ok_or(
            PacketError::Protocol("the engine requested an unsupported authentication plugin"),
        )
    }
}
