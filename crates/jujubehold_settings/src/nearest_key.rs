//! Suggestions for unknown keys and sections: the closest known name.

/// The suffixes that state the unit of a key.
const UNIT_SUFFIXES: [&str; 2] = ["_ms", "_bytes"];

/// Returns advice for `key`, which is not among `known`.
pub(crate) fn advice_for(key: &str, known: &[&str]) -> String {
    for suffix in UNIT_SUFFIXES {
        let with_unit = format!("{key}{suffix}");
        if known.contains(&with_unit.as_str()) {
            return format!("keys carry their unit, write {with_unit}");
        }
    }
    let all = known.join(", ");
    match nearest(key, known) {
        Some(nearest) => format!("write {nearest} if that is meant; known are {all}"),
        None => format!("write one of: {all}"),
    }
}

/// Returns the name in `known` with the smallest edit distance to `key`, unless that distance
/// exceeds a third of its length.
fn nearest<'a>(key: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|candidate| (edit_distance(key, candidate), *candidate))
        .min()
        .filter(|(edit_distance, candidate)| *edit_distance <= candidate.len() / 3)
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance between two texts.
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut previous: Vec<usize> = (0..=to.len()).collect();
    for (row, from_char) in from.chars().enumerate() {
        let mut current = vec![row + 1];
        for (column, to_char) in to.iter().enumerate() {
            let replaced = previous[column] + usize::from(from_char != *to_char);
            let edited = previous[column + 1].min(current[column]) + 1;
            current.push(replaced.min(edited));
        }
        previous = current;
    }
    previous[to.len()]
}
