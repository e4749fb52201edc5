//! Statements are classified by what they may change.

use jujubehold_core::statement::StatementClass;
use jujubehold_pg::classify;

#[test]
fn classes() {
    let cases = [
        ("SELECT 1", StatementClass::Read),
        ("SELECT * FROM t FOR UPDATE", StatementClass::Write),
        ("SELECT a INTO b FROM t", StatementClass::Write),
        (
            "WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x",
            StatementClass::Write,
        ),
        ("INSERT INTO t VALUES (1)", StatementClass::Write),
        ("SELECT 1; DELETE FROM t", StatementClass::Write),
        ("BEGIN", StatementClass::Begin),
        ("START TRANSACTION READ ONLY", StatementClass::BeginReadOnly),
        ("COMMIT", StatementClass::Commit),
        ("ROLLBACK", StatementClass::Rollback),
        ("not sql at all", StatementClass::Write),
    ];
    for (sql, class) in cases {
        assert_eq!(classify(sql), class, "{sql}");
    }
}
