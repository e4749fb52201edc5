//! Writes under a caller's name, which run at most once however often they are asked.
//!
//! A record of the name is written in the write's own transaction, so that both commit or neither.
//! Who finds the record there is answered from it. See docs/notes/outcomes.md.

use jujubehold_core::prelude::*;
use jujubehold_core::request_name::digest;
use jujubehold_pg::ready_for_query;

use super::named_request::NamedRequest;
use super::named_run::{NamedEnd, unsupported};
use super::named_unit::NamedHint;
use super::outcome_record::finish_and_prune;
use super::replacement::while_primary;
use super::session::Session;
use super::transaction::Pinned;
use super::unit::Unit;
use super::unit_error::UnitError;
use super::write_path::Tried;
use crate::routing_table::ServiceRoute;

impl Session {
    /// Whether a unit that writes runs under a name; also one that looked like a read.
    pub(crate) fn writes_named(&self, unit: &Unit) -> bool {
        self.is_named(unit) || (self.request.is_some() && unit.class == StatementClass::Read)
    }

    /// Whether a unit is the write that the caller has named.
    pub(crate) fn is_named(&self, unit: &Unit) -> bool {
        self.request.is_some()
            && match unit.class {
                StatementClass::Write | StatementClass::Begin => true,
                StatementClass::Read
                | StatementClass::BeginReadOnly
                | StatementClass::Commit
                | StatementClass::Rollback
                | StatementClass::Session
                | StatementClass::Unsupported => false,
            }
    }

    /// Tries the named write once; the name is used up when the caller gets the write's answer.
    pub(crate) async fn try_named(
        &mut self,
        unit: &Unit,
        route: &ServiceRoute,
    ) -> Result<Tried, UnitError> {
        let request = self.named_request(unit).map_err(unsupported)?;
        let (mut lane, instance) = match self.open_primary(unit, route).await? {
            Ok(opened) => opened,
            Err(reason) => return Ok(Tried::Again(reason)),
        };
        let (shared, service) = (self.shared.clone(), self.service.clone());
        let run = self.run_on_lane(&mut lane, &instance, unit, &request, route);
        match while_primary(&shared, &service, &instance, run).await? {
            NamedEnd::Committed { status, asked_at } => {
                let is_uncancelled = self.key.running.end();
                self.report_status(route, asked_at, &status);
                finish_and_prune(lane, is_uncancelled, self.shared.settings.outcome_kept);
                self.acknowledge_commit(unit, route, instance, asked_at, &status)
                    .await?;
            }
            NamedEnd::Failed => {
                self.finish_lane(lane);
                self.io.put(&ready_for_query(b'I'));
                self.io.flush().await.map_err(UnitError::Caller)?;
            }
            NamedEnd::Open => {
                self.is_transaction_named = true;
                self.io.put(&ready_for_query(b'T'));
                self.pinned = Some(Pinned {
                    lane,
                    instance,
                    is_primary: true,
                    is_in_pipeline: false,
                    status: b'T',
                });
                self.io.flush().await.map_err(UnitError::Caller)?;
            }
            NamedEnd::Again(reason) => {
                if reason == RetryReason::NotPrimary {
                    self.finish_lane(lane);
                }
                return Ok(Tried::Again(reason));
            }
        }
        self.request = None;
        Ok(Tried::Done)
    }

    fn named_request(&self, unit: &Unit) -> Result<NamedRequest, NamedHint> {
        let (digest, begin, tag) = if unit.is_begin() {
            // A transaction's statements are not known when it opens; its name stands for them.
            let digest = digest([&b"transaction"[..]]);
            (digest, unit.begin_text()?.to_owned(), "COMMIT")
        } else {
            (unit.request_digest()?, "BEGIN".to_owned(), "")
        };
        Ok(NamedRequest {
            service: self.service.clone(),
            caller: self.user.clone(),
            name: self.request.clone().unwrap_or_default(),
            digest,
            begin,
            tag,
        })
    }
}
