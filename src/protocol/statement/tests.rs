mod lexical_modes;

use super::*;
use crate::protocol::mysql::session::VariableName;
use crate::protocol::mysql::sql_mode::LexicalModes;
use crate::sticky_sessions::StickyReason;

fn classify(sql: &[u8]) -> StatementKind {
    super::classify(sql, LexicalModes::default())
}

fn commits_implicitly(sql: &[u8]) -> bool {
    super::commits_implicitly(sql, LexicalModes::default())
}

fn reads_last_insert_id(sql: &[u8]) -> bool {
    super::reads_last_insert_id(sql, LexicalModes::default())
}

fn effects_of(sql: &[u8]) -> ConnectionEffects {
    ConnectionEffects::of(sql, LexicalModes::default())
}

#[test]
fn only_statements_that_cannot_write_are_reads() {
    let cases = [
        (
            "select a, count(*) from x where b in (1, 2) group by a;",
            "read",
        ),
        ("(select 1) union (select 2)", "read"),
        ("with w(a) as (select 1) select max(a) from w", "read"),
        ("select replace(a, 'x', 'y'), `update` from t", "read"),
        ("select 'delete', \"into\" from t -- drop", "read"),
        ("select @@version_comment limit 1", "read"),
        ("show tables", "read"),
        ("insert into t values (1)", "write"),
        ("with w as (select 1) delete from t", "write"),
        ("select * into outfile '/x' from t", "write"),
        ("select /*! sql_no_cache */ 1", "write"),
        ("select /*+ no_icp(t) */ 1", "write"),
        ("select my_function(1)", "write"),
        ("select db.f(1)", "write"),
        ("explain analyze delete from t", "write"),
        ("replace into t values (1)", "write"),
        ("/* class=lookup */ update t set a = 1", "write"),
        ("", "write"),
        ("begin", "sticky"),
        ("START TRANSACTION READ ONLY;", "sticky"),
        ("begin; commit", "unsupported"),
        ("start replica", "unsupported"),
        ("commit and no chain no release", "ends"),
        ("commit release", "unsupported"),
        ("rollback", "ends"),
        ("show warnings;", "warnings"),
        ("show errors", "warnings"),
        ("show warnings limit 2", "read"),
        ("KILL QUERY 17;", "kill"),
        ("kill query 17, 18", "unsupported"),
        ("kill 17", "unsupported"),
        ("rollback to savepoint a", "within"),
        ("savepoint a", "within"),
        ("lock tables t write", "sticky"),
        ("lock instance for backup", "unsupported"),
        ("unlock tables", "unlock"),
        ("xa start 'x'", "unsupported"),
        ("set autocommit=0", "set"),
        ("select @x", "read"),
        ("select @x := 1", "sticky"),
        ("select a into @x from t", "sticky"),
        ("select get_lock('a', 1)", "sticky"),
        ("select row_count()", "unsupported"),
        ("select 1; delete from t", "unsupported"),
        ("select * from t for update", "write"),
        ("create temporary table x (a int)", "sticky"),
        ("select last_insert_id()", "read"),
        ("load data local infile 'x' into table t", "unsupported"),
        ("SET NAMES 'utf8mb4'", "set"),
        ("use `a b`", "use"),
    ];
    for (text, expected) in cases {
        let found = match classify(text.as_bytes()) {
            StatementKind::Read => "read",
            StatementKind::Write => "write",
            StatementKind::Use(_) => "use",
            StatementKind::Set => "set",
            StatementKind::EndsTransaction => "ends",
            StatementKind::WithinTransaction => "within",
            StatementKind::UnlockTables => "unlock",
            StatementKind::ShowWarnings => "warnings",
            StatementKind::KillQuery(session) => {
                assert_eq!(session, 17, "{text}");
                "kill"
            }
            StatementKind::MakesSticky(_) => "sticky",
            StatementKind::Unsupported(_) => "unsupported",
        };
        assert_eq!(found, expected, "{text}");
    }
    assert!(reads_last_insert_id(
        b"insert into t values (LAST_INSERT_ID())"
    ));
    assert!(!reads_last_insert_id(
        b"select 'last_insert_id()', last_insert_id from t"
    ));
    let hints = Hints::parse(b" /* class=report, limit:1500 */ select 1");
    assert_eq!(
        hints,
        Hints(vec![
            ("class".into(), "report".into()),
            ("limit".into(), "1500".into())
        ])
    );
    assert_eq!(hints.get("class"), Some("report"));
    assert_eq!(
        Hints::parse(b"select 1 /* class=report */"),
        Hints::default()
    );
}

/// Guards against a call of a stored function, which may write, that counts as a read.
#[test]
fn calls_count_as_reads_only_if_they_are_surely_of_built_in_functions() {
    let cases = [
        ("select log(7)", true),
        ("select concat (a, b) from t", true),
        ("select a from t where b in (1) and exists (select 1)", true),
        ("select * from (select 1) x join u using (a)", true),
        ("select count(*), max(a), now() from t", true),
        ("with w as (select 1) select * from w", true),
        (
            "with w(a) as (select 1), v (b, c) as (select 2, 3) select * from w, v",
            true,
        ),
        (
            "with recursive w(a) as (values row(1)) select * from w",
            true,
        ),
        (
            "select * from (with w(a) as (select 1) select a from w) x",
            true,
        ),
        ("table t order by abs(a)", true),
        ("select audit.log(7, 42)", false),
        ("select audit.log (7)", false),
        ("select audit . log(7)", false),
        ("select audit./* x */log/* y */(7)", false),
        ("select `audit`.`log`(7)", false),
        ("select audit.`log`(7)", false),
        ("select `log`(7)", false),
        ("select a from t where audit.abs(b) = 1", false),
        ("select a from t order by audit.abs(b)", false),
        (
            "select a from t where b in (select audit.max(c) from u)",
            false,
        ),
        ("select audit.in(7)", false),
        ("values row(audit.log(7))", false),
        ("table t order by audit.log(7)", false),
        (
            "with w as (values row(audit.log(7))) select 1 from w",
            false,
        ),
        ("with w as (values row(trail(7))) select 1 from w", false),
        (
            "with w(a) as (values row(1)), v as (table t order by f(a)) select 1",
            false,
        ),
        ("with w as (table t limit 1) select f(7), g(8)", false),
        ("with w as (select 1) table w order by f(7), g(8)", false),
        // A name in double quotes with ANSI_QUOTES, one that begins with a digit, and other white space.
        ("select \"trail\"(7)", false),
        ("select audit.\"log\"(7)", false),
        ("select 7up(1)", false),
        ("select audit.7up(1)", false),
        ("select trail\u{b}(7)", false),
        ("select max\u{b}(7)", false),
        // Two hyphens begin a comment only before white space.
        ("select 5--trail(7)", false),
        ("select 5--log(7)", true),
        ("select 5 -- trail(7)", true),
        ("select 5 --\ttrail(7)", true),
        ("select 5 --", true),
        // A blank makes these names of stored functions, unless the session ignores spaces.
        ("select max (7)", false),
        ("select now/* x */()", false),
        ("select count\n(*) from t", false),
    ];
    for (text, is_read) in cases {
        let kind = classify(text.as_bytes());
        assert_eq!(kind == StatementKind::Read, is_read, "{text}");
        assert!(is_read || kind == StatementKind::Write, "{text}");
    }
}

#[test]
fn reads_of_an_earlier_insert_id_are_recognized() {
    for (text, expected) in [
        ("select last_insert_id()", true),
        ("select @@LAST_INSERT_ID", true),
        ("select @@session.identity", true),
        ("select @@local.last_insert_id, 1", true),
        ("insert into t values (@@identity)", true),
        ("select identity, last_insert_id from t", false),
        ("select identity(1), @identity, 'last_insert_id()'", false),
        ("select t.identity from t", false),
    ] {
        assert_eq!(reads_last_insert_id(text.as_bytes()), expected, "{text}");
    }
}

#[test]
fn dropped_schemas_are_recognized() {
    for (text, expected) in [
        ("drop database depot", Some("depot")),
        ("DROP SCHEMA IF EXISTS `de pot`;", Some("de pot")),
        ("/*!40000 DROP DATABASE IF EXISTS depot */", Some("depot")),
        ("/* why */ drop database depot", Some("depot")),
        ("drop table depot", None),
        ("drop database", None),
        ("drop", None),
        ("select 'drop database depot'", None),
    ] {
        let effects = effects_of(text.as_bytes());
        assert_eq!(effects.dropped_schema.as_deref(), expected, "{text}");
    }
}

/// Guards against statements in executable comments, as dumps contain them, that run as something else than they are.
#[test]
fn content_of_executable_comments_is_classified() {
    use StatementKind::{EndsTransaction, Set, Use, Write};
    let begin = StatementKind::MakesSticky(StickyReason::Transaction);
    let cases = [
        ("/*!40103 SET TIME_ZONE='+00:00' */;", Set),
        ("/*! set names utf8mb4 */", Set),
        ("/* dump */ /*!40101 SET NAMES utf8 */", Set),
        ("/*!40000 USE depot */", Use("depot".into())),
        ("/*!50000 begin */", begin),
        ("/*!50000 rollback */", EndsTransaction),
        ("/*!40000 ALTER TABLE t DISABLE KEYS */", Write),
        ("select /*!40001 SQL_NO_CACHE */ a from t", Write),
        (
            "/*!50003 CREATE TRIGGER a BEFORE INSERT ON t FOR EACH ROW BEGIN SET NEW.b = 1; END */",
            Write,
        ),
        // Not every engine executes these.
        ("/*!99999 SET TIME_ZONE='+00:00' */", Write),
        ("/*!100100 SET TIME_ZONE='+00:00' */", Write),
        // This is no version.
        ("/*!123 SET TIME_ZONE='+00:00' */", Write),
        ("/*!50000 select 1 */; /*!50000 select 2 */", Write),
    ];
    for (text, expected) in cases {
        let kind = classify(text.as_bytes());
        match text.contains("; /*!") {
            true => assert!(matches!(kind, StatementKind::Unsupported(_)), "{text}"),
            false => assert_eq!(kind, expected, "{text}"),
        }
    }
    assert!(is_rollback(b"/*!50000 rollback */"));
    assert!(effects_of(b"/*!99999 set x = 1 */").is_unpredictable);
    assert!(!effects_of(b"/*!50000 create table t (a int) */").is_unpredictable);
    let effects = effects_of(b"select a /*!50000 into @x */ from t");
    assert!(
        effects
            .assigned_variables
            .contains(&VariableName::user("x"))
    );
}

/// Guards against a user variable that a statement assigns and the session takes for unchanged.
#[test]
fn assigned_user_variables_are_found_in_every_form() {
    let cases: [(&str, &[&str]); 19] = [
        ("select @n := @n + 1, @step from t", &["@n"]),
        (
            "select @A:=1, @`b c` := 2, @'d' := 3, @\"e\" := 4",
            &["@a", "@b c", "@d", "@e"],
        ),
        ("select @a.b$c_1 := 1", &["@a.b$c_1"]),
        ("select @ÉTÉ := 1", &["@été"]),
        ("select a, b into @x, @y from t where c = @z", &["@x", "@y"]),
        ("select a from t into @x", &["@x"]),
        ("update t set a = (@r := a + @s)", &["@r"]),
        ("insert into t select @i := @i + 1 from u", &["@i"]),
        ("create temporary table x as select @n := 1", &["@n"]),
        (
            "load data infile 'f' into table t (a, @b) set c = @b",
            &["@b"],
        ),
        ("get diagnostics @rows = row_count", &["@rows"]),
        ("select 5--(@n := 1)", &["@n"]),
        ("insert into t values (@posting, 42)", &[]),
        ("select @n + 1, @@session.time_zone, @@n", &[]),
        ("select '@n := 1', \"into @x\" -- @y := 2", &[]),
        ("select `@n := 1` from t /* @n := 1 */", &[]),
        ("grant select on *.* to 'a'@'b', c@localhost", &[]),
        ("select a into outfile '/x' from t where b = @c", &[]),
        ("select @", &[]),
    ];
    for (text, expected) in cases {
        let effects = effects_of(text.as_bytes());
        let expected_names = expected.iter().map(|name| VariableName::user(&name[1..]));
        assert!(
            effects
                .assigned_variables
                .iter()
                .cloned()
                .eq(expected_names),
            "{text}: {effects:?}"
        );
        let is_sticky = matches!(classify(text.as_bytes()), StatementKind::MakesSticky(_));
        assert_eq!(is_sticky, !expected.is_empty(), "{text}");
    }
}

/// Guards against a variable that keeps its value for the next session, for its name was read otherwise here than by the
/// engine.
#[test]
fn names_of_assigned_variables_are_those_of_the_engine() {
    for (text, name) in [
        (r"select @'a\'b' := 1", "a'b"),
        (r"select @'a\tb' := 1", "a\tb"),
        (r"select @'a\%\\b' := 1", "a\\%\\b"),
        (r"select @`a\` := 1", "a\\"),
        ("select @`a``b` := 1", "a`b"),
    ] {
        let effects = effects_of(text.as_bytes());
        let names: Vec<VariableName> = effects.assigned_variables.into_iter().collect();
        assert_eq!(names, [VariableName::user(name)], "{text}");
        assert!(!effects.is_unpredictable);
    }
    assert!(effects_of(b"select @'a\xffb' := 1").is_unpredictable);
    assert!(!effects_of(b"select @'a\xffb'").is_unpredictable);
}

#[test]
fn statements_that_commit_implicitly_are_recognized() {
    assert!(
        commits_implicitly(b"/* x */ alter table t add a int")
            && commits_implicitly(b"lock tables t read")
    );
    assert!(!commits_implicitly(b"(select 1)") && !commits_implicitly(b"insert into t values (1)"));
    assert!(commits_implicitly(
        b"/*!50000 create table u as */ select 1"
    ));
    assert!(commits_implicitly(b"select 1 /*!99999 into outfile 'x' */"));
    assert!(!commits_implicitly(b"select 1 /*! into outfile 'x' */"));
    assert!(!commits_implicitly(b"select /*+ no_icp(t) */ 1"));
}

#[test]
fn table_group_is_found_despite_quotes_comments_and_aliases() {
    let cases: [(&str, Option<u64>); 17] = [
        ("select * from sales_17.orders", Some(17)),
        ("SELECT a.x FROM `kit_sales_3`.`o r` AS a", Some(3)),
        ("select 'from a_1.b' from c_2.d", Some(2)),
        (
            "select 'it''s a_1.b', 'x\\' from a_9.t' from c_2.d",
            Some(2),
        ),
        ("select 1 -- from a_1.b\nfrom c_2.d", Some(2)),
        ("select /* a_1.b */ 1 from c_2.d", Some(2)),
        ("# a_1.b\nselect 1 from c_2.d", Some(2)),
        ("insert into staging.x select * from c_2.d", Some(2)),
        (
            "insert into c_5.t select * from Staging.x join a_2.y on 1",
            Some(5),
        ),
        ("select t_4.id from c_2.d t_4", Some(2)),
        ("select * from (select * from c_2 . d) x", Some(2)),
        ("select * from cat.c_2.d", Some(2)),
        ("select * from \"c_2\".\"d\"", Some(2)),
        ("select \"from a_1.b\" from c_2.d", Some(2)),
        ("select 1.5, x from t", None),
        ("select * from sales.orders_17", None),
        ("select 'unfinished a_1.b", None),
    ];
    for (text, expected) in cases {
        assert_eq!(table_group(text.as_bytes()), expected, "{text}");
    }
}

/// Guards against a sound statement that holds the thread of all clients: each call walked all words before it, so
/// that a WITH of 95,000 rows took 30 s.
#[test]
fn statements_of_the_maximum_size_are_classified_in_linear_time() {
    const MAX_PACKET: usize = 1 << 20;
    /// The bench counts a thread that is busy for so long as a crash.
    const BUSY_LIMIT: std::time::Duration = std::time::Duration::from_secs(20);
    for (head, part, tail) in [
        (
            "WITH a(b) AS (VALUES ROW(0)",
            ", ROW(1)",
            ") SELECT b FROM a",
        ),
        ("WITH a AS (SELECT 1)", ", b(c) AS (SELECT 1)", " SELECT 1"),
        ("SELECT 1", ", abs(1)", ""),
        ("SELECT a", ".a", " FROM t"),
        ("SELECT ", "(", ""),
        ("SELECT 1", ", @a := 1", ""),
        ("SELECT 1", " /*!50000 , 2 */", ""),
    ] {
        let repeats = (MAX_PACKET - head.len() - tail.len()) / part.len();
        let statement = format!("{head}{}{tail}", part.repeat(repeats)).into_bytes();
        let start = std::time::Instant::now();
        classify(&statement);
        effects_of(&statement);
        commits_implicitly(&statement);
        reads_last_insert_id(&statement);
        table_group(&statement);
        assert!(start.elapsed() < BUSY_LIMIT, "{head}{part}...");
    }
}
