//! Vectors of keys and values that are sorted by key, without duplicates.

/// The value of `key`, added with its default if it is absent.
pub fn entry<'a, K: Clone + Ord, V: Default>(entries: &'a mut Vec<(K, V)>, key: &K) -> &'a mut V {
    let index = match entries.binary_search_by(|(known, _)| known.cmp(key)) {
        Ok(index) => index,
        Err(index) => {
            entries.insert(index, (key.clone(), V::default()));
            index
        }
    };
    &mut entries[index].1
}
