use super::*;
use crate::spool::handles::HANDLE_DIGITS;

const UNKNOWN_HANDLE: &str = "00000000000000000000000000000000";

#[test]
fn a_handle_resolves_for_its_owner_only() {
    let mut handles = HandleTable::default();
    let ann_handle = handles.issue(1, "ann", 0x1234_5678_9abc_def0_1234_5678_9abc_def0);
    let bob_handle = handles.issue(2, "bob", 7);
    assert_eq!(ann_handle.len(), HANDLE_DIGITS);
    assert_eq!(handles.resolve("ann", &ann_handle), Ok(1));
    assert_eq!(handles.resolve("bob", &bob_handle), Ok(2));
    assert_eq!(handles.resolve("ann", &ann_handle.to_uppercase()), Ok(1));
    let other_user = handles.resolve("ann", &bob_handle).unwrap_err();
    let unknown = handles.resolve("ann", UNKNOWN_HANDLE).unwrap_err();
    assert_eq!(
        other_user.to_string(),
        unknown.to_string(),
        "neither the owner nor the existence of a handle is revealed"
    );

    handles.expire(1);
    assert_eq!(
        handles.resolve("ann", &ann_handle),
        Err(ResumeError::Expired)
    );
    assert_eq!(
        handles.resolve("bob", &ann_handle).unwrap_err().to_string(),
        unknown.to_string()
    );
    assert_eq!(
        handles.resolve("ann", "'; drop"),
        Err(ResumeError::Malformed)
    );
    let rejections = HandleRejections {
        other_user: 2,
        unknown: 1,
        expired: 1,
    };
    assert_eq!(
        handles.rejections(),
        rejections,
        "operators see the true reasons"
    );
}

#[test]
fn expired_handles_are_remembered_up_to_a_limit() {
    let mut handles = HandleTable::default();
    let first = handles.issue(1, "ann", 0x1234);
    handles.issue(2, "bob", 7);
    handles.expire(1);
    for offset in 0..5000 {
        let spool = 100 + offset;
        handles.issue(spool, "ann", u128::from(1000 + offset));
        handles.expire(spool);
    }
    assert_eq!(handles.resolve("ann", &first), Err(ResumeError::Unknown));
    assert_eq!(handles.len(), 1);
}
