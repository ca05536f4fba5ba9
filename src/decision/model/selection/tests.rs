use super::*;

#[test]
fn the_smallest_are_sorted_by_key_then_index() {
    let keys = [5, 1, 3, 1, 4, 0];
    let selected = smallest_by_key((0..6).collect(), 4, |index| keys[index]);
    assert_eq!(selected, [5, 1, 3, 2]);
    assert_eq!(smallest_by_key(vec![2, 0], 4, |index| keys[index]), [2, 0]);
}
