use std::process::ExitCode;

use getopts::{Matches, Options};

/// Exit code for wrong usage or settings.
pub(crate) const EXIT_USAGE: u8 = 2;

/// Command line of a program without subcommands.
pub(crate) struct CommandLine {
    program: &'static str,
    synopsis: &'static str,
    options: Options,
}

impl CommandLine {
    /// The options of a program and those that every program has.
    pub(crate) fn new(program: &'static str, synopsis: &'static str, mut options: Options) -> Self {
        options
            .optflag("", "help", "print this help")
            .optflag("", "version", "print the version");
        Self {
            program,
            synopsis,
            options,
        }
    }

    /// Parses the arguments; the exit code if the program has nothing more to do.
    pub(crate) fn parse(&self, args: &[String]) -> Result<Matches, ExitCode> {
        let matches = self
            .options
            .parse(args)
            .map_err(|e| self.refuse(&e.to_string()))?;
        if matches.opt_present("help") {
            let brief = format!("Usage: {} {}", self.program, self.synopsis);
            println!("{}", self.options.usage(&brief));
            return Err(ExitCode::SUCCESS);
        }
        if matches.opt_present("version") {
            println!("{} {}", self.program, env!("CARGO_PKG_VERSION"));
            return Err(ExitCode::SUCCESS);
        }
        Ok(matches)
    }

    /// Reports wrong usage or settings.
    pub(crate) fn refuse(&self, cause: &str) -> ExitCode {
        eprintln!("{}: {cause}", self.program);
        ExitCode::from(EXIT_USAGE)
    }
}
