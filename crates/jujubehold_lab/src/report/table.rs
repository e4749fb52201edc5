//! Tables in Markdown.

use std::fmt;

/// A table with a title row.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    titles: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column titles and no rows.
    pub fn new(titles: &[&str]) -> Self {
        Self {
            titles: titles.iter().map(|title| (*title).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| {} |", self.titles.join(" | "))?;
        writeln!(f, "|{}", " --- |".repeat(self.titles.len()))?;
        for row in &self.rows {
            writeln!(f, "| {} |", row.join(" | "))?;
        }
        Ok(())
    }
}
