//! Which log positions belong to which term.

use std::collections::BTreeMap;

use crate::ids::{Position, Term};

/// The terms of an instance's log, each with the position after which it starts.
///
/// The text form is comma-separated `term:start` pairs, as in the instance's status.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TermHistory {
    starts: BTreeMap<Term, Position>,
}

impl TermHistory {
    /// Parses the text form; returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut starts = BTreeMap::new();
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            let (term, start) = pair.split_once(':')?;
            starts.insert(term.parse().ok()?, start.parse().ok()?);
        }
        Some(Self { starts })
    }

    /// Adds a term that starts after `position`.
    pub fn start_term(&mut self, term: Term, position: Position) {
        self.starts.insert(term, position);
    }

    /// Returns the latest term of the log.
    pub fn last_term(&self) -> Term {
        self.starts.last_key_value().map_or(0, |(term, _)| *term)
    }

    /// Returns the term in which the entry at `position` was written; 0 if there is no entry.
    ///
    /// A history may contain terms that start after the end of a lagging log.
    pub fn term_of(&self, position: Position) -> Term {
        self.starts
            .iter()
            .rev()
            .find(|(_, start)| **start < position)
            .map_or(0, |(term, _)| *term)
    }

    /// Returns the terms and the positions after which they start, in order.
    pub fn iter(&self) -> impl Iterator<Item = (Term, Position)> {
        self.starts.iter().map(|(term, start)| (*term, *start))
    }

    /// Returns whether a commit at `position` in `term` is part of this history.
    ///
    /// A term that a later one cut short keeps only the positions up to the later one's start.
    pub fn contains(&self, term: Term, position: Position) -> bool {
        if !self.starts.contains_key(&term) {
            return false;
        }
        let next_start = self
            .starts
            .range(term + 1..)
            .next()
            .map(|(_, start)| *start);
        next_start.is_none_or(|start| position <= start)
    }
}

impl std::fmt::Display for TermHistory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, (term, start)) in self.starts.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{term}:{start}")?;
        }
        Ok(())
    }
}
