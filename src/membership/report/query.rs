//! The query string of `GET /_members`, which selects the instances to report.

use crate::decision::model::EngineState;
use crate::membership::Member;

/// Maximum number of instances in one report; the next call continues after [`super::Report::next`].
pub const MAX_MEMBERS_PER_REPORT: usize = 1000;

/// Parsed query string of a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Query {
    /// Maximum number of instances; [`MAX_MEMBERS_PER_REPORT`] if absent.
    pub limit: Option<usize>,
    /// Only instances with ids after this one are reported.
    pub after: Option<String>,
    /// Only instances that pass this filter are reported; if absent, all that are not removed.
    pub filter: Option<MemberFilter>,
}

/// Filter of instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberFilter {
    /// Instances that take requests.
    Ready,
    /// Instances that take no new requests.
    Draining,
    /// Removed instances whose versions are kept.
    Removed,
    /// Missing instances that self-preservation keeps in service.
    Preserved,
    /// Instances on which sources contradict each other.
    Contradicted,
    /// Restored instances that no source has confirmed.
    Unconfirmed,
}

/// Error in a query string.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// The limit is not a number, or out of range.
    #[error("limit: {0:?} is no number from 1 to {MAX_MEMBERS_PER_REPORT}")]
    Limit(String),
    /// The filter is unknown.
    #[error("only: {0:?} is none of ready, draining, gone, held, contradicted, unproven")]
    Filter(String),
    /// The key is unknown.
    #[error("{0:?} is none of limit, after, only")]
    UnknownKey(String),
}

impl Query {
    /// Parses `limit=…&after=…&only=…`, in the encoding `application/x-www-form-urlencoded`.
    ///
    /// # Errors
    /// A key is unknown, or a value is out of range; the error names the key.
    pub fn parse(text: &str) -> Result<Self, QueryError> {
        let mut query = Query::default();
        for (key, value) in url::form_urlencoded::parse(text.as_bytes()) {
            match key.as_ref() {
                "limit" => query.limit = Some(parse_limit(&value)?),
                "after" => query.after = Some(value.into_owned()),
                "only" => query.filter = Some(MemberFilter::parse(&value)?),
                other => return Err(QueryError::UnknownKey(other.into())),
            }
        }
        Ok(query)
    }

    pub(super) fn selects(&self, member: &Member) -> bool {
        let Some(filter) = self.filter else {
            return member.state() != EngineState::Gone;
        };
        match filter {
            MemberFilter::Ready => member.state() == EngineState::Ready,
            MemberFilter::Draining => member.state() == EngineState::Draining,
            MemberFilter::Removed => member.state() == EngineState::Gone,
            MemberFilter::Preserved => member.preservation.is_some(),
            MemberFilter::Contradicted => member.resolved.reason.contradicts(),
            MemberFilter::Unconfirmed => member.unconfirmed_since.is_some(),
        }
    }
}

fn parse_limit(value: &str) -> Result<usize, QueryError> {
    value
        .parse()
        .ok()
        .filter(|limit| (1..=MAX_MEMBERS_PER_REPORT).contains(limit))
        .ok_or_else(|| QueryError::Limit(value.to_string()))
}

impl MemberFilter {
    fn parse(value: &str) -> Result<Self, QueryError> {
        match value {
            "ready" => Ok(MemberFilter::Ready),
            "draining" => Ok(MemberFilter::Draining),
            "gone" => Ok(MemberFilter::Removed),
            "held" => Ok(MemberFilter::Preserved),
            "contradicted" => Ok(MemberFilter::Contradicted),
            "unproven" => Ok(MemberFilter::Unconfirmed),
            other => Err(QueryError::Filter(other.into())),
        }
    }
}
