//! What is wrong with an INI text, and where.

use std::fmt;

use smol_str::SmolStr;

/// One fault: its place, what was wrong, and what to write instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniFault {
    /// The section; empty outside of any.
    pub section: SmolStr,
    /// The key; empty when the section itself is at fault.
    pub key: SmolStr,
    /// What was wrong.
    pub problem: String,
    /// What to write instead.
    pub advice: String,
}

/// Every fault of one text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct IniFaults {
    /// The file, or what else the text came from.
    pub file: SmolStr,
    /// The faults, in the order in which they were found.
    pub faults: Vec<IniFault>,
}

impl fmt::Display for IniFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: [{}]", self.file, fault.section)?;
            if !fault.key.is_empty() {
                write!(f, " {}", fault.key)?;
            }
            write!(f, ": {}; {}", fault.problem, fault.advice)?;
        }
        Ok(())
    }
}
