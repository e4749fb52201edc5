//! A named request as its record tells it.

use jujubehold_core::prelude::*;
use jujubehold_core::request_name::{RequestDigest, RequestName};
use smol_str::SmolStr;

/// Creates the table of records. A host does so when it first finds it missing; see
/// docs/OPERATIONS.md.
pub(crate) const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS public.jujubehold_outcomes \
     (service TEXT NOT NULL, caller TEXT NOT NULL, request TEXT NOT NULL, digest TEXT NOT NULL, \
     tag TEXT NOT NULL, made_at_s BIGINT NOT NULL, PRIMARY KEY (service, caller, request))";

/// Creates the index by which old records are found.
pub(crate) const CREATE_INDEX: &str = "CREATE INDEX IF NOT EXISTS jujubehold_outcomes_made_at \
     ON public.jujubehold_outcomes (made_at_s)";

/// How many old records one statement deletes.
const MAX_PRUNED_ROWS: u32 = 256;

/// The primary's own clock, so that a host's clock that jumps deletes nothing too early.
const NOW_S: &str = "extract(epoch from now())::bigint";

/// What a record says of the request that is asked now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NamedRequest {
    /// The service that the caller asked.
    pub(crate) service: ServiceId,
    /// The user that the caller is.
    pub(crate) caller: SmolStr,
    /// The name.
    pub(crate) name: RequestName,
    /// What tells this request from another one under the same name.
    pub(crate) digest: RequestDigest,
    /// The text that opens its transaction.
    pub(crate) begin: String,
    /// The command tag that the record starts with.
    pub(crate) tag: &'static str,
}

impl NamedRequest {
    /// Opens the transaction and writes the record, as one query: where one part fails, nothing
    /// that follows runs outside of a transaction. The caller's text may end with a comment.
    pub(crate) fn open_sql(&self) -> String {
        format!(
            "{}\n;INSERT INTO public.jujubehold_outcomes \
             (service, caller, request, digest, tag, made_at_s) \
             VALUES ({}, {}, {}, {}, {}, {NOW_S})",
            self.begin,
            literal(&self.service),
            literal(&self.caller),
            literal(&self.name),
            literal(&self.digest),
            literal(self.tag),
        )
    }

    /// Puts the answer's command tag on record and commits.
    pub(crate) fn commit_sql(&self, tag: &str) -> String {
        format!(
            "UPDATE public.jujubehold_outcomes SET tag = {} WHERE {};COMMIT",
            literal(tag),
            self.key_sql()
        )
    }

    /// Reads the record.
    pub(crate) fn lookup_sql(&self) -> String {
        format!(
            "SELECT digest, tag FROM public.jujubehold_outcomes WHERE {}",
            self.key_sql()
        )
    }

    fn key_sql(&self) -> String {
        format!(
            "service = {} AND caller = {} AND request = {}",
            literal(&self.service),
            literal(&self.caller),
            literal(&self.name)
        )
    }
}

/// Deletes records that are older than `kept`, some at a time.
pub(crate) fn prune_sql(kept: std::time::Duration) -> String {
    let kept_s = kept.as_secs();
    format!(
        "DELETE FROM public.jujubehold_outcomes WHERE (service, caller, request) IN \
         (SELECT service, caller, request FROM public.jujubehold_outcomes \
         WHERE made_at_s < {NOW_S} - {kept_s} \
         ORDER BY made_at_s, service, caller, request LIMIT {MAX_PRUNED_ROWS})"
    )
}

fn literal(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
