//! Runs the demonstration's installation for callers.

use std::future::Future;
use std::time::Duration;

use jujubehold_core::prelude::*;

use crate::cluster::{Cluster, ClusterSettings};
use crate::error::LabError;
use crate::workload::create_ledger;

const FIRST_WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts an installation, passes instructions for using it to `print`, and keeps it running until
/// `stop` completes.
///
/// # Errors
/// Returns an error if a part cannot be started.
pub async fn serve_demo(
    print: impl FnOnce(&str),
    stop: impl Future<Output = ()>,
) -> Result<(), LabError> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let service = Cluster::service_name(0);
    create_ledger(cluster.caller_address(0), &service, FIRST_WRITE_TIMEOUT).await?;
    print(&usage(&cluster, &service));
    stop.await;
    Ok(())
}

fn usage(cluster: &Cluster, service: &ServiceId) -> String {
    let mut text = String::from("Any PostgreSQL client can connect to any of these:\n\n");
    for host in &cluster.hosts {
        let address = host.caller_address;
        text.push_str("  postgresql://clerk@");
        text.push_str(&address.to_string());
        text.push('/');
        text.push_str(service);
        text.push('\n');
    }
    text.push_str(
        "\nTry:\n\n  INSERT INTO ledger (id, note) VALUES (1, 'stave');\n  \
         SELECT * FROM ledger;\n  SHOW jujubehold.session;\n\n\
         The last statement returns the token, which another host accepts in SET jujubehold.session = '...'.\n",
    );
    text
}
