//! Names of the classes, kinds, zones and tenants that the decision module identifies by numbers.

/// Names by number, in the order of an instance's settings: the index of a class's name is its
/// [`ClassId`](crate::decision::model::ClassId), and likewise in the other lists.
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
    /// True if answers report the work and memory that a query actually used.
    pub reports_cost: bool,
    /// Names of the values in a load report, in their order.
    pub report_fields: Vec<String>,
}

/// Returns the position of a name in a list.
pub fn position_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|listed| listed == name)
}
