//! The counters of the hosts in this process.

use jujubehold_core::failover::Phases;
use jujubehold_host::metrics_page;

/// Starts counting.
pub fn start_counting() {
    metrics_page::install();
}

/// The parts of the failovers so far: each part's name, the seconds of all runs, and their number.
pub fn failover_parts() -> Vec<(&'static str, f64, f64)> {
    let page = metrics_page::render();
    let value = |name: &str, part: &str| {
        let start = format!("jujubehold_failover_seconds_{name}{{part=\"{part}\"}} ");
        page.lines()
            .find_map(|line| line.strip_prefix(&start)?.parse::<f64>().ok())
            .unwrap_or_default()
    };
    Phases::default()
        .parts()
        .map(|(part, _)| (part, value("sum", part), value("count", part)))
        .to_vec()
}

/// The sum of a counter over all hosts in this process, of those of its series that hold `label`.
pub fn counter_sum(name: &str, label: &str) -> u64 {
    series(name)
        .into_iter()
        .filter(|(labels, _)| labels.contains(label))
        .map(|(_, count)| count)
        .sum()
}

/// The series of a counter: its labels in braces, and its count.
pub fn series(name: &str) -> Vec<(String, u64)> {
    metrics_page::render()
        .lines()
        .filter_map(|line| line.strip_prefix(name))
        .filter_map(|rest| rest.rsplit_once(' '))
        .filter(|(labels, _)| labels.is_empty() || labels.starts_with('{'))
        .filter_map(|(labels, value)| Some((labels.to_owned(), value.parse().ok()?)))
        .collect()
}

/// Reads that replicas answered, and reads that any instance answered.
pub fn read_counts() -> (u64, u64) {
    let replicas = counter_sum("jujubehold_reads_total", "role=\"replica\"");
    let primaries = counter_sum("jujubehold_reads_total", "role=\"primary\"");
    (replicas, replicas + primaries)
}
