//! Reports how old this host's knowledge of the directory is.
//!
//! A host that hears of no change can't tell by itself whether there is none. The age tells a host
//! that is up to date from one that hears nothing.

use jujubehold_core::directory_progress::MAX_UNCONFIRMED_TIME;
use log::{info, warn};
use metrics::gauge;

use crate::metric_names::DIRECTORY_AGE_SECONDS;
use crate::prelude::*;
use crate::shared::millis;

/// How often the age is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Reports the age until the future is dropped.
pub(crate) async fn report_directory_age<P: Platform>(shared: Rc<Shared<P>>) {
    let mut is_old = false;
    loop {
        actix_rt::time::sleep(REPORT_INTERVAL).await;
        if shared.directory_followed_since.get().is_none() {
            continue;
        }
        let now = shared.now();
        let age = shared.directory_age();
        gauge!(DIRECTORY_AGE_SECONDS).set(age.as_secs_f64());
        let was_old = std::mem::replace(&mut is_old, age > MAX_UNCONFIRMED_TIME);
        if is_old && !was_old {
            log_old_directory(&shared, now, age);
        } else if was_old && !is_old {
            info!(now_ms = millis(now); "the directory is confirmed again");
        }
    }
}

fn log_old_directory<P: Platform>(shared: &Shared<P>, now: Monotonic, age: Duration) {
    let source = shared.proof_source();
    let news = shared.directory_progress.borrow().news();
    warn!(source = source.as_deref().unwrap_or("the store"), age_ms = millis(age),
        reached = news.reached, changed = news.changed, now_ms = millis(now);
        "nothing has confirmed the directory lately");
}
