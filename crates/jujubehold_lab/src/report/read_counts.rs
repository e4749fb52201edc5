//! Reads the counters of the hosts in this process.

use jujubehold_core::failover::Phases;
use jujubehold_host::metrics_page;

/// Installs the recorder of the hosts' metrics.
pub fn start_counting() {
    metrics_page::install();
}

/// Returns the parts of the failovers so far: the name, the total seconds and the count of each
/// part.
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

/// Returns the sum of a counter over all hosts in this process, for its series that contain
/// `label`.
pub fn counter_sum(name: &str, label: &str) -> u64 {
    series(name)
        .into_iter()
        .filter(|(labels, _)| labels.contains(label))
        .map(|(_, count)| count)
        .sum()
}

/// Returns the series of a counter: the labels in braces and the count.
pub fn series(name: &str) -> Vec<(String, u64)> {
    metrics_page::render()
        .lines()
        .filter_map(|line| line.strip_prefix(name))
        .filter_map(|rest| rest.rsplit_once(' '))
        .filter(|(labels, _)| labels.is_empty() || labels.starts_with('{'))
        .filter_map(|(labels, value)| Some((labels.to_owned(), value.parse().ok()?)))
        .collect()
}

/// Returns the number of reads that replicas answered and the number that any instance answered.
pub fn read_counts() -> (u64, u64) {
    let replicas = counter_sum("jujubehold_reads_total", "role=\"replica\"");
    let primaries = counter_sum("jujubehold_reads_total", "role=\"primary\"");
    (replicas, replicas + primaries)
}
