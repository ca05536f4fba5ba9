//! Expressions and select lists that a fake engine evaluates without a table.

use super::text::{strip_comments, unquote_name};
use super::variables::system_name;
use super::{Session, SessionResponse};

/// Number of rows of each table from which a statement assigns user variables.
const ROWS_OF_A_TABLE: usize = 5;

/// Beginning of a call of CONCAT.
const CONCAT: &str = "concat(";
const SELECT: &str = "select";

/// Returns what follows the keyword of a SELECT; `None` for another statement.
fn select_list(statement: &str) -> Option<&str> {
    let (keyword, list) = statement.split_at_checked(SELECT.len())?;
    keyword.eq_ignore_ascii_case(SELECT).then_some(list)
}

impl Session {
    /// Executes a SELECT that assigns user variables: `@x := EXPRESSION, ...`, for each of
    /// [`ROWS_OF_A_TABLE`] rows if it has a FROM, or `EXPRESSION INTO @x`. Returns `None` if it is not supported.
    pub(super) fn assign_in_select(&mut self, list: &str) -> Option<SessionResponse> {
        let (list, rows) = match list.split_once(" from ") {
            Some((list, _table)) => (list, ROWS_OF_A_TABLE),
            None => (list, 1),
        };
        if let Some((value, name)) = list.split_once(" into @") {
            let value = self.evaluate(value)?;
            self.assign_user_variable(name, value);
            return Some(SessionResponse::Ok);
        }
        let items = self.reading_mode().split_at_commas(list);
        let mut all = vec![];
        for _ in 0..rows {
            let mut row = vec![];
            for item in &items {
                let value = match item.split_once(":=") {
                    Some((name, expression)) => {
                        let value = self.evaluate(expression)?;
                        self.assign_user_variable(name.trim().strip_prefix('@')?, value.clone());
                        value
                    }
                    None => self.evaluate(item)?,
                };
                row.push(value);
            }
            all.push(row);
        }
        let names = items.iter().map(|item| item.trim().to_string()).collect();
        Some(SessionResponse::Rows(names, all))
    }

    fn assign_user_variable(&mut self, name: &str, value: Option<String>) {
        let name = unquote_name(name.trim()).to_lowercase();
        self.user_variables.insert(name, value);
    }

    /// Evaluates an expression that needs no table. Returns `None` if the expression is not supported and
    /// `Some(None)` for NULL.
    pub(super) fn evaluate(&self, text: &str) -> Option<Option<String>> {
        let text = text.trim();
        let lower = text.to_ascii_lowercase();
        if let Some(inner) = text.strip_prefix('(').and_then(|t| t.strip_suffix(')')) {
            let inner = inner.trim();
            return self.evaluate(select_list(inner).unwrap_or(inner));
        }
        if lower.starts_with(CONCAT) {
            return self.concatenate(&text[CONCAT.len()..text.len() - 1]);
        }
        if let Some((left, right)) = text.split_once(" + ") {
            return self.add(left, right);
        }
        if lower.starts_with("@@") {
            let name = lower.strip_prefix("@@global.").unwrap_or(&lower);
            let value = self.variables.get(system_name(name))?;
            return Some(Some(value.clone()));
        }
        if let Some(name) = lower.strip_prefix('@') {
            let value = self.user_variables.get(&unquote_name(name));
            return Some(value.cloned().flatten());
        }
        if text.starts_with('\'')
            || text.starts_with('"') && !self.reading_mode().has_quoted_names()
        {
            return Some(Some(self.reading_mode().text_of_literal(text)?));
        }
        match lower.as_str() {
            "null" => Some(None),
            "database()" => Some(self.schema.clone()),
            "connection_id()" => Some(Some(self.number.to_string())),
            "engine()" => Some(Some(self.name.clone())),
            "version()" => Some(Some("8.0.0-lab".into())),
            "last_insert_id()" => Some(Some("0".into())),
            _ if text.parse::<f64>().is_ok() => Some(Some(text.into())),
            _ => None,
        }
    }

    /// Evaluates CONCAT with these arguments; it is NULL if one of them is.
    fn concatenate(&self, arguments: &str) -> Option<Option<String>> {
        let arguments = self.reading_mode().split_at_commas(arguments);
        let values: Option<Vec<Option<String>>> = arguments
            .iter()
            .map(|argument| self.evaluate(argument))
            .collect();
        let texts: Option<Vec<String>> = values?.into_iter().collect();
        Some(texts.map(|texts| texts.concat()))
    }

    /// Evaluates the sum of two integers; it is NULL if one of them is.
    fn add(&self, left: &str, right: &str) -> Option<Option<String>> {
        let left = self.evaluate(left)?;
        let right = self.evaluate(right)?;
        let sum = |left: String, right: String| {
            Some((left.parse::<i64>().ok()? + right.parse::<i64>().ok()?).to_string())
        };
        Some(left.zip(right).and_then(|(left, right)| sum(left, right)))
    }

    /// Returns the number of columns of a SELECT that the session evaluates itself.
    pub fn column_count(&self, sql: &str) -> Option<usize> {
        let text = strip_comments(sql);
        match self.evaluate_select(select_list(&text)?)? {
            SessionResponse::Row(names, _) => Some(names.len()),
            _ => None,
        }
    }

    /// Evaluates the select list of a statement; returns `None` if one of its expressions needs a table.
    pub(super) fn evaluate_select(&self, list: &str) -> Option<SessionResponse> {
        let list = list.trim();
        let list = list
            .strip_suffix("LIMIT 1")
            .or_else(|| list.strip_suffix("limit 1"))
            .unwrap_or(list);
        let (mut names, mut row) = (vec![], vec![]);
        for item in self.reading_mode().split_at_commas(list) {
            let item = item.trim();
            let at = item.to_ascii_lowercase().rfind(" as ");
            let (value, name) = at.map_or((item, item), |at| (&item[..at], item[at + 4..].trim()));
            row.push(self.evaluate(value)?);
            names.push(name.trim_matches('`').to_string());
        }
        Some(SessionResponse::Row(names, row))
    }
}
