use super::*;

#[test]
fn drained_engines_outlive_their_process_whatever_their_ids() {
    let folder = std::env::temp_dir().join(format!("hitchwinch-shared-{}", std::process::id()));
    let (first, second) = (
        InstanceRegistry::open(Some(&folder)).unwrap(),
        InstanceRegistry::open(Some(&folder)).unwrap(),
    );
    let odd = "host/../x:80 %é";
    for (one, other) in [(&first, &second), (&second, &first)] {
        one.drain_engine(odd).unwrap();
        one.drain_engine("e1").unwrap();
        other.drain_engine("e1").unwrap();
        assert_eq!(
            other.drained_engines().unwrap().unwrap(),
            [odd, "e1"].map(str::to_string).into()
        );
        other.undrain_engine("e1").unwrap();
        one.undrain_engine("e1").unwrap();
        one.undrain_engine(odd).unwrap();
        assert!(other.drained_engines().unwrap().unwrap().is_empty());
    }
    assert!(
        first.drain_engine(&"x".repeat(300)).is_err(),
        "an id that cannot be recorded is refused"
    );
    std::fs::remove_dir_all(folder).unwrap();
    assert_eq!(decode_engine_id("%4"), None);
}
