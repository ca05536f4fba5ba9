//! The query of `GET /_members`: which instances are reported.

use crate::decision::model::EngineState;
use crate::membership::Member;

/// Instances that one report holds at most; the next call continues after [`super::Report::next`].
pub const MAX_MEMBERS_PER_REPORT: usize = 1000;

/// Which instances are reported, as the call's query says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Query {
    /// At most so many.
    pub limit: Option<usize>,
    /// Only ids after this one.
    pub after: Option<String>,
    /// Only instances of this kind; none: all that are not removed.
    pub filter: Option<MemberFilter>,
}

/// A kind of instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberFilter {
    /// Those that take requests.
    Ready,
    /// Those that take no new requests.
    Draining,
    /// Removed ones whose versions are kept.
    Removed,
    /// Missing ones that are kept in service.
    Preserved,
    /// Those on which sources contradict each other.
    Contradicted,
    /// Restored ones that no source has confirmed.
    Unconfirmed,
}

/// What is wrong with a query.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// The limit is no number, or out of range.
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
    /// Reads `limit=…&after=…&only=…`, escaped as in a form.
    ///
    /// # Errors
    /// An unknown key or a value out of range, by name.
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
