//! Statements in the modes of their sessions, and the modes of sessions.

use crate::protocol::mysql::sql_mode::{LexicalMode, LexicalModes, ObservedDefaults};
use crate::protocol::statement::*;
use crate::sticky_sessions::StickyReason;

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
        let kind_in = |mode: LexicalMode| classify(sql.as_bytes(), mode.into());
        assert_eq!(kind_in(LexicalMode::default()), in_default, "{sql}");
        assert_eq!(kind_in(NO_BACKSLASH_ESCAPES), without_escapes, "{sql}");
        assert_eq!(kind_in(ANSI_QUOTES), with_quoted_names, "{sql}");
        // Where the mode is not known, a statement is a read only if it is one in each of them.
        let kind = classify(sql.as_bytes(), LexicalModes::all());
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
    assert!(!reads_last_insert_id(reading, LexicalModes::default()));
    assert!(reads_last_insert_id(reading, NO_BACKSLASH_ESCAPES.into()));
    let newer = br"select 'D:\' /*!99999 into outfile 'x' */";
    assert!(commits_implicitly(newer, NO_BACKSLASH_ESCAPES.into()));
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
