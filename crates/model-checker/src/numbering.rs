//! Numbers for the objects of a model.

use std::collections::BTreeMap;

/// The lowest number that is no key of a map, so that histories which differ only in numbers lead
/// to the same state.
pub(crate) fn lowest_free_number<K, V>(used: &BTreeMap<K, V>) -> K
where
    K: Copy + Default + Ord + From<u8> + std::ops::Add<Output = K>,
{
    let mut number = K::default();
    while used.contains_key(&number) {
        number = number + K::from(1);
    }
    number
}
