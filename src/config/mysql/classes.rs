//! `[[class]]`, `[[rule]]` and the keys that name classes: classification of statements.

use crate::config::checks::positive;
use crate::config::mysql::raw::RawMysql;
use crate::config::{ConfigError, Problem, position_of};
use crate::decision::model::{Class, ClassId, Idempotency, Millis};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawClass {
    pub(super) name: String,
    #[serde(rename = "worth")]
    priority_weight: f64,
    #[serde(rename = "aim_ms")]
    latency_objective_ms: f64,
    deadline_ms: f64,
    #[serde(default)]
    #[serde(rename = "aim_stretch")]
    latency_objective_slowdown: f64,
    #[serde(default)]
    #[serde(rename = "late_share")]
    late_answer_weight: f64,
    #[serde(default = "one")]
    threads: u32,
    /// True if statements of the class must not run twice.
    #[serde(rename = "unsafe", default)]
    non_idempotent: bool,
    #[serde(default)]
    holds_tables: bool,
    #[serde(default)]
    waits_for_loads: bool,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawRule {
    contains: String,
    class: String,
}

/// Rules that assign MySQL statements to classes.
#[derive(Clone, Debug)]
pub struct ClassRules {
    /// Class of statements that may write; it is non-idempotent.
    pub write_class: ClassId,
    /// Class of reads that neither a comment nor a rule assigns to another class.
    pub read_class: ClassId,
    class_names: Vec<String>,
    rules: Vec<ClassRule>,
}

/// Assigns reads that contain a text to a class.
#[derive(Clone, Debug)]
struct ClassRule {
    /// The text, in lower case.
    text: String,
    class: ClassId,
}

impl ClassRules {
    /// Creates the rules. `contains` assigns reads that contain a text, given in lower case, to a class; the
    /// first match applies.
    pub fn new(
        write_class: ClassId,
        read_class: ClassId,
        class_names: Vec<String>,
        contains: Vec<(String, ClassId)>,
    ) -> Self {
        let rules = contains.into_iter();
        ClassRules {
            write_class,
            read_class,
            class_names,
            rules: rules
                .map(|(text, class)| ClassRule { text, class })
                .collect(),
        }
    }

    /// Returns the class of a statement. A comment (`requested`) or a rule can assign a read to a class; a
    /// write is always in the write class.
    pub fn class_of(&self, is_read: bool, requested: Option<&str>, sql: &[u8]) -> ClassId {
        if !is_read {
            return self.write_class;
        }
        requested
            .and_then(|name| position_of(&self.class_names, name))
            .or_else(|| self.matching_rule(sql))
            .unwrap_or(self.read_class)
    }

    fn matching_rule(&self, sql: &[u8]) -> Option<ClassId> {
        let statement = String::from_utf8_lossy(sql).to_lowercase();
        let mut rules = self.rules.iter();
        rules
            .find(|rule| statement.contains(&rule.text))
            .map(|rule| rule.class)
    }
}

/// Classes that keys of the file name.
pub(super) struct StatementClasses {
    pub(super) rules: ClassRules,
    pub(super) transaction_class: ClassId,
}

/// Resolves `write_class`, `read_class`, `transaction_class` and the rules.
pub(super) fn check_statement_classes(raw: &RawMysql) -> Result<StatementClasses, ConfigError> {
    let class_names: Vec<String> = raw.class.iter().map(|c| c.name.clone()).collect();
    let write_class = class_id("write_class", &raw.write_class, &class_names)?;
    let read_class = class_id("read_class", &raw.read_class, &class_names)?;
    let transaction_class = match &raw.transaction_class {
        Some(name) => class_id("transaction_class", name, &class_names)?,
        None => write_class,
    };
    check_non_idempotent("write_class", &raw.class[write_class])?;
    check_non_idempotent("transaction_class", &raw.class[transaction_class])?;
    let mut rules = Vec::with_capacity(raw.rule.len());
    for (index, rule) in raw.rule.iter().enumerate() {
        let class = class_id(&format!("rule[{index}].class"), &rule.class, &class_names)?;
        rules.push((rule.contains.to_lowercase(), class));
    }
    Ok(StatementClasses {
        rules: ClassRules::new(write_class, read_class, class_names, rules),
        transaction_class,
    })
}

fn class_id(key: &str, name: &str, class_names: &[String]) -> Result<ClassId, ConfigError> {
    position_of(class_names, name).ok_or_else(|| {
        let problem = Problem::UnknownName {
            section: "class",
            name: name.into(),
        };
        ConfigError::invalid(key, problem)
    })
}

fn check_non_idempotent(key: &str, class: &RawClass) -> Result<(), ConfigError> {
    if class.non_idempotent {
        return Ok(());
    }
    let class = class.name.clone();
    Err(ConfigError::invalid(
        key,
        Problem::IdempotentClass { class },
    ))
}

/// Returns the deadline of each class, in ms.
pub(super) fn check_deadlines(classes: &[RawClass]) -> Result<Vec<Millis>, ConfigError> {
    let mut deadlines = Vec::with_capacity(classes.len());
    for (index, class) in classes.iter().enumerate() {
        let key = format!("class[{index}].deadline_ms");
        deadlines.push(positive(&key, class.deadline_ms)?);
    }
    Ok(deadlines)
}

/// Converts a class to that of the decision module.
pub(super) fn decision_class(raw: &RawClass) -> Class {
    Class {
        priority_weight: raw.priority_weight,
        latency_objective: raw.latency_objective_ms,
        latency_objective_slowdown: raw.latency_objective_slowdown,
        late_answer_weight: raw.late_answer_weight,
        idempotency: if raw.non_idempotent {
            Idempotency::NonIdempotent
        } else {
            Idempotency::Idempotent
        },
        in_order: false,
        allowed_zones: None,
        allowed_kinds: None,
        threads: f64::from(raw.threads),
        holds_tables: raw.holds_tables,
        waits_for_loads: raw.waits_for_loads,
    }
}
