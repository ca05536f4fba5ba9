use super::*;

#[test]
fn the_smallest_come_in_order_and_equal_ones_by_index() {
    let keys = [5, 1, 3, 1, 4, 0];
    let selected = smallest_by_key((0..6).collect(), 4, |index| keys[index]);
    assert_eq!(selected, [5, 1, 3, 2]);
    assert_eq!(smallest_by_key(vec![2, 0], 4, |index| keys[index]), [2, 0]);
}
