//! Tests of the bound on bytes in memory.

use jujubehold_core::byte_budget::ByteBudget;

// What is refused must not be counted, or a session would run out of bytes that it does not keep.
#[test]
fn only_what_fits_is_counted() {
    let mut budget = ByteBudget::new(100);
    assert!(budget.replace(0, 60));
    assert!(!budget.replace(0, 41));
    assert_eq!(budget.used_bytes(), 60);
    assert!(budget.replace(60, 100));
    assert!(!budget.replace(100, 101));
    assert!(budget.replace(100, 40));
    assert!(budget.replace(0, 60));
    budget.release(100);
    assert_eq!(budget.used_bytes(), 0);
}
