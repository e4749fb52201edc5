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

// Statements that the upstream found where the tokenizer saw none removed or ran other sessions'
// prepared statements.
#[test]
fn statements_that_only_the_upstream_sees_are_unsupported() {
    let cases = [
        "SELECT U&'\\q' UESCAPE '!'; DEALLOCATE ALL",
        "SELECT U&'\\' UESCAPE '!'; DEALLOCATE ALL; --'",
        "DEALLOCATE U&\"\\q\" UESCAPE '!'",
        "EXPLAIN EXECUTE a",
        "EXPLAIN ANALYZE EXECUTE a",
        "EXPLAIN ANALYZE VERBOSE EXECUTE a",
        "EXPLAIN ANALYSE EXECUTE a",
        "EXPLAIN (ANALYZE, FORMAT json) EXECUTE a",
        "CREATE TABLE b AS EXECUTE a",
        "EXPLAIN ANALYZE CREATE TABLE b AS EXECUTE a",
        "SELECT 1 AS \u{a0}$b$; DEALLOCATE ALL; --$b$",
        "SELECT 1 AS \u{3000}$b$; DEALLOCATE ALL; --$b$",
        "SELECT 1 AS \u{2028}$b$; DEALLOCATE ALL; --$b$",
        "SELECT 1 AS a$b$; DEALLOCATE ALL; --$b$",
        "SELECT 1 AS a\u{300}$b$; DEALLOCATE ALL; --$b$",
        "SELECT 'a\\'; DEALLOCATE ALL; --'",
        "SELECT E'a\\''; DEALLOCATE ALL; --'",
        "SELECT E'a\\\\'; DEALLOCATE ALL; --'",
        "SELECT B'1\\'; DEALLOCATE ALL; --'",
        "SELECT X'1\\'; DEALLOCATE ALL; --'",
        "SELECT N'1\\'; DEALLOCATE ALL; --'",
        "SELECT R'1\\'; DEALLOCATE ALL; --'",
        "SELECT \"a\\\"; DEALLOCATE ALL; --\"",
        "SELECT `1; DEALLOCATE ALL; --`",
        "SELECT 1 # 2; DEALLOCATE ALL",
        "SELECT 1 // 2; DEALLOCATE ALL",
        "/* /* */ */ DEALLOCATE ALL",
        "SELECT 1 /* '*/; DEALLOCATE ALL; --'",
        "SELECT 1 -- '\n; DEALLOCATE ALL; --'",
        "SELECT 1 --\r; DEALLOCATE ALL",
        "SELECT $a$ $b$ $a$; DEALLOCATE ALL; --$b$",
        "SELECT ''''; DEALLOCATE ALL",
        "SELECT q'[a]'; DEALLOCATE ALL",
        "SELECT \"\"\"\"; DEALLOCATE ALL; --\"",
        "SELECT 1;\u{c}DEALLOCATE ALL",
        "SELECT 1;\u{b}DEALLOCATE ALL",
    ];
    let missed: Vec<_> = cases
        .into_iter()
        .filter(|sql| classify(sql) != Unsupported)
        .collect();
    assert!(missed.is_empty(), "{missed:#?}");
    assert_eq!(classify("SELECT 1 AS execute FROM t"), Read);
    assert_eq!(classify("SELECT 'not closed"), Write);
}

// An ANALYZE in parentheses was not seen, so that the write that it runs counted as a read.
#[test]
fn an_explain_that_runs_a_write_is_a_write() {
    for sql in [
        "EXPLAIN (ANALYZE) DELETE FROM t",
        "EXPLAIN (VERBOSE, ANALYZE true) INSERT INTO t VALUES (1)",
        "EXPLAIN (\"analyze\") DELETE FROM t",
        "EXPLAIN (ANALYSE) DELETE FROM t",
        "EXPLAIN ANALYSE DELETE FROM t",
        "explain (costs off, analyze on) update t set a = 1",
    ] {
        assert_eq!(classify(sql), Write, "{sql}");
    }
    assert_eq!(classify("EXPLAIN (COSTS off) DELETE FROM t"), Read);
    assert_eq!(classify("EXPLAIN (ANALYZE) SELECT 1"), Read);
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

// A quote within a value ended it on the way to the upstream, and the rest ran as statements.
#[test]
fn a_value_of_a_setting_stays_one_value() {
    let cases = [
        ("SET a.b = 'it''s'", "it's", "'it''s'"),
        (
            "SET a.b = 'x''; DEALLOCATE ALL; --'",
            "x'; DEALLOCATE ALL; --",
            "'x''; DEALLOCATE ALL; --'",
        ),
        (
            "SET a.b = \"x\"\"; DISCARD ALL; --\"",
            "",
            "\"x\"\"; DISCARD ALL; --\"",
        ),
        ("SET a.b = 1 - -2", "", "1 - - 2"),
        ("SET a.b = c d", "", "c d"),
        ("SET a.b = c, 'd e', -1", "", "c , 'd e' , - 1"),
    ];
    for (sql, plain, sql_value) in cases {
        let Some(SessionCommand::Set {
            value,
            sql_value: actual,
            ..
        }) = SessionCommand::parse(sql)
        else {
            panic!("{sql}");
        };
        assert_eq!(actual, sql_value, "{sql}");
        assert!(plain.is_empty() || value == plain, "{sql}: {value}");
    }
}
