//! The processor time that this process has used.

use std::time::Duration;

/// The length of a clock tick in `/proc`; Linux counts in hundredths of a second.
const TICK: Duration = Duration::from_millis(10);
/// The index of user time, which system time follows, among the fields after the program's name.
const USER_TIME_FIELD: usize = 11;

/// Returns the processor time that this process has used.
///
/// # Errors
/// Returns an error if the system does not report it.
pub(crate) fn processor_time() -> std::io::Result<Duration> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields = stat
        .rsplit_once(") ")
        .map(|(_, rest)| rest)
        .unwrap_or_default();
    let ticks: u32 = fields
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|field| field.parse::<u32>().ok())
        .sum();
    Ok(TICK * ticks)
}
