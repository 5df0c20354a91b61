use std::process::ExitCode;

use derive_more::From;
use serde_json::json;
use tarragon_codes::{Code, Failure};

/// Why a subcommand did not do what it was asked for.
#[derive(Debug, From)]
pub(super) enum CtlError {
    /// The command line is wrong.
    #[from(skip)]
    Usage(String),
    /// The call failed.
    Failed(Failure),
    /// What was waited for has not happened yet.
    #[from(skip)]
    NotYet(String),
}

impl CtlError {
    /// Text for standard error.
    pub(super) fn render(&self, json: bool) -> String {
        match self {
            Self::Failed(failure) if json => json!({
                "code": failure.code,
                "cause": failure.cause,
                "advice": failure.code.advice(),
                "retry_after_ms": failure.retry_after_ms,
            })
            .to_string(),
            Self::Usage(cause) | Self::NotYet(cause) if json => json!({"cause": cause}).to_string(),
            Self::Failed(failure) => {
                format!("tarragonctl: {failure}\n{}", failure.code.advice())
            }
            Self::Usage(cause) | Self::NotYet(cause) => format!("tarragonctl: {cause}"),
        }
    }

    /// Exit code that scripts tell the cases apart by.
    pub(super) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage(_) => 2,
            Self::NotYet(_) => 5,
            Self::Failed(failure) => match failure.code {
                Code::OutcomeUnknown | Code::InProgress | Code::CutShort | Code::NotConfirmed => 3,
                code if (5_000..6_000).contains(&code.number()) => 4,
                _ => 1,
            },
        })
    }
}
