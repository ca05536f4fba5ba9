use super::*;

#[test]
fn drained_engines_outlive_their_process_whatever_their_ids() {
    let directory = std::env::temp_dir().join(format!("hitchwinch-shared-{}", std::process::id()));
    let (first, second) = (
        InstanceRegistry::open(Some(&directory)).unwrap(),
        InstanceRegistry::open(Some(&directory)).unwrap(),
    );
    let special_id = "host/../x:80 %é";
    for (one, other) in [(&first, &second), (&second, &first)] {
        one.drain_engine(special_id).unwrap();
        one.drain_engine("e1").unwrap();
        other.drain_engine("e1").unwrap();
        assert_eq!(
            other.drained_engines().unwrap().unwrap(),
            [special_id, "e1"].map(str::to_string).into()
        );
        other.undrain_engine("e1").unwrap();
        one.undrain_engine("e1").unwrap();
        one.undrain_engine(special_id).unwrap();
        assert!(other.drained_engines().unwrap().unwrap().is_empty());
    }
    assert!(
        first.drain_engine(&"x".repeat(300)).is_err(),
        "an id that is too long for a file name is rejected"
    );
    std::fs::remove_dir_all(directory).unwrap();
    assert_eq!(decode_engine_id("%4"), None);
}

/// Guards against a process that is taken for another one with the same process id, as in another PID namespace.
#[test]
fn processes_with_the_same_id_are_counted_apart() {
    let parent = std::env::temp_dir().join(format!("hitchwinch-same-id-{}", std::process::id()));
    std::fs::create_dir_all(&parent).unwrap();
    let first = InstanceRegistry::open(Some(&parent)).unwrap();
    let second = InstanceRegistry::open(Some(&parent)).unwrap();
    assert_eq!(first.live_process_count().unwrap(), 2);
    assert_eq!(second.live_process_count().unwrap(), 2);
    drop(first);
    assert_eq!(second.live_process_count().unwrap(), 1);
    std::fs::remove_dir_all(parent).unwrap();
}
