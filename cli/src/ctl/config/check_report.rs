use std::net::SocketAddr;

use serde::Serialize;
use tarragon_platform::{ConfigChange, ConfigDifference, ConfigError, ConfigWarning};

/// Result of a check of a configuration, as it is printed.
#[derive(Debug, Serialize)]
pub(super) struct CheckReport {
    result: CheckResult,
    file: String,
    errors: Vec<ConfigError>,
    warnings: Vec<ConfigWarning>,
    /// Version with which the file was compared, if it was.
    in_force: Option<VersionInForce>,
    /// Why the version in force could not be read.
    no_answer: Option<String>,
    differences: Vec<ConfigDifference>,
}

/// Conclusion of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum CheckResult {
    Clean,
    Warnings,
    Errors,
    NoAnswer,
}

/// The version in force and the host that has it.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct VersionInForce {
    pub(super) address: SocketAddr,
    pub(super) version: u64,
}

impl CheckReport {
    /// A report of a file that would be refused.
    pub(super) fn refused(file: &str, errors: Vec<ConfigError>) -> Self {
        Self {
            result: CheckResult::Errors,
            file: file.to_owned(),
            errors,
            warnings: Vec::new(),
            in_force: None,
            no_answer: None,
            differences: Vec::new(),
        }
    }

    /// A report of a file that would be accepted.
    pub(super) fn accepted(file: &str, warnings: Vec<ConfigWarning>) -> Self {
        let result = if warnings.is_empty() {
            CheckResult::Clean
        } else {
            CheckResult::Warnings
        };
        Self {
            result,
            warnings,
            ..Self::refused(file, Vec::new())
        }
    }

    /// Adds the comparison with the version in force.
    pub(super) fn compared(
        mut self,
        in_force: VersionInForce,
        differences: Vec<ConfigDifference>,
    ) -> Self {
        self.in_force = Some(in_force);
        self.differences = differences;
        self
    }

    /// Adds that the version in force could not be read.
    pub(super) fn unanswered(mut self, cause: String) -> Self {
        self.result = CheckResult::NoAnswer;
        self.no_answer = Some(cause);
        self
    }

    /// Exit code that scripts tell the results apart by.
    pub(super) fn exit_code(&self) -> u8 {
        match self.result {
            CheckResult::Clean => 0,
            CheckResult::Warnings => 1,
            CheckResult::Errors => 2,
            CheckResult::NoAnswer => 3,
        }
    }

    /// Text for people: one line for each error, warning and difference, then a summary.
    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        for error in &self.errors {
            push_line(&mut text, &format!("error: {error}"));
        }
        for warning in &self.warnings {
            push_line(
                &mut text,
                &format!("warning: {}: {}", warning.path, warning.text),
            );
        }
        for difference in &self.differences {
            push_line(&mut text, &format!("difference: {}", describe(difference)));
        }
        if let Some(cause) = &self.no_answer {
            push_line(&mut text, &format!("no answer: {cause}"));
        }
        text + &self.summary()
    }

    fn summary(&self) -> String {
        let errors = counted(self.errors.len(), "error");
        let warnings = counted(self.warnings.len(), "warning");
        let summary = format!("{}: {errors}, {warnings}", self.file);
        let Some(VersionInForce { address, version }) = self.in_force else {
            return summary;
        };
        let differences = counted(self.differences.len(), "difference");
        format!("{summary}, {differences} from version {version} in force at {address}")
    }
}

fn counted(count: usize, noun: &str) -> String {
    let ending = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{ending}")
}

fn describe(difference: &ConfigDifference) -> String {
    let entry = if difference.section.is_empty() {
        String::new()
    } else {
        format!("{} {:?}: ", difference.section, difference.name)
    };
    match &difference.change {
        ConfigChange::Added => format!("{entry}added"),
        ConfigChange::Removed => format!("{entry}removed"),
        ConfigChange::Field {
            field,
            before,
            after,
        } => format!("{entry}{field}: {before} -> {after}"),
        ConfigChange::Keys { added, removed } => {
            format!("{entry}keys: {added} added, {removed} removed")
        }
    }
}

/// Adds a line. Names come from the file, so control characters are escaped for the terminal.
fn push_line(text: &mut String, line: &str) {
    for c in line.chars() {
        if c.is_control() {
            text.extend(c.escape_default());
        } else {
            text.push(c);
        }
    }
    text.push('\n');
}
