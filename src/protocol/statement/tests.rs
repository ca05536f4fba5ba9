use super::*;
use crate::protocol::mysql::session::VariableName;
use crate::protocol::mysql::sql_mode::{LexicalMode, LexicalModes, ObservedDefaults};
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

const NO_BACKSLASH_ESCAPES: LexicalMode = LexicalMode {
    no_backslash_escapes: true,
    ansi_quotes: false,
};
const ANSI_QUOTES: LexicalMode = LexicalMode {
    no_backslash_escapes: false,
    ansi_quotes: true,
};

/// Guards against a write that is hidden in what another mode takes for text.
#[test]
fn statements_are_read_in_the_mode_of_their_session() {
    use StatementKind::{MakesSticky, Read, Write};
    let assigns = MakesSticky(StickyReason::SessionVariable);
    let locks = MakesSticky(StickyReason::UserLock);
    // The kind in the default mode, with NO_BACKSLASH_ESCAPES and with ANSI_QUOTES.
    let cases = [
        (
            r"with old as (select id from files where dir = 'D:\') delete from files where id in (select id from old)",
            [Read, Write, Read],
        ),
        (
            r#"with old as (select "D:\" from files) delete from files limit 10"#,
            [Read, Write, Write],
        ),
        (r"select 'it\'s an update'", [Read, Write, Read]),
        (
            r#"select "a\", delete from t where b = "#,
            [Read, Write, Write],
        ),
        (r"select 'D:\', @n := 5, 'x'", [Read, assigns.clone(), Read]),
        (r"select 'D:\', get_lock('a', 1)", [Read, locks, Read]),
        (
            r#"select "D:\", @n := 5, "x""#,
            [Read, assigns.clone(), assigns],
        ),
        (r"select 'D:\\', a, 'D:\\' from t", [Read, Read, Read]),
        (r#"select "a", 'b' from t"#, [Read, Read, Read]),
        (r"select `D:\` from t", [Read, Read, Read]),
    ];
    for (sql, [in_default, without_escapes, with_quoted_names]) in cases {
        let kind_in = |mode: LexicalMode| super::classify(sql.as_bytes(), mode.into());
        assert_eq!(kind_in(LexicalMode::default()), in_default, "{sql}");
        assert_eq!(kind_in(NO_BACKSLASH_ESCAPES), without_escapes, "{sql}");
        assert_eq!(kind_in(ANSI_QUOTES), with_quoted_names, "{sql}");
        // Where the mode is not known, a statement is a read only if it is one in each of them.
        let kind = super::classify(sql.as_bytes(), LexicalModes::all());
        let is_read = [in_default, without_escapes, with_quoted_names]
            .iter()
            .all(|kind| *kind == Read);
        assert_eq!(kind == Read, is_read, "{sql}");
    }
}

/// Guards against a connection whose state is not known, for what changed it was taken for text.
#[test]
fn effects_of_statements_are_those_in_the_mode_of_their_session() {
    let assigning = br"select 'D:\', @n := 5, 'x'";
    let names = |modes: LexicalModes| {
        let effects = ConnectionEffects::of(assigning, modes);
        effects.assigned_variables.len()
    };
    assert_eq!(names(LexicalModes::default()), 0);
    assert_eq!(names(NO_BACKSLASH_ESCAPES.into()), 1);
    assert_eq!(names(LexicalModes::all()), 1);
    let dropping = br#"drop database "depot""#;
    let dropped = |modes: LexicalModes| ConnectionEffects::of(dropping, modes);
    assert_eq!(dropped(LexicalModes::default()).dropped_schema, None);
    let in_ansi = dropped(ANSI_QUOTES.into());
    assert_eq!(in_ansi.dropped_schema.as_deref(), Some("depot"));
    assert!(!in_ansi.is_unpredictable);
    assert!(dropped(LexicalModes::all()).is_unpredictable);
    let reading = br"select 'D:\', last_insert_id()";
    assert!(!super::reads_last_insert_id(
        reading,
        LexicalModes::default()
    ));
    assert!(super::reads_last_insert_id(
        reading,
        NO_BACKSLASH_ESCAPES.into()
    ));
    let newer = br"select 'D:\' /*!99999 into outfile 'x' */";
    assert!(super::commits_implicitly(
        newer,
        NO_BACKSLASH_ESCAPES.into()
    ));
}

#[test]
fn modes_of_sessions_are_those_that_they_set_or_that_engines_report() {
    const FLAG: u16 = 0x200;
    for (value, expected) in [
        ("", LexicalMode::default()),
        (
            "STRICT_TRANS_TABLES, no_backslash_escapes",
            NO_BACKSLASH_ESCAPES,
        ),
        ("1048576", NO_BACKSLASH_ESCAPES),
        ("ANSI", ANSI_QUOTES),
        ("REAL_AS_FLOAT,ANSI_QUOTES", ANSI_QUOTES),
        ("4", ANSI_QUOTES),
        ("262144", ANSI_QUOTES),
        ("1048576.0", NO_BACKSLASH_ESCAPES),
        ("+1.048576e6", NO_BACKSLASH_ESCAPES),
        ("3.6", ANSI_QUOTES),
        ("2097152", LexicalMode::default()),
    ] {
        assert_eq!(LexicalMode::of_sql_mode(value), expected, "{value}");
    }
    let sql = br"select 'it\'s'";
    let mut observed = ObservedDefaults::default();
    let readings = |observed: ObservedDefaults| {
        let modes = observed.modes().readings(sql).iter();
        modes.collect::<Vec<LexicalMode>>()
    };
    assert_eq!(readings(observed).len(), 2, "no login yet");
    observed.record(0);
    assert_eq!(readings(observed), [LexicalMode::default()]);
    observed.record(FLAG);
    assert_eq!(readings(observed).len(), 2, "engines differ");
    let mut observed = ObservedDefaults::default();
    observed.record(FLAG);
    assert_eq!(readings(observed), [NO_BACKSLASH_ESCAPES]);
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
