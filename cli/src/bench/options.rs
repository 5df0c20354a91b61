use std::{path::PathBuf, time::Duration};

/// Options that all subcommands share.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) command: String,
    pub(crate) seed: u64,
    /// Number of repetitions; each subcommand defines what it repeats and the default.
    pub(crate) count: Option<u64>,
    /// Maximum real time of one measured case.
    pub(crate) case_limit: Duration,
    pub(crate) out: PathBuf,
}

impl Options {
    /// Parses the arguments after the name of the subcommand; the error is the text to print.
    pub(crate) fn parse<A>(command: &str, description: &str, args: A) -> Result<Self, String>
    where
        A: Iterator<Item = String>,
    {
        let mut opts = getopts::Options::new();
        opts.optopt("", "seed", "seed of all random draws (default 1)", "N");
        opts.optopt(
            "",
            "count",
            "number of repetitions (default depends on COMMAND)",
            "N",
        );
        opts.optopt(
            "",
            "limit-s",
            "maximum duration of one case (default 20, at most 120)",
            "SECONDS",
        );
        opts.optopt(
            "",
            "out",
            "result file (default docs/measurements/COMMAND.json)",
            "FILE",
        );
        opts.optflag("h", "help", "print this text");
        let usage = || opts.usage(&format!("tarragon-bench {command}: {description}"));
        let matches = opts
            .parse(args)
            .map_err(|err| format!("{err}\n{}", usage()))?;
        if matches.opt_present("help") || !matches.free.is_empty() {
            return Err(usage());
        }
        let parse_number = |name| {
            matches
                .opt_get::<u64>(name)
                .map_err(|err| format!("--{name}: {err}"))
        };
        Ok(Self {
            command: command.to_owned(),
            seed: parse_number("seed")?.unwrap_or(1),
            count: parse_number("count")?,
            case_limit: Duration::from_secs(parse_number("limit-s")?.unwrap_or(20).min(120)),
            out: matches.opt_str("out").map_or_else(
                || PathBuf::from(format!("docs/measurements/{command}.json")),
                PathBuf::from,
            ),
        })
    }
}
