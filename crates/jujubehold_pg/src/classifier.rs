//! Classes of texts that were seen before.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

use jujubehold_core::statement::StatementClass;
use smol_str::SmolStr;

use crate::classify::classify;

/// How many texts a classifier remembers.
const CACHE_ENTRIES: usize = 2048;
/// The longest text that is remembered, in bytes; longer ones are rare and classified anew.
const CACHED_TEXT_BYTES: usize = 1024;

/// Classifies texts and remembers them; one for each traffic thread.
///
/// The oldest text goes when there is no room, so that the others stay.
#[derive(Debug, Default)]
pub struct Classifier {
    cache: RefCell<Cache>,
}

#[derive(Debug, Default)]
struct Cache {
    classes: BTreeMap<SmolStr, StatementClass>,
    order: VecDeque<SmolStr>,
}

impl Classifier {
    /// The class of `sql`.
    pub fn classify(&self, sql: &str) -> StatementClass {
        if sql.len() > CACHED_TEXT_BYTES {
            return classify(sql);
        }
        let mut cache = self.cache.borrow_mut();
        if let Some(class) = cache.classes.get(sql) {
            return *class;
        }
        let class = classify(sql);
        if cache.order.len() >= CACHE_ENTRIES
            && let Some(oldest) = cache.order.pop_front()
        {
            cache.classes.remove(&oldest);
        }
        let text = SmolStr::from(sql);
        cache.order.push_back(text.clone());
        cache.classes.insert(text, class);
        class
    }

    /// How many texts are remembered.
    pub fn len(&self) -> usize {
        self.cache.borrow().classes.len()
    }

    /// Whether no text is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
