use super::*;

/// Verifies responses as the public specification of the server does: it stores only the hash of
/// the password's hash, recovers the hash from the response with it, and hashes the hash again.
#[test]
fn response_is_verified_by_the_stored_hash_only() {
    let nonce = [7u8; 20];
    let response = auth_response(MYSQL_NATIVE_PASSWORD, "secret", &nonce).unwrap();
    let stored = Sha1::digest(Sha1::digest("secret"));
    let mask = Sha1::new()
        .chain_update(nonce)
        .chain_update(stored)
        .finalize();
    assert_eq!(Sha1::digest(xor(&response, mask)), stored);
    let response = auth_response(CACHING_SHA2_PASSWORD, "secret", &nonce).unwrap();
    let stored = Sha256::digest(Sha256::digest("secret"));
    let mask = Sha256::new()
        .chain_update(stored)
        .chain_update(nonce)
        .finalize();
    assert_eq!(Sha256::digest(xor(&response, mask)), stored);
    for plugin in [MYSQL_NATIVE_PASSWORD, CACHING_SHA2_PASSWORD] {
        let response = auth_response(plugin, "secret", &nonce).unwrap();
        assert!(verify_auth_response(plugin, "secret", &nonce, &response));
        assert!(!verify_auth_response(plugin, "Secret", &nonce, &response));
        assert!(!verify_auth_response(plugin, "secret", &[8; 20], &response));
        assert!(!verify_auth_response(plugin, "secret", &nonce, &[]));
    }
}
