use std::{fs, io, path::Path, thread};

use serde_json::{Value, json};

use super::options::Options;

/// Result rows of one subcommand, printed as a table and written as JSON.
#[derive(Debug)]
pub(crate) struct Report {
    header: Value,
    rows: Vec<Vec<(String, Value)>>,
}

/// Builds a row of a report from `"column" => value` pairs.
macro_rules! row {
    ($($column:literal => $value:expr),+ $(,)?) => {
        [$(($column, serde_json::json!($value))),+]
    };
}
pub(crate) use row;

impl Report {
    pub(crate) fn new(options: &Options, setting: &Value) -> Self {
        let cores = thread::available_parallelism().map_or(0, usize::from);
        let build = if cfg!(debug_assertions) {
            "debug"
        } else {
            "release"
        };
        Self {
            header: json!({
                "command": options.command,
                "seed": options.seed,
                "count": options.count,
                "machine_cores": cores,
                "build": build,
                "setting": setting,
            }),
            rows: Vec::new(),
        }
    }

    pub(crate) fn push<const N: usize>(&mut self, row: [(&str, Value); N]) {
        let row = row.map(|(column, value)| (column.to_owned(), value));
        self.rows.push(row.into());
    }

    /// Prints the rows in order, with a new table header wherever the columns change.
    pub(crate) fn print(&self) {
        println!("{}", self.header);
        let mut columns = Vec::new();
        for row in &self.rows {
            let row_columns = row.iter().map(|(column, _)| column).collect::<Vec<_>>();
            if row_columns != columns {
                println!();
                println!(
                    "{}",
                    format_line(row_columns.iter().map(|name| (*name).clone()))
                );
                columns = row_columns;
            }
            println!(
                "{}",
                format_line(row.iter().map(|(_, value)| format_cell(value)))
            );
        }
    }

    pub(crate) fn write(&self, path: &Path) -> io::Result<()> {
        if let Some(folder) = path.parent() {
            fs::create_dir_all(folder)?;
        }
        let rows = self.rows.iter().map(|row| {
            let fields = row
                .iter()
                .map(|(column, value)| format!("{column:?}: {value}"))
                .collect::<Vec<_>>();
            format!("{{{}}}", fields.join(", "))
        });
        let lines = rows.collect::<Vec<_>>().join(",\n    ");
        let text = format!(
            "{{\n  \"about\": {},\n  \"rows\": [\n    {lines}\n  ]\n}}\n",
            self.header
        );
        fs::write(path, text)
    }
}

fn format_line<I>(cells: I) -> String
where
    I: Iterator<Item = String>,
{
    let cells = cells.map(|cell| format!("{cell:>16}"));
    cells.collect::<Vec<_>>().concat()
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}
