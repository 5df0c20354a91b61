use std::{
    io::{self, Write},
    process::ExitCode,
};

use serde::Serialize;
use serde_json::Value;

/// Result of a subcommand in both forms.
#[derive(Debug)]
pub(super) struct Output {
    text: String,
    json: Value,
    exit_code: u8,
}

impl Output {
    /// A result with a text for people and a value for programs.
    pub(super) fn new<S, T>(text: S, value: &T) -> Self
    where
        S: Into<String>,
        T: Serialize,
    {
        Self {
            text: text.into(),
            json: serde_json::to_value(value).unwrap_or_default(),
            exit_code: 0,
        }
    }

    /// Sets the exit code of a result that scripts tell apart from a success.
    pub(super) fn with_exit_code(mut self, exit_code: u8) -> Self {
        self.exit_code = exit_code;
        self
    }

    /// Exit code of the process.
    pub(super) fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.exit_code)
    }

    /// A list with one line for each value.
    pub(super) fn table<T, const N: usize>(
        head: [&str; N],
        values: &[T],
        row: fn(&T) -> [String; N],
    ) -> Self
    where
        T: Serialize,
    {
        let mut rows = vec![head.map(str::to_owned)];
        rows.extend(values.iter().map(row));
        let mut widths = [0; N];
        for row in &rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let lines: Vec<_> = rows.iter().map(|row| line(row, &widths)).collect();
        Self::new(lines.join("\n"), &values)
    }

    /// The text that is printed.
    pub(super) fn render(&self, json: bool) -> String {
        if json {
            self.json.to_string()
        } else {
            self.text.clone()
        }
    }
}

/// Prints to standard output; a reader that has gone away, as in `| head`, is no fault.
pub(super) fn print(text: &str) {
    let _closed = writeln!(io::stdout(), "{text}");
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<_> = cells
        .iter()
        .zip(widths)
        .map(|(cell, &width)| format!("{cell:width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned()
}
