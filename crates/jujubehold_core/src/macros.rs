//! The derives that most of the core's types share.

/// Derives what every plain value of the core needs, so that the sets stay the same everywhere.
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

/// Derives what small enums and keys need: [`value_type!`]'s set, copying and an order.
#[macro_export]
macro_rules! key_type {
    ($($item:item)+) => {
        $(#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)] $item)+
    };
}
