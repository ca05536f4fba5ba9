use super::*;

#[test]
fn status_is_parsed_only_with_both_fields_valid() {
    let status = "Name:\thitchwinch\nVmHWM:\t   14120 kB\nVmRSS:\t   12044 kB\nThreads:\t1\n";
    assert_eq!(
        parse_status(status),
        Some(Memory {
            resident_kb: 12044,
            peak_kb: 14120
        })
    );
    assert_eq!(parse_status("VmRSS:\t12044 kB\n"), None, "VmHWM is missing");
    assert_eq!(
        parse_status("VmRSS:\tmany kB\nVmHWM:\t1 kB\n"),
        None,
        "VmRSS is not a number"
    );
    assert_eq!(
        parse_status("VmRSS:\t12044\nVmHWM:\t1 kB\n"),
        None,
        "VmRSS has no unit"
    );
}

#[test]
fn current_memory_of_this_process_is_reported() {
    let memory = current().expect("Linux reports the memory of its processes");
    assert!(
        memory.resident_kb > 0 && memory.peak_kb >= memory.resident_kb,
        "{memory:?}"
    );
}
