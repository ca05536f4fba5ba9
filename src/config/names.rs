//! The names behind the numbers that the decision module works with.

/// Names by number, as one instance's settings list them: a class's name stands at its
/// [`ClassId`](crate::decision::model::ClassId), and likewise for the other lists.
#[derive(Clone, Debug, PartialEq)]
pub struct NameTable {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the kinds of engine.
    pub kinds: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// True if answers report the work and memory that a query really took.
    pub reports_cost: bool,
    /// The names of a load report's values, in their order.
    pub report_fields: Vec<String>,
}

/// Position of a name in a list.
pub fn position_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|listed| listed == name)
}
