use super::*;

#[test]
fn the_text_has_a_line_for_each_metric_under_its_public_name() {
    let mut metrics = Metrics::new(2);
    metrics.record_answer(0, RequestOutcome::Success);
    metrics.record_answer(0, RequestOutcome::Success);
    metrics.record_answer(1, RequestOutcome::Overload);
    metrics.record_answer(1, RequestOutcome::Error);
    metrics.record_answer(2, RequestOutcome::Error);
    metrics.dispatches = 3;
    metrics.unanswered_requests = 4;
    metrics.endpoints = 5;
    metrics.unavailable_endpoints = 6;
    metrics.rejected_gossip_messages = 7;
    let classes = ["lookup".to_string(), "load".to_string()];
    assert_eq!(
        metrics.text(&classes),
        "replies.lookup.success=2\nreplies.lookup.overload=0\nreplies.lookup.error=0\n\
         replies.load.success=0\nreplies.load.overload=1\nreplies.load.error=1\n\
         dispatches=3\nconcurrent=4\ntargets=5\ntargets_disabled=6\npeer_messages_refused=7\n"
    );
}
