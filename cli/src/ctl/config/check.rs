use std::{
    fs::File,
    io::{self, Read},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use getopts::{Matches, Options};
use tarragon_platform::{
    ConfigClient, ConfigError, ConfigPlace, HttpClient, config_differences, config_warnings,
    read_config,
};
use tarragon_telemetry::NullSink;

use super::check_report::{CheckReport, VersionInForce};
use crate::{
    ctl::{
        Context, CtlError, Output, Subcommand,
        context::{operand, option},
        subcommand::Run,
    },
    entryd::BODY_BYTES,
};

/// Time limit for reading the version in force. A host answers within 900 ms or not at all.
const DEFAULT_LIMIT_MS: u64 = 2_000;

/// Validates a configuration file before it is sent.
pub(in crate::ctl) struct Check;

impl Subcommand for Check {
    fn words(&self) -> &'static str {
        "config check"
    }

    fn operands(&self) -> &'static str {
        "FILE"
    }

    fn about(&self) -> &'static str {
        "validate a configuration before it is sent"
    }

    fn options(&self, options: &mut Options) {
        options
            .optopt(
                "",
                "in-force",
                "control address of an entry host, to compare with the version in force",
                "IP:PORT",
            )
            .optopt(
                "",
                "limit-ms",
                "time limit for reading the version in force [2000]",
                "MS",
            );
    }

    fn calls_hosts(&self) -> bool {
        false
    }

    fn run<'a>(&'a self, _cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let file = operand(matches, "file")?;
            let address: Option<SocketAddr> = option(matches, "in-force")?;
            let limit = option(matches, "limit-ms")?.unwrap_or(DEFAULT_LIMIT_MS);
            let limit = Duration::from_millis(limit);
            let body =
                read_body(file).map_err(|e| CtlError::Usage(format!("cannot read {file}: {e}")))?;
            let report = check(file, &body, address, limit).await;
            Ok(Output::new(report.text(), &report).with_exit_code(report.exit_code()))
        })
    }
}

/// Reads a file up to one byte more than a host accepts.
fn read_body(path: &str) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let file = File::open(path)?;
    file.take(BODY_BYTES as u64 + 1).read_to_end(&mut body)?;
    Ok(body)
}

async fn check(
    file: &str,
    body: &[u8],
    address: Option<SocketAddr>,
    limit: Duration,
) -> CheckReport {
    if body.len() > BODY_BYTES {
        return CheckReport::refused(file, vec![too_large()]);
    }
    let checked = match read_config(body) {
        Ok(checked) => checked,
        Err(errors) => return CheckReport::refused(file, errors),
    };
    let Some(address) = address else {
        return CheckReport::accepted(file, config_warnings(&checked, None));
    };
    let client = ConfigClient::new(HttpClient::new(Arc::new(NullSink)));
    match client.in_force(&address.to_string(), limit).await {
        Ok(in_force) => {
            let version = in_force.configuration.version;
            let warnings = config_warnings(&checked, Some(&in_force));
            let differences = config_differences(&in_force, &checked);
            CheckReport::accepted(file, warnings)
                .compared(VersionInForce { address, version }, differences)
        }
        Err(failure) => {
            let cause = format!("{address}: {}", failure.cause);
            CheckReport::accepted(file, config_warnings(&checked, None)).unanswered(cause)
        }
    }
}

fn too_large() -> ConfigError {
    ConfigError {
        place: ConfigPlace::Field {
            path: String::new(),
        },
        cause: format!("the file has more than {BODY_BYTES} bytes, which no host accepts"),
    }
}
