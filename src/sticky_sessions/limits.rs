//! The configured limits of sticky sessions.

use crate::decision::model::Millis;

/// Limits on the lifetime and the number of sticky sessions.
#[derive(Clone, Debug, PartialEq)]
pub struct StickySessionLimits {
    /// A session without a statement for this long expires, in milliseconds.
    pub idle_timeout: Millis,
    /// No session lives longer than this, in milliseconds.
    pub max_lifetime: Millis,
    /// How long a session may go on after its engine starts to drain, in milliseconds.
    pub drain_timeout: Millis,
    /// Sticky sessions of all tenants together.
    pub max_sessions: usize,
    /// Sticky sessions of one tenant.
    pub max_sessions_per_tenant: usize,
}
