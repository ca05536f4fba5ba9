//! Login of a client: greeting, TLS and authentication.

use super::accept::ClientConnection;
use super::replies::mode_flag;
use super::session::SessionEnd;
use super::{Frontend, StatementUpstream};
use crate::protocol::mysql::auth::{self, CACHING_SHA2_PASSWORD, MYSQL_NATIVE_PASSWORD};
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{
    CLIENT_SSL, EOF_HEADER, FRONTEND_CAPABILITIES, Greeting, Login, PacketError, ResultFormat,
    SERVER_STATUS_AUTOCOMMIT, err_packet, ok_packet_with_status, read_packet,
};
use crate::transport::tls::{self, TlsKeys};
use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;

/// Length in bytes of the random nonce of a login.
pub(super) const NONCE_BYTES: usize = 20;
/// Packet of `caching_sha2_password` that reports a password as verified without a full exchange.
const FAST_AUTH_SUCCESS: [u8; 2] = [1, 3];
/// Response that some clients send in place of an empty one.
const ZERO_RESPONSE: [u8; 1] = [0];

/// A client that has logged in.
pub(super) struct LoggedInClient {
    /// Session number.
    pub(super) number: u32,
    pub(super) user: String,
    pub(super) tenant: Option<usize>,
    pub(super) schema: Option<String>,
    pub(super) result_format: ResultFormat,
}

/// A user whose password and certificate were verified.
pub(super) struct VerifiedUser {
    pub(super) tenant: Option<usize>,
}

impl<U: StatementUpstream> Frontend<U> {
    /// Greets and authenticates a client. Returns `None` if it was rejected.
    pub(super) async fn log_in(
        &self,
        connection: &mut ClientConnection,
        host: &str,
    ) -> Result<Option<LoggedInClient>, SessionEnd> {
        let number = self.next_session_number.get();
        self.next_session_number.set(number.wrapping_add(1));
        let nonce = random_nonce()?;
        let tls_keys = self.tls_keys.borrow().clone();
        let tls_capability = if tls_keys.is_some() { CLIENT_SSL } else { 0 };
        let greeting = Greeting {
            connection: number,
            nonce: nonce.to_vec(),
            plugin: MYSQL_NATIVE_PASSWORD.into(),
            capabilities: FRONTEND_CAPABILITIES | tls_capability,
        };
        connection
            .send(&greeting.write(&self.config().server_version)[..])
            .await?;
        let first = read_packet(&mut **connection).await?;
        let Some(login) = login_packet(connection, first, tls_keys.as_deref()).await? else {
            return Ok(None);
        };
        let login = Login::read(login)?;
        let verified = self.authenticate(connection, &login, &nonce, host).await?;
        Ok(verified.map(|verified| LoggedInClient {
            number,
            user: login.user,
            tenant: verified.tenant,
            schema: login.schema,
            result_format: login.result_format,
        }))
    }

    /// Verifies a client's password and certificate, and sends the outcome. Returns `None` if either was
    /// wrong.
    pub(super) async fn authenticate(
        &self,
        connection: &mut ClientConnection,
        login: &Login,
        nonce: &[u8; NONCE_BYTES],
        host: &str,
    ) -> Result<Option<VerifiedUser>, SessionEnd> {
        let (plugin, response) = auth_response(connection, login, nonce).await?;
        let config = self.config();
        let certificate_name = || {
            connection
                .get_ref()
                .certificate()
                .and_then(tls::common_name)
        };
        let user = config
            .users
            .get(&login.user)
            .filter(|user| auth::verify_auth_response(plugin, &user.password, nonce, &response))
            .filter(|user| {
                user.certificate_common_name.is_none()
                    || user.certificate_common_name == certificate_name()
            });
        let Some(user) = user else {
            let error = access_denied(&login.user, host, &response);
            connection.send(&err_packet(&error)[..]).await?;
            return Ok(None);
        };
        if plugin == CACHING_SHA2_PASSWORD && !response.is_empty() {
            connection.send(&FAST_AUTH_SUCCESS[..]).await?;
        }
        let defaults = self.router.upstream().default_lexical_modes();
        let status = SERVER_STATUS_AUTOCOMMIT | mode_flag(defaults);
        connection.send(&ok_packet_with_status(status)[..]).await?;
        Ok(Some(VerifiedUser {
            tenant: user.tenant,
        }))
    }
}

/// Returns the login packet, after switching to TLS if the client requests it. Returns `None` if TLS is
/// required and the client did not request it.
async fn login_packet(
    connection: &mut ClientConnection,
    first: Bytes,
    tls_keys: Option<&TlsKeys>,
) -> Result<Option<Bytes>, SessionEnd> {
    let Some(keys) = tls_keys else {
        return Ok(Some(first));
    };
    if Login::requests_tls(&first) {
        let read_ahead = BytesMut::from(&connection.read_buffer()[..]);
        connection.read_buffer_mut().clear();
        connection
            .get_mut()
            .upgrade_to_tls(read_ahead, keys.server_config())
            .await
            .map_err(PacketError::from)?;
        return Ok(Some(read_packet(&mut **connection).await?));
    }
    if keys.required() {
        let message = "Connections using insecure transport are prohibited: this one is not in TLS";
        let error = SqlError::new(code::ER_SECURE_TRANSPORT_REQUIRED, message);
        connection.send(&err_packet(&error)[..]).await?;
        return Ok(None);
    }
    Ok(Some(first))
}

/// Returns the authentication plugin and the client's response. A client that used an unsupported plugin is
/// asked to switch to `mysql_native_password`.
async fn auth_response(
    connection: &mut ClientConnection,
    login: &Login,
    nonce: &[u8; NONCE_BYTES],
) -> Result<(&'static str, Vec<u8>), SessionEnd> {
    let (plugin, response) = match login.plugin.as_str() {
        // A client that names no plugin supports only the oldest one.
        "" | MYSQL_NATIVE_PASSWORD => (MYSQL_NATIVE_PASSWORD, login.auth.clone()),
        CACHING_SHA2_PASSWORD => (CACHING_SHA2_PASSWORD, login.auth.clone()),
        _ => {
            connection.send(&auth_switch_request(nonce)[..]).await?;
            let response = read_packet(&mut **connection).await?.to_vec();
            (MYSQL_NATIVE_PASSWORD, response)
        }
    };
    let is_empty = response == ZERO_RESPONSE;
    Ok((plugin, if is_empty { vec![] } else { response }))
}

/// Returns the packet that requests a response of `mysql_native_password` to this nonce.
pub(super) fn auth_switch_request(nonce: &[u8; NONCE_BYTES]) -> Vec<u8> {
    let plugin = MYSQL_NATIVE_PASSWORD.as_bytes();
    [&[EOF_HEADER], plugin, &[0], nonce, &[0]].concat()
}

fn access_denied(user: &str, host: &str, response: &[u8]) -> SqlError {
    let with_password = if response.is_empty() { "NO" } else { "YES" };
    let message =
        format!("Access denied for user '{user}'@'{host}' (using password: {with_password})");
    SqlError::new(code::ER_ACCESS_DENIED, message)
}

/// Returns random bytes for a login. None of them is zero, since a zero byte ends the nonce in a packet.
pub(super) fn random_nonce() -> Result<[u8; NONCE_BYTES], PacketError> {
    let mut nonce = [0u8; NONCE_BYTES];
    getrandom::fill(&mut nonce)
        .map_err(|_| PacketError::Protocol("no random numbers are to be had"))?;
    for byte in &mut nonce {
        *byte = *byte % 127 + 1;
    }
    Ok(nonce)
}
