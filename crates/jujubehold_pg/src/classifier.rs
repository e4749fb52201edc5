//! A cache of statement classes.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

use jujubehold_core::statement::StatementClass;
use smol_str::SmolStr;

use crate::classify::classify;

/// The maximum number of statements in the cache of a classifier.
const MAX_CACHE_ENTRIES: usize = 2048;
/// The maximum length of a cached statement; longer ones are rare and are classified each time.
const MAX_CACHED_TEXT_BYTES: usize = 1024;

/// Classifies statements and caches the results; each traffic thread has its own.
///
/// If the cache is full, only the oldest entry is evicted.
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
    /// Returns the class of `sql`.
    pub fn classify(&self, sql: &str) -> StatementClass {
        if sql.len() > MAX_CACHED_TEXT_BYTES {
            return classify(sql);
        }
        let mut cache = self.cache.borrow_mut();
        if let Some(class) = cache.classes.get(sql) {
            return *class;
        }
        let class = classify(sql);
        if cache.order.len() >= MAX_CACHE_ENTRIES
            && let Some(oldest) = cache.order.pop_front()
        {
            cache.classes.remove(&oldest);
        }
        let text = SmolStr::from(sql);
        cache.order.push_back(text.clone());
        cache.classes.insert(text, class);
        class
    }

    /// Returns the number of cached statements.
    pub fn len(&self) -> usize {
        self.cache.borrow().classes.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
