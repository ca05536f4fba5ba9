use super::*;

#[test]
fn all_shares_together_are_within_the_limit() {
    for limit in 64..5000 {
        let s = DescriptorBudget::per_process(limit, 1);
        assert!(
            RESERVED + s.clients + s.final_clients + s.operators + s.engines <= limit,
            "{limit}: {s:?}"
        );
        assert!(
            s.clients > limit / 3,
            "the protocol's third: {limit}: {s:?}"
        );
        assert!(
            s.operators > 1 && s.final_clients > 0 && s.engines >= MIN_ENGINES,
            "{limit}: {s:?}"
        );
    }
    for limit in 128..5000 {
        let s = DescriptorBudget::per_process(limit, 2);
        assert!(
            2 * (RESERVED + s.clients + s.final_clients + s.operators + s.engines) <= limit,
            "{limit}: {s:?}"
        );
    }
    assert_eq!(
        DescriptorBudget::per_process(64, 1),
        DescriptorBudget {
            clients: 25,
            final_clients: 6,
            operators: 4,
            engines: 9
        }
    );
    assert_eq!(
        DescriptorBudget::per_process(1024, 1),
        DescriptorBudget {
            clients: 409,
            final_clients: 102,
            operators: 24,
            engines: 469
        }
    );
}

#[test]
fn the_machines_limit_is_read_and_what_tells_none_binds_nothing() {
    let text = "Limit                     Soft Limit           Hard Limit           Units\n\
                Max processes             1024                 1024                 processes\n\
                Max open files            64                   524288               files\n";
    assert_eq!(parse(text), Some(64));
    assert_eq!(
        parse("Max open files            unlimited            unlimited            files\n"),
        None
    );
    assert_eq!(parse(""), None);
    assert!(
        effective_limit(usize::MAX, 0) >= 64
            && effective_limit(64, 0) == 64
            && effective_limit(64, 3) == 61
    );
}
