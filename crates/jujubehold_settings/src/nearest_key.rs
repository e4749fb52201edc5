//! The known name that a mistyped one most likely stands for.

/// The suffixes by which keys carry their unit.
const UNIT_SUFFIXES: [&str; 2] = ["_ms", "_bytes"];

/// Advice for `key`, which is none of `known`.
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

/// The one of `known` that takes the fewest edits, if these are few for its length.
fn nearest<'a>(key: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|candidate| (edits(key, candidate), *candidate))
        .min()
        .filter(|(edits, candidate)| *edits <= candidate.len() / 3)
        .map(|(_, candidate)| candidate)
}

/// The Levenshtein distance.
fn edits(from: &str, to: &str) -> usize {
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
