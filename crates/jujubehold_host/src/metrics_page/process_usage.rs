//! The processor time and memory of the process, as reported by the operating system.

use metrics::gauge;

/// The clock ticks per second in `/proc`, which are the same on every Linux system.
const TICKS_PER_SECOND: f64 = 100.0;
/// The index of the user time in `/proc/self/stat`, counted from the field after the process
/// name. The system time follows it.
const USER_TICKS_FIELD: usize = 11;

/// Processor time and memory of this process.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct ProcessUsage {
    processor_seconds: f64,
    resident_bytes: f64,
}

impl ProcessUsage {
    /// Reads the current usage; a value that can't be read is 0.
    pub(crate) fn read() -> Self {
        let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        Self {
            processor_seconds: processor_ticks(&stat).unwrap_or(0.0) / TICKS_PER_SECOND,
            resident_bytes: resident_kib(&status).unwrap_or(0.0) * 1024.0,
        }
    }

    /// Publishes the usage as metrics.
    pub(crate) fn publish(self) {
        gauge!("process_cpu_seconds_total").set(self.processor_seconds);
        gauge!("process_resident_memory_bytes").set(self.resident_bytes);
    }
}

fn processor_ticks(stat: &str) -> Option<f64> {
    // The process name, in parentheses, may contain spaces.
    let (_, after_name) = stat.rsplit_once(") ")?;
    let mut fields = after_name.split(' ').skip(USER_TICKS_FIELD);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn resident_kib(status: &str) -> Option<f64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_ascii_whitespace().nth(1)?.parse().ok()
}
