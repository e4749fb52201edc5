//! Tests when a draining host ends what it still does.

use std::time::Duration;

use jujubehold_core::drain_schedule::DrainSchedule;

// Guards against an end that leaves no time before the platform kills the process, and against requests
// that get no outcome before it.
#[test]
fn everything_is_answered_before_the_process_has_to_end() {
    let begun_at = Duration::from_secs(100);
    let timeout = Duration::from_secs(6);
    let schedule = DrainSchedule::new(begun_at, timeout);
    let points = [
        schedule.end_sessions_at(),
        schedule.close_transactions_at(),
        schedule.answer_by(),
        schedule.exit_by(),
        begun_at + timeout,
    ];
    assert!(
        points.is_sorted_by(|earlier, later| earlier < later),
        "{points:?}"
    );
    // Callers have the first half of the time to end a transaction.
    assert!(schedule.close_transactions_at() >= begun_at + timeout / 2);
    // In the last sixth a request may be ended whose instance still works.
    assert!(schedule.answer_by() >= begun_at + timeout * 5 / 6);
}
