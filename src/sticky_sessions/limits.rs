//! The configured limits of sticky sessions.

use crate::decision::model::Millis;

/// Limits on the lifetime and the number of sticky sessions.
#[derive(Clone, Debug, PartialEq)]
pub struct StickySessionLimits {
    /// Time without a statement after which a session expires, in milliseconds.
    pub idle_timeout: Millis,
    /// Maximum lifetime of a session, in milliseconds.
    pub max_lifetime: Millis,
    /// Time that a session may continue after its engine starts to drain, in milliseconds.
    pub drain_timeout: Millis,
    /// Maximum number of sticky sessions of all tenants together.
    pub max_sessions: usize,
    /// Maximum number of sticky sessions of one tenant.
    pub max_sessions_per_tenant: usize,
}
