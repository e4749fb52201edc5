//! Tests of the names of prepared statements.

use std::collections::BTreeSet;

use jujubehold_core::statement_name::StatementName;

// Names that shared a part of their statements' content ran one caller's statement for another.
#[test]
fn statements_that_differ_anywhere_have_different_names_of_one_plain_form() {
    let long = "x".repeat(100_000);
    let contents: [&[&str]; 9] = [
        &["read", "q1"],
        &["write", "q1"],
        &["readq", "1"],
        &["read", "q1 "],
        &["read", "q1 c READ dtjsvo"],
        &["read", "q1 c WRITE dtjsvo"],
        &["read", &long],
        &["read", &long[1..]],
        &["read", ""],
    ];
    let mut names = BTreeSet::new();
    for content in contents {
        let name = StatementName::new(content.iter().map(|part| part.as_bytes()));
        assert_eq!(name.as_str().len(), 50);
        let is_plain = name
            .as_str()
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric());
        assert!(is_plain, "{name:?}");
        assert!(names.insert(name), "{content:.20?}");
    }
}
