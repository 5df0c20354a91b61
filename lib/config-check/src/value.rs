use tarragon_names::Name;

/// Value of a field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// A name or part of an address.
    Text(Name),
    /// A number in the unit of the field.
    Amount(u64),
    /// A setting that is on or off.
    Flag(bool),
    /// The field is not set and has no default.
    Absent,
}
