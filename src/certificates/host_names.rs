//! Selection of a certificate by the host name of a TLS client hello (SNI).

#[cfg(test)]
mod tests;

/// Returns whether a DNS name of a certificate matches this host, ignoring case. `*.` matches
/// exactly one label.
pub fn name_matches_host(name: &str, host: &str) -> bool {
    let wildcard_parent = name.strip_prefix("*.");
    match (wildcard_parent, host.split_once('.')) {
        (Some(parent), Some((label, host_parent))) => {
            !label.is_empty() && parent.eq_ignore_ascii_case(host_parent)
        }
        _ => name.eq_ignore_ascii_case(host),
    }
}

/// Returns the index of the certificate for a client that requests this host: the first one with a
/// matching name, or else 0.
///
/// `certificate_names` are the DNS names of each certificate.
pub fn select_for_host<'a>(
    certificate_names: impl IntoIterator<Item = &'a [String]>,
    host: Option<&str>,
) -> usize {
    let Some(host) = host else { return 0 };
    certificate_names
        .into_iter()
        .position(|names| names.iter().any(|name| name_matches_host(name, host)))
        .unwrap_or(0)
}
