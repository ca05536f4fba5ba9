//! `[[user]]` and `[[tenant]]`: users that may connect, and the tenants whose quotas their statements use.

use crate::config::{ConfigError, Problem, position_of};
use crate::decision::model::Tenant;
use serde::Deserialize;
use std::collections::HashMap;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawUser {
    name: String,
    password: String,
    certificate: Option<String>,
    tenant: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTenant {
    name: String,
    quota_per_s: Option<f64>,
}

/// A user of the MySQL frontend.
#[derive(Clone, Debug)]
pub struct User {
    /// Password of the user.
    pub password: String,
    /// Common name that the client's certificate must have; `None` if no certificate is required.
    pub certificate_common_name: Option<String>,
    /// Tenant whose quota the user's statements use.
    pub tenant: Option<usize>,
}

/// Whether `tls.client_ca` names authorities that may sign clients' certificates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientCertificates {
    Trusted,
    Untrusted,
}

/// Validates the users and returns them by name.
pub(super) fn check_users(
    raw: Vec<RawUser>,
    tenants: &[String],
    client_certificates: ClientCertificates,
) -> Result<HashMap<String, User>, ConfigError> {
    let mut users = HashMap::new();
    for (index, raw) in raw.into_iter().enumerate() {
        if raw.certificate.is_some() && client_certificates == ClientCertificates::Untrusted {
            return Err(ConfigError::combination(
                format!("user[{index}].certificate"),
                "requires tls.client_ca",
            ));
        }
        let tenant = raw.tenant.map(|name| tenant_id(index, name, tenants));
        let user = User {
            password: raw.password,
            certificate_common_name: raw.certificate,
            tenant: tenant.transpose()?,
        };
        if users.insert(raw.name, user).is_some() {
            let key = format!("user[{index}].name");
            return Err(ConfigError::invalid(key, Problem::Duplicate));
        }
    }
    Ok(users)
}

fn tenant_id(index: usize, name: String, tenants: &[String]) -> Result<usize, ConfigError> {
    position_of(tenants, &name).ok_or_else(|| {
        let problem = Problem::UnknownName {
            section: "tenant",
            name,
        };
        ConfigError::invalid(format!("user[{index}].tenant"), problem)
    })
}

/// Returns the names of the tenants, in the order of the file.
pub(super) fn tenant_names(tenants: &[RawTenant]) -> Vec<String> {
    tenants.iter().map(|tenant| tenant.name.clone()).collect()
}

/// Converts a tenant to that of the decision module. A tenant without a quota is unlimited.
pub(super) fn decision_tenant(raw: &RawTenant) -> Tenant {
    Tenant {
        quota_per_s: raw.quota_per_s.unwrap_or(f64::MAX),
    }
}
