//! Tests of statement classification and of session commands.

use jujubehold_core::statement::StatementClass::{
    Begin, BeginReadOnly, Commit, Read, Rollback, Session, Unsupported, Write,
};
use jujubehold_pg::{Classifier, SessionCommand, classify};

#[test]
fn classes() {
    let cases = [
        ("SELECT 1", Read),
        ("", Read),
        ("SELECT count(*), max(a) FROM t WHERE b IN (1, 2)", Read),
        ("EXPLAIN DELETE FROM t", Read),
        ("SHOW search_path", Read),
        ("SELECT 1; SELECT 2", Read),
        ("EXPLAIN ANALYZE DELETE FROM t", Write),
        ("SELECT * FROM t FOR UPDATE", Write),
        ("SELECT a INTO b FROM t", Write),
        (
            "WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x",
            Write,
        ),
        ("SELECT nextval('s')", Write),
        ("SELECT setval('s', 1)", Write),
        ("SELECT post_issue(1)", Write),
        ("SELECT mine.count(1)", Write),
        ("SELECT \"Count\"(1)", Write),
        ("SELECT pg_advisory_xact_lock(1)", Write),
        ("INSERT INTO t VALUES (1)", Write),
        ("SELECT 1; DELETE FROM t", Write),
        ("SAVEPOINT a", Write),
        ("ROLLBACK TO SAVEPOINT a", Write),
        ("SET LOCAL work_mem = '1MB'", Write),
        ("BEGIN", Begin),
        ("START TRANSACTION READ ONLY", BeginReadOnly),
        ("COMMIT", Commit),
        ("END", Commit),
        ("INSERT INTO t VALUES (1); COMMIT", Commit),
        ("ROLLBACK", Rollback),
        ("SET jujubehold.session = 'x'", Session),
        ("SHOW jujubehold.session", Session),
        ("RESET jujubehold.session", Session),
        ("SET search_path = a", Session),
        ("COMMIT; BEGIN", Unsupported),
        ("COMMIT AND CHAIN", Unsupported),
        ("ROLLBACK AND CHAIN", Unsupported),
        ("CREATE TEMP TABLE a (b int)", Unsupported),
        ("LISTEN a", Unsupported),
        ("NOTIFY a", Unsupported),
        ("COPY t FROM STDIN", Unsupported),
        ("PREPARE a AS SELECT 1", Unsupported),
        ("EXECUTE a", Unsupported),
        ("DEALLOCATE ALL", Unsupported),
        ("SELECT pg_advisory_lock(1)", Unsupported),
        ("SELECT set_config('a', 'b', false)", Unsupported),
        ("DECLARE c CURSOR WITH HOLD FOR SELECT 1", Unsupported),
        ("not sql; COMMIT; not sql", Unsupported),
        ("not sql at all", Write),
    ];
    for (sql, class) in cases {
        assert_eq!(classify(sql), class, "{sql}");
    }
}

#[test]
fn the_cache_is_bounded_and_keeps_recent_texts() {
    let classifier = Classifier::default();
    for index in 0..3000 {
        classifier.classify(&format!("SELECT {index}"));
    }
    assert_eq!(classifier.len(), 2048);
    let long = format!("SELECT '{}'", "x".repeat(4096));
    assert_eq!(classifier.classify(&long), Read);
    assert_eq!(classifier.len(), 2048);
}

#[test]
fn session_commands() {
    let set = SessionCommand::parse("SET jujubehold.session = 'a.b';");
    assert_eq!(
        set,
        Some(SessionCommand::Set {
            name: "jujubehold.session".into(),
            value: "a.b".into(),
            sql_value: "'a.b'".into(),
        })
    );
    let show = SessionCommand::parse("show jujubehold.session");
    assert_eq!(
        show,
        Some(SessionCommand::Show("jujubehold.session".into()))
    );
    let reset = SessionCommand::parse("RESET jujubehold.session");
    assert_eq!(
        reset,
        Some(SessionCommand::Reset("jujubehold.session".into()))
    );
    assert_eq!(SessionCommand::parse("SELECT 1"), None);
}
