//! Challenge-response authentication, which does not send the password: `mysql_native_password` and
//! the fast path of `caching_sha2_password`.

#[cfg(test)]
mod tests;

use sha1::Sha1;
use sha2::{Digest, Sha256};

/// The default plugin before MySQL 8.0, which every client supports.
pub const MYSQL_NATIVE_PASSWORD: &str = "mysql_native_password";
/// The default plugin since MySQL 8.0.
pub const CACHING_SHA2_PASSWORD: &str = "caching_sha2_password";

fn xor(left: impl AsRef<[u8]>, right: impl AsRef<[u8]>) -> Vec<u8> {
    left.as_ref()
        .iter()
        .zip(right.as_ref())
        .map(|(left, right)| left ^ right)
        .collect()
}

/// Returns a client's response, which proves knowledge of the password; `None` for an unknown plugin.
///
/// The response for an empty password is empty.
pub fn auth_response(plugin: &str, password: &str, nonce: &[u8]) -> Option<Vec<u8>> {
    if password.is_empty() {
        return Some(vec![]);
    }
    match plugin {
        MYSQL_NATIVE_PASSWORD => Some(native_password_response(password, nonce)),
        CACHING_SHA2_PASSWORD => Some(caching_sha2_response(password, nonce)),
        _ => None,
    }
}

/// Computes `SHA1(password) XOR SHA1(nonce, SHA1(SHA1(password)))`.
fn native_password_response(password: &str, nonce: &[u8]) -> Vec<u8> {
    let password_hash = Sha1::digest(password);
    let mask = Sha1::new()
        .chain_update(nonce)
        .chain_update(Sha1::digest(password_hash))
        .finalize();
    xor(password_hash, mask)
}

/// Computes `SHA256(password) XOR SHA256(SHA256(SHA256(password)), nonce)`.
fn caching_sha2_response(password: &str, nonce: &[u8]) -> Vec<u8> {
    let password_hash = Sha256::digest(password);
    let mask = Sha256::new()
        .chain_update(Sha256::digest(password_hash))
        .chain_update(nonce)
        .finalize();
    xor(password_hash, mask)
}

/// Returns whether `response` proves knowledge of the password.
///
/// Responses of the expected length are compared in constant time, so that the timing reveals
/// nothing about the password.
pub fn verify_auth_response(plugin: &str, password: &str, nonce: &[u8], response: &[u8]) -> bool {
    let Some(expected) = auth_response(plugin, password, nonce) else {
        return false;
    };
    if expected.len() != response.len() {
        return false;
    }
    let difference = expected
        .iter()
        .zip(response)
        .fold(0, |difference, (expected, given)| {
            difference | (expected ^ given)
        });
    difference == 0
}
