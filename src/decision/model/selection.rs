//! Partial sorting.

#[cfg(test)]
mod tests;

/// Returns the `count` indices with the smallest `key`, in ascending order; equal keys are ordered
/// by index.
pub(crate) fn smallest_by_key<K: Ord>(
    indices: Vec<usize>,
    count: usize,
    key: impl Fn(usize) -> K,
) -> Vec<usize> {
    let mut keyed: Vec<(K, usize)> = indices
        .into_iter()
        .map(|index| (key(index), index))
        .collect();
    if keyed.len() > count {
        keyed.select_nth_unstable(count);
        keyed.truncate(count);
    }
    keyed.sort_unstable();
    keyed.into_iter().map(|(_, index)| index).collect()
}
