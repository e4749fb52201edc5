//! What is wrong with an INI text, and where.

use std::fmt;

use smol_str::SmolStr;

/// One fault: its place, what was wrong, and what to write instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniFault {
    /// The line, from 1 up; `None` when the fault is something that is not there.
    pub line: Option<usize>,
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
    /// The faults, by line; those without a line come last.
    pub faults: Vec<IniFault>,
}

impl fmt::Display for IniFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            f.write_str(&self.file)?;
            if let Some(line) = fault.line {
                write!(f, ":{line}")?;
            }
            f.write_str(":")?;
            if !fault.section.is_empty() {
                write!(f, " [{}]", fault.section)?;
            }
            if !fault.key.is_empty() {
                write!(f, " {}", fault.key)?;
            }
            let colon = if fault.section.is_empty() && fault.key.is_empty() {
                ""
            } else {
                ":"
            };
            write!(f, "{colon} {}; {}", fault.problem, fault.advice)?;
        }
        Ok(())
    }
}
