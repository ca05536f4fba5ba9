//! Tests that call the send path directly.

use super::{controller, handle, query};
use crate::decision::model::{Action, Event};

#[test]
fn the_send_path_itself_rejects_a_hedged_request_and_a_query_that_is_finished() {
    let mut controller = controller();
    controller.state.settings.limits.max_attempts = 5;
    let actions = handle(&mut controller, 1.0, Event::Query(query(1)));
    let is_send = |action: &Action| matches!(action, Action::Send { id: 1, .. });
    assert!(actions.iter().any(is_send));
    assert!(
        !controller.start_attempt(1, 0),
        "a second attempt in flight is rejected whoever the caller is"
    );
    controller.state.settings.limits.hedging = true;
    assert!(
        controller.start_attempt(1, 0),
        "a second attempt in flight starts where hedging is allowed"
    );
    handle(&mut controller, 2.0, Event::ClientDisconnected(1));
    assert!(
        !controller.start_attempt(1, 0),
        "no attempt starts after the request has finished"
    );
}
