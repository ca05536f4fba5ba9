//! `[[class]]`, `[[rule]]` and the keys that name classes: which class a statement belongs to.

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
    /// Running a statement of the class twice would do harm.
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

/// Which class a MySQL statement belongs to.
#[derive(Clone, Debug)]
pub struct ClassRules {
    /// The class of statements that are not certain to only read; a non-idempotent one.
    pub write_class: ClassId,
    /// The class of a read that neither a comment nor a rule assigns to another.
    pub read_class: ClassId,
    class_names: Vec<String>,
    rules: Vec<ClassRule>,
}

/// Assigns reads to a class by a text that they contain.
#[derive(Clone, Debug)]
struct ClassRule {
    /// In lower case.
    text: String,
    class: ClassId,
}

impl ClassRules {
    /// Rules among the named classes. `contains` assigns reads that contain a text, in lower case, to a class; the
    /// first match counts.
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

    /// The class of a statement. A comment (`requested`) or a rule assigns a read to a class; a write stays in the
    /// write class, whatever its comment requests.
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

/// The classes that the file's keys name.
pub(super) struct StatementClasses {
    pub(super) rules: ClassRules,
    pub(super) transaction_class: ClassId,
}

/// `write_class`, `read_class`, `transaction_class` and the rules, resolved.
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
    Err(ConfigError::invalid(key, Problem::RetriedClass { class }))
}

/// How long a statement of each class may take.
pub(super) fn check_deadlines(classes: &[RawClass]) -> Result<Vec<Millis>, ConfigError> {
    let mut deadlines = Vec::with_capacity(classes.len());
    for (index, class) in classes.iter().enumerate() {
        let key = format!("class[{index}].deadline_ms");
        deadlines.push(positive(&key, class.deadline_ms)?);
    }
    Ok(deadlines)
}

/// The class as the decision module takes it.
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
