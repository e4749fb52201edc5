//! The SQL that stores a named request's outcome record.

use jujubehold_core::prelude::*;
use jujubehold_core::request_name::{RequestDigest, RequestName};
use smol_str::SmolStr;

/// Creates the table of outcome records. A host runs this when it finds that the table is missing;
/// see docs/OPERATIONS.md.
pub(crate) const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS public.jujubehold_outcomes \
     (service TEXT NOT NULL, caller TEXT NOT NULL, request TEXT NOT NULL, digest TEXT NOT NULL, \
     tag TEXT NOT NULL, made_at_s BIGINT NOT NULL, PRIMARY KEY (service, caller, request))";

/// Creates the index that finds old records.
pub(crate) const CREATE_INDEX: &str = "CREATE INDEX IF NOT EXISTS jujubehold_outcomes_made_at \
     ON public.jujubehold_outcomes (made_at_s)";

/// The most old records that one statement deletes.
const MAX_PRUNED_ROWS: u32 = 256;

/// The primary's clock in seconds, so that a jump of a host's clock does not delete records too
/// early.
const NOW_S: &str = "extract(epoch from now())::bigint";

/// A named request, as its record identifies it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NamedRequest {
    /// The requested service.
    pub(crate) service: ServiceId,
    /// The caller's user name.
    pub(crate) caller: SmolStr,
    /// The request name.
    pub(crate) name: RequestName,
    /// Distinguishes this request from another one with the same name.
    pub(crate) digest: RequestDigest,
    /// The text that opens the request's transaction.
    pub(crate) begin: String,
    /// The command tag that the record is created with.
    pub(crate) tag: &'static str,
}

impl NamedRequest {
    /// Returns the query that opens the transaction and inserts the record.
    ///
    /// It is one query, so that if one part fails, nothing after it runs outside of a transaction.
    /// The newline ends a comment at the end of the caller's text.
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

    /// Returns the query that stores the answer's command tag in the record and commits.
    pub(crate) fn commit_sql(&self, tag: &str) -> String {
        format!(
            "UPDATE public.jujubehold_outcomes SET tag = {} WHERE {};COMMIT",
            literal(tag),
            self.key_sql()
        )
    }

    /// Returns the query that reads the record.
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

/// Returns the query that deletes some of the records older than `kept`.
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
