//! A ledger that callers write to and read from, and a check of the outcome of each write.

mod ledger;
mod ledger_check;
mod reader;
mod write_log;
mod writer;

pub use ledger::{create_ledger, insert_sql, ledger_ids};
pub use ledger_check::LedgerCheck;
pub use reader::{ReadLog, read_until};
pub use write_log::WriteLog;
pub use writer::{WriterSettings, write_until};
