//! Lists the configuration and the instances.

use std::collections::BTreeSet;

use jujubehold_core::directory_progress::StoreRead;

use super::super::instances::{ChangeOrigin, apply_item, apply_removal, listed_instance_keys};
use super::super::store_calls::{STORE_CALL_TIMEOUT, StoreCall, transfer_with_timeout};
use super::follow_error::FollowError;
use crate::prelude::*;
use crate::protocol::{CallProgress, Directory, Store, StoreListing};

/// Lists the directory and applies it. Sets `listed_bytes` to the size of the answers.
pub(super) async fn list_directory<P: Platform>(
    shared: &Shared<P>,
    listed_bytes: &mut u64,
) -> Result<StoreRead, FollowError> {
    let begun_at = shared.now();
    // Both at once: a host that has just started serves no request before it has both.
    let (configuration, instances) = tokio::join!(
        list_prefix(shared, P::Directory::CONFIGURATION_KEY),
        list_prefix(shared, P::Directory::INSTANCES_PREFIX),
    );
    let listings = [configuration?, instances?];
    // The watch starts from the older listing's revision and delivers what changed between the two.
    let revisions = listings.iter().map(|(listing, _)| listing.revision);
    let revision = revisions.min().unwrap_or_default();
    // If the store was restored between the two, its later era makes this host list them again.
    let eras = listings.iter().map(|(listing, _)| listing.era);
    let era = eras.min().unwrap_or_default();
    shared.directory_log.borrow_mut().begin(revision);
    let mut present = BTreeSet::new();
    for (listing, _) in &listings {
        for item in &listing.items {
            present.insert(item.key.to_string());
            apply_item(shared, item, ChangeOrigin::Listing);
        }
    }
    if shared.directory_followed_since.get().is_none() {
        shared.directory_followed_since.set(Some(shared.now()));
    }
    *listed_bytes = listings.iter().map(|(_, bytes)| bytes).sum();
    // Only instances are compared here: the keys of the hosts are listed regularly to prove that
    // the leads are current.
    for key in listed_instance_keys(shared) {
        if !present.contains(&key) {
            apply_removal(shared, &key, revision);
        }
    }
    Ok(StoreRead {
        read_at: begun_at,
        era,
        revision,
    })
}

// Returns the listing and the size of the answers in bytes.
async fn list_prefix<P: Platform>(
    shared: &Shared<P>,
    prefix: &str,
) -> Result<(StoreListing, u64), FollowError> {
    let progress = CallProgress::default();
    let call = shared.store.list(prefix, &progress);
    let listing =
        transfer_with_timeout(shared, StoreCall::List, STORE_CALL_TIMEOUT, &progress, call).await?;
    Ok((listing, progress.received_bytes()))
}
