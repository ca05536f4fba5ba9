//! Parses requests from clients' frames, and reserves what a request holds while it is open.

use crate::config::position_of;
use crate::core::NewRequest;
use crate::decision::model::{ClassId, Millis};
use crate::dispatch::{RequestRouter, Upstream};
use crate::frontend::estimates::{
    MAX_ESTIMATED_MEMORY_MB, MAX_ESTIMATED_WORK_MS, MAX_TIME_LIMIT_MS,
};
use crate::frontend::frames::request_ids::{Executions, IdConflict, ReservedId};
use crate::frontend::frames::statistics::RejectionCause;
use crate::protocol::frames::{Fields, FrameError, parse_fields};
use crate::protocol::statement;
use crate::transport::client_socket::SocketProbe;
use crate::transport::memory_budget::Reservation;
use crate::transport::pending_input::PendingInput;
use bytes::Bytes;

/// Length of a request id, in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// A request as it is forwarded to engines: id, class and statement are unchanged.
#[derive(Debug)]
pub struct Work {
    /// The request id.
    pub txn: String,
    /// The name of the request's class.
    pub class: String,
    /// The statement.
    pub statement: Bytes,
    _memory: Reservation,
    id: ReservedId,
    client: Option<SocketProbe>,
}

impl Work {
    /// Creates work that counts towards no budget and reserves no id.
    pub fn unbudgeted(txn: &str, class: &str, statement: Bytes) -> Self {
        Work {
            txn: txn.into(),
            class: class.into(),
            statement,
            _memory: Reservation::default(),
            id: ReservedId::default(),
            client: None,
        }
    }

    /// Attaches the reservations, which are released when the work is dropped, and the socket of its client.
    pub(super) fn attach(&mut self, memory: Reservation, id: ReservedId, client: SocketProbe) {
        self._memory = memory;
        self.id = id;
        self.client = Some(client);
    }

    /// Returns the record of the request's attempts.
    pub fn executions(&self) -> Executions {
        self.id.executions()
    }

    /// Checks for unread input or a close on the client's socket. Called before an attempt starts, since the
    /// client may have disconnected.
    pub fn client_input(&self) -> PendingInput {
        self.client
            .as_ref()
            .map_or(PendingInput::Empty, SocketProbe::pending_input)
    }
}

/// The reason why a request is answered without being opened.
pub(super) struct InvalidRequest {
    /// The class that the request names, if it is known.
    pub(super) class: Option<ClassId>,
    /// The cause that is counted.
    pub(super) cause: RejectionCause,
    /// The error message to the client.
    pub(super) reason: String,
}

impl InvalidRequest {
    /// Describes a request beyond those that may be open on its connection.
    pub(super) fn too_many_open(class: ClassId) -> Self {
        InvalidRequest {
            class: Some(class),
            cause: RejectionCause::TooManyOpen,
            reason: "too many requests are open on the connection".to_string(),
        }
    }

    /// Describes a request whose id cannot be used.
    pub(super) fn id_conflict(class: ClassId, conflict: IdConflict) -> Self {
        let (cause, reason) = match conflict {
            IdConflict::Open => (RejectionCause::IdIsOpen, "a request of this id is open"),
            IdConflict::MayHaveRun => (
                RejectionCause::IdMayHaveRun,
                "a request of this id may have run",
            ),
            IdConflict::Unknown => (
                RejectionCause::IdsUnavailable,
                "the ids of the other process are not known",
            ),
        };
        InvalidRequest {
            class: Some(class),
            cause,
            reason: format!("txn: {reason}"),
        }
    }
}

/// Returns the class that a request names, or `None` if the frame is malformed or the class is unknown.
pub(super) fn parse_class<U: Upstream>(
    router: &RequestRouter<U>,
    payload: &[u8],
) -> Option<ClassId> {
    let fields = RequestFields(parse_fields(payload).ok()?);
    fields.class(router).ok()
}

/// Parses a request that arrived at `arrived`, in milliseconds of the process clock.
///
/// # Errors
/// The payload ends inside its fields. Invalid fields are returned as [`InvalidRequest`].
pub(super) fn parse_request<U: Upstream>(
    router: &RequestRouter<U>,
    payload: &Bytes,
    arrived: Millis,
) -> Result<Result<(NewRequest, Work), InvalidRequest>, FrameError> {
    let fields = RequestFields(parse_fields(payload)?);
    let statement = statement_of(payload, fields.0.bytes);
    let class = match fields.class(router) {
        Ok(class) => class,
        Err(reason) => {
            return Ok(Err(InvalidRequest {
                class: None,
                cause: RejectionCause::Invalid,
                reason,
            }));
        }
    };
    let parsed = fields.request(router, class, statement, arrived);
    Ok(parsed.map_err(|reason| InvalidRequest {
        class: Some(class),
        cause: RejectionCause::Invalid,
        reason,
    }))
}

/// Returns the statement behind the fields. If the fields are most of the payload, they are not kept with it.
fn statement_of(payload: &Bytes, field_bytes: usize) -> Bytes {
    let statement = payload.slice(field_bytes..);
    if statement.len() >= field_bytes {
        return statement;
    }
    Bytes::copy_from_slice(&statement)
}

/// Names and values of a request's fields. Errors of the methods are messages to the client.
struct RequestFields<'a>(Fields<'a>);

impl RequestFields<'_> {
    fn get(&self, name: &str) -> Option<&str> {
        let mut entries = self.0.entries.iter();
        let (_, value) = entries.find(|(field, _)| field == name)?;
        Some(value)
    }

    fn required(&self, name: &str) -> Result<&str, String> {
        self.get(name)
            .ok_or_else(|| format!("the field `{name}` is missing"))
    }

    /// Parses a number from 0 to `max`. A request with an absurd number fails, since the number would distort
    /// the estimates of all other requests.
    fn number(&self, name: &str, max: f64) -> Result<Option<f64>, String> {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        match value.trim().parse::<f64>() {
            Ok(number) if (0.0..=max).contains(&number) => Ok(Some(number)),
            _ => Err(format!("{name}: {value:?} is no number from 0 to {max}")),
        }
    }

    fn class<U: Upstream>(&self, router: &RequestRouter<U>) -> Result<ClassId, String> {
        let class = self.required("verb")?;
        position_of(&router.names().classes, class)
            .ok_or_else(|| format!("verb: no class is named {class:?}"))
    }

    fn tenant<U: Upstream>(&self, router: &RequestRouter<U>) -> Result<Option<usize>, String> {
        let tenants = &router.names().tenants;
        if tenants.is_empty() {
            return Ok(None);
        }
        let tenant = self.required("team")?;
        match position_of(tenants, tenant) {
            Some(index) => Ok(Some(index)),
            None => Err(format!("team: no tenant is named {tenant:?}")),
        }
    }

    fn request<U: Upstream>(
        &self,
        router: &RequestRouter<U>,
        class: ClassId,
        statement: Bytes,
        arrived: Millis,
    ) -> Result<(NewRequest, Work), String> {
        let txn = self.required("txn")?;
        if txn.len() != ID_DIGITS || !txn.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(format!("txn: {txn:?} is not 16 hex digits"));
        }
        let limit = self.number("limit", MAX_TIME_LIMIT_MS)?;
        let limit = limit.ok_or("the field `limit` is missing")?;
        let tenant = self.tenant(router)?;
        if !is_statement(&statement) {
            return Err("the statement is no text".to_string());
        }
        let request = NewRequest {
            class,
            tenant,
            group: statement::table_group(&statement),
            deadline: arrived + limit,
            work: self
                .number("cpu", MAX_ESTIMATED_WORK_MS)?
                .filter(|work| *work > 0.0),
            memory_mb: self
                .number("mem", MAX_ESTIMATED_MEMORY_MB)?
                .filter(|memory| *memory > 0.0),
        };
        let work = Work::unbudgeted(txn, self.required("verb")?, statement);
        Ok((request, work))
    }
}

/// Returns whether engines can read a statement. On any other, they close the connection, with all requests
/// that are open on it.
fn is_statement(statement: &[u8]) -> bool {
    let is_unreadable = |c: char| c.is_control() && !c.is_whitespace();
    std::str::from_utf8(statement)
        .is_ok_and(|text| !text.trim().is_empty() && !text.contains(is_unreadable))
}
