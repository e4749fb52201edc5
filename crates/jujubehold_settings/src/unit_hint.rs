//! Conversion of a duration written with a unit, for the advice to write milliseconds.

/// Units that operators commonly write, with their length in milliseconds.
const UNITS_MS: [(&str, u64); 8] = [
    ("milliseconds", 1),
    ("ms", 1),
    ("seconds", 1_000),
    ("sec", 1_000),
    ("min", 60_000),
    ("s", 1_000),
    ("m", 60_000),
    ("h", 3_600_000),
];

/// Returns the whole number of milliseconds that `text`, a number with a unit, most likely means.
///
/// Returns `None` if `text` is not a whole number with a known unit, or if the result overflows.
pub(crate) fn suggested_milliseconds(text: &str) -> Option<u64> {
    let (unit, unit_ms) = UNITS_MS.iter().find(|(unit, _)| text.ends_with(unit))?;
    let number: u64 = text.strip_suffix(unit)?.trim().parse().ok()?;
    number.checked_mul(*unit_ms)
}
