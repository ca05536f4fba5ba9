use super::*;

#[test]
fn all_shares_together_are_within_the_limit() {
    for limit in 64..5000 {
        let s = Shares::of(limit, 1);
        assert!(
            OWN + s.clients + s.last + s.callers + s.engines <= limit,
            "{limit}: {s:?}"
        );
        assert!(
            s.clients > limit / 3,
            "the protocol's third: {limit}: {s:?}"
        );
        assert!(
            s.callers > 1 && s.last > 0 && s.engines >= ENGINES,
            "{limit}: {s:?}"
        );
    }
    for limit in 128..5000 {
        let s = Shares::of(limit, 2);
        assert!(
            2 * (OWN + s.clients + s.last + s.callers + s.engines) <= limit,
            "{limit}: {s:?}"
        );
    }
    assert_eq!(
        Shares::of(64, 1),
        Shares {
            clients: 25,
            last: 6,
            callers: 4,
            engines: 9
        }
    );
    assert_eq!(
        Shares::of(1024, 1),
        Shares {
            clients: 409,
            last: 102,
            callers: 24,
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
    assert!(within(usize::MAX, 0) >= 64 && within(64, 0) == 64 && within(64, 3) == 61);
}
