//! The counters of the hosts in this process.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Starts counting; a process that counts elsewhere keeps its own recorder, and the counts here
/// stay at zero.
pub fn start_counting() {
    RECORDER.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// The sum of a counter over all hosts in this process, of those of its series that hold `label`.
pub fn counter_sum(name: &str, label: &str) -> u64 {
    let Some(Some(recorder)) = RECORDER.get() else {
        return 0;
    };
    recorder
        .render()
        .lines()
        .filter(|line| line.starts_with(name) && line.contains(label))
        .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
        .map(|value| {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a counter is a whole number that is not negative"
            )]
            let count = value as u64;
            count
        })
        .sum()
}

/// Reads that replicas answered, and reads that any instance answered.
pub fn read_counts() -> (u64, u64) {
    let replicas = counter_sum("jujubehold_reads_total", "role=\"replica\"");
    let primaries = counter_sum("jujubehold_reads_total", "role=\"primary\"");
    (replicas, replicas + primaries)
}
