use super::*;

#[test]
fn both_fields_are_read_and_a_missing_one_is_nothing() {
    let status = "Name:\thitchwinch\nVmHWM:\t   14120 kB\nVmRSS:\t   12044 kB\nThreads:\t1\n";
    assert_eq!(
        parse_status(status),
        Some(Memory {
            resident_kb: 12044,
            peak_kb: 14120
        })
    );
    assert_eq!(parse_status("VmRSS:\t12044 kB\n"), None, "no peak");
    assert_eq!(
        parse_status("VmRSS:\tmany kB\nVmHWM:\t1 kB\n"),
        None,
        "no number"
    );
    assert_eq!(
        parse_status("VmRSS:\t12044\nVmHWM:\t1 kB\n"),
        None,
        "no unit"
    );
}

#[test]
fn the_memory_of_this_process_is_read() {
    let memory = current().expect("Linux reports its processes' memory");
    assert!(
        memory.resident_kb > 0 && memory.peak_kb >= memory.resident_kb,
        "{memory:?}"
    );
}
