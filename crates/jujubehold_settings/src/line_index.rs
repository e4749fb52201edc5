//! The line numbers of the sections and keys of an INI text.
//!
//! The INI library reports line numbers only for syntax errors, but every fault names its line.

/// A line that opens a section or sets a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum IndexedLine {
    /// The header of a section.
    Section {
        /// The line, counted from 1.
        line: usize,
    },
    /// A key.
    Key {
        /// The line, counted from 1.
        line: usize,
        /// The key.
        key: String,
    },
}

/// Lists the lines of `text` that open a section or set a key.
pub(crate) fn index_lines(text: &str) -> Vec<IndexedLine> {
    let mut indexed = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line_number = index + 1;
        let line = line.trim();
        if line.starts_with([';', '#']) {
            continue;
        }
        if line.starts_with('[') {
            indexed.push(IndexedLine::Section { line: line_number });
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            indexed.push(IndexedLine::Key {
                line: line_number,
                key: key.trim().to_owned(),
            });
        }
    }
    indexed
}
