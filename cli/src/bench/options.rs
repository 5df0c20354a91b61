use std::{path::PathBuf, time::Duration};

/// Options that all subcommands share.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) command: String,
    pub(crate) seed: u64,
    /// Repetitions of what is measured; each subcommand has its own default.
    pub(crate) count: Option<u64>,
    /// Longest time of one measured case.
    pub(crate) limit: Duration,
    pub(crate) out: PathBuf,
}

impl Options {
    /// Parses what follows the name of the subcommand.
    pub(crate) fn parse<A>(command: &str, about: &str, args: A) -> Result<Self, String>
    where
        A: Iterator<Item = String>,
    {
        let mut opts = getopts::Options::new();
        opts.optopt("", "seed", "seed of all random draws (default 1)", "N");
        opts.optopt("", "count", "repetitions of what is measured", "N");
        opts.optopt(
            "",
            "limit-s",
            "longest time of one case (default 20)",
            "SECONDS",
        );
        opts.optopt(
            "",
            "out",
            "result file (default docs/measurements/COMMAND.json)",
            "FILE",
        );
        opts.optflag("h", "help", "print this text");
        let usage = || opts.usage(&format!("tarragon-bench {command}: {about}"));
        let matches = opts
            .parse(args)
            .map_err(|err| format!("{err}\n{}", usage()))?;
        if matches.opt_present("help") || !matches.free.is_empty() {
            return Err(usage());
        }
        let number = |name| {
            matches
                .opt_get::<u64>(name)
                .map_err(|err| format!("--{name}: {err}"))
        };
        Ok(Self {
            command: command.to_owned(),
            seed: number("seed")?.unwrap_or(1),
            count: number("count")?,
            limit: Duration::from_secs(number("limit-s")?.unwrap_or(20).min(120)),
            out: matches.opt_str("out").map_or_else(
                || PathBuf::from(format!("docs/measurements/{command}.json")),
                PathBuf::from,
            ),
        })
    }
}
