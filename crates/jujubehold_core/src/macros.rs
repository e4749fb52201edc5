//! Macros for the derives that most of the core's types share.

/// Derives the traits that every plain value of the core needs, so that all have the same set.
///
/// ```
/// jujubehold_core::value_type! {
///     /// A sample.
///     pub struct Sample { pub position: u64 }
/// }
/// assert_eq!(Sample { position: 1 }, Sample { position: 1 });
/// ```
#[macro_export]
macro_rules! value_type {
    ($($item:item)+) => { $(#[derive(Debug, Clone, PartialEq, Eq)] $item)+ };
}

/// Derives the traits that small enums and keys need: those of [`value_type!`], `Copy` and an
/// order.
#[macro_export]
macro_rules! key_type {
    ($($item:item)+) => {
        $(#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)] $item)+
    };
}
