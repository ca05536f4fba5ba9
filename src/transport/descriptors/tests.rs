use super::*;

#[test]
fn sum_of_all_budgets_is_within_the_limit() {
    for limit in 64..5000 {
        let budget = DescriptorBudget::per_process(limit, 1);
        assert!(
            RESERVED_DESCRIPTORS
                + budget.clients
                + budget.shutdown_clients
                + budget.operators
                + budget.engines
                <= limit,
            "{limit}: {budget:?}"
        );
        assert!(
            budget.clients > limit / 3,
            "the protocol allows clients a third of the limit: {limit}: {budget:?}"
        );
        assert!(
            budget.operators > 1 && budget.shutdown_clients > 0 && budget.engines >= MIN_ENGINES,
            "{limit}: {budget:?}"
        );
    }
    for limit in 128..5000 {
        let budget = DescriptorBudget::per_process(limit, 2);
        assert!(
            2 * (RESERVED_DESCRIPTORS
                + budget.clients
                + budget.shutdown_clients
                + budget.operators
                + budget.engines)
                <= limit,
            "{limit}: {budget:?}"
        );
    }
    assert_eq!(
        DescriptorBudget::per_process(64, 1),
        DescriptorBudget {
            clients: 25,
            shutdown_clients: 6,
            operators: 4,
            engines: 9
        }
    );
    assert_eq!(
        DescriptorBudget::per_process(1024, 1),
        DescriptorBudget {
            clients: 409,
            shutdown_clients: 102,
            operators: 24,
            engines: 469
        }
    );
}

#[test]
fn system_limit_is_parsed_and_a_missing_one_does_not_constrain() {
    let text = "Limit                     Soft Limit           Hard Limit           Units\n\
                Max processes             1024                 1024                 processes\n\
                Max open files            64                   524288               files\n";
    assert_eq!(parse_open_files_limit(text), Some(64));
    assert_eq!(
        parse_open_files_limit(
            "Max open files            unlimited            unlimited            files\n"
        ),
        None
    );
    assert_eq!(parse_open_files_limit(""), None);
    assert!(
        effective_limit(usize::MAX, 0) >= 64
            && effective_limit(64, 0) == 64
            && effective_limit(64, 3) == 61
    );
}
