use super::*;

#[test]
fn a_limit_is_infinite_until_it_decreases() {
    let mut limit = AimdLimit::default();
    limit.increase(4.0);
    assert!(limit.is_unlimited() && limit.may_decrease(0.0, 200.0));
    limit.decrease(0.0, 8.0);
    assert!(!limit.may_decrease(199.0, 200.0) && limit.may_decrease(200.0, 200.0));
    limit.increase(4.0);
    assert_eq!(
        limit.threads(),
        9.0,
        "grows by 2 for each full limit of threads served"
    );
}

#[test]
fn a_limit_below_one_thread_grows_as_if_it_were_one() {
    let mut limit = AimdLimit::default();
    limit.decrease(0.0, 0.5);
    limit.increase(1.0);
    assert_eq!(limit.threads(), 2.5);
}
