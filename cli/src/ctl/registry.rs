//! All subcommands and how one is found.

use getopts::Options;

use super::{
    Context, Subcommand, catalogue, config, executors, hosts, jobs, log_level, members, quota,
    ready, submit, workers,
};

const ALL: &[&dyn Subcommand] = &[
    &catalogue::Delete,
    &catalogue::Get,
    &catalogue::History,
    &catalogue::List,
    &catalogue::Put,
    &catalogue::Wait,
    &config::Check,
    &executors::Drain,
    &executors::List,
    &executors::TakeBack,
    &hosts::Hosts,
    &jobs::Cancel,
    &jobs::Explain,
    &jobs::List,
    &jobs::Show,
    &log_level::LogLevel,
    &members::Replace,
    &quota::Get,
    &quota::Put,
    &ready::Ready,
    &submit::Submit,
    &workers::Drain,
    &workers::List,
    &workers::TakeBack,
];

/// The subcommand that the first words select, and the rest of the command line.
pub(super) fn find(args: &[String]) -> Option<(&'static dyn Subcommand, &[String])> {
    ALL.iter().find_map(|subcommand| {
        let words: Vec<_> = subcommand.words().split(' ').collect();
        let chosen = args.len() >= words.len() && words.iter().zip(args).all(|(w, a)| w == a);
        chosen.then(|| (*subcommand, &args[words.len()..]))
    })
}

/// All options of a subcommand.
pub(super) fn options(subcommand: &dyn Subcommand) -> Options {
    let mut options = Options::new();
    subcommand.options(&mut options);
    Context::options(&mut options, subcommand.calls_hosts());
    options
}

/// Help of one subcommand.
pub(super) fn help(subcommand: &dyn Subcommand, options: &Options) -> String {
    let brief = format!(
        "{}\n\nUsage: tarragonctl {} [OPTIONS] {}",
        subcommand.about(),
        subcommand.words(),
        subcommand.operands(),
    );
    options.usage(brief.trim_end()).trim_end().to_owned()
}

/// Help of the whole command.
pub(super) fn overview() -> String {
    let lines = ALL.iter().map(|subcommand| {
        let call = format!("{} {}", subcommand.words(), subcommand.operands());
        format!("  {:34} {}", call.trim_end(), subcommand.about())
    });
    let lines: Vec<_> = lines.collect();
    format!(
        "Usage: tarragonctl SUBCOMMAND [OPTIONS]\n\nSubcommands:\n{}\n\n\
         Each subcommand has --json and --help, and all but 'config check' have --host and \
         --token-file.\n\
         Exit codes: 0 done, 1 refused, 2 wrong usage, 3 outcome not known, \
         4 not available, 5 not yet.\n\
         Exit codes of 'config check': 0 clean, 1 warnings, 2 errors or wrong usage, 3 no answer.",
        lines.join("\n")
    )
}
