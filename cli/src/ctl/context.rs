use std::{
    env,
    net::SocketAddr,
    path::Path,
    process,
    str::FromStr,
    time::{SystemTime, UNIX_EPOCH},
};

use getopts::{Matches, Options};
use tarragon_client::{Client, ClientConfig};
use tarragon_codes::{Code, Failure};
use tarragon_settings::Token;

use super::CtlError;

/// What every subcommand needs.
#[derive(Debug)]
pub(super) struct Context {
    client: Client,
    json: bool,
}

impl Context {
    /// Adds the options that every subcommand has, and those of subcommands that call hosts.
    pub(super) fn options(options: &mut Options, calls_hosts: bool) {
        if calls_hosts {
            options
                .optmulti(
                    "",
                    "host",
                    "entry host to call; may be repeated, the first that answers is used \
                     [TARRAGON_HOSTS, separated by commas]",
                    "IP:PORT",
                )
                .optopt(
                    "",
                    "token-file",
                    "file with the operators' token, mode 0600 [TARRAGON_TOKEN_FILE]",
                    "FILE",
                );
        }
        options
            .optflag("", "json", "print JSON")
            .optflag("", "help", "print this help");
    }

    /// Reads the common options; without `calls_hosts`, the client has no hosts.
    pub(super) fn new(matches: &Matches, calls_hosts: bool) -> Result<Self, CtlError> {
        let cfg = if calls_hosts {
            client_config(matches)?
        } else {
            ClientConfig::new([])
        };
        Ok(Self {
            client: Client::new(cfg),
            json: matches.opt_present("json"),
        })
    }

    /// Client of all given hosts.
    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    /// Whether to print JSON.
    pub(super) fn json(&self) -> bool {
        self.json
    }
}

/// The hosts to call and the token to call them with.
fn client_config(matches: &Matches) -> Result<ClientConfig, CtlError> {
    let mut hosts = matches.opt_strs("host");
    if hosts.is_empty() {
        let listed = env::var("TARRAGON_HOSTS").unwrap_or_default();
        let listed = listed.split(',').map(str::trim);
        hosts.extend(listed.filter(|host| !host.is_empty()).map(str::to_owned));
    }
    if hosts.is_empty() {
        return Err(CtlError::Usage(
            "give --host IP:PORT or set TARRAGON_HOSTS".to_owned(),
        ));
    }
    let hosts = hosts
        .iter()
        .map(|host| parsed(host, "--host"))
        .collect::<Result<Vec<SocketAddr>, _>>()?;
    let mut cfg = ClientConfig::new(hosts);
    let file = matches
        .opt_str("token-file")
        .or_else(|| env::var("TARRAGON_TOKEN_FILE").ok());
    if let Some(file) = file {
        let token = Token::load(Path::new(&file)).map_err(CtlError::Usage)?;
        cfg.token = Some(token.reveal().into());
    }
    Ok(cfg)
}

/// The only operand of a subcommand.
pub(super) fn operand<'a>(matches: &'a Matches, what: &str) -> Result<&'a str, CtlError> {
    match matches.free.as_slice() {
        [value] => Ok(value),
        _ => Err(CtlError::Usage(format!("give one {what}"))),
    }
}

/// The value of an option or operand.
pub(super) fn parsed<T>(text: &str, what: &str) -> Result<T, CtlError>
where
    T: FromStr,
{
    text.parse()
        .map_err(|_e| CtlError::Usage(format!("'{text}' is not a valid {what}")))
}

/// The value of an option, if it is given.
pub(super) fn option<T>(matches: &Matches, name: &str) -> Result<Option<T>, CtlError>
where
    T: FromStr,
{
    matches
        .opt_str(name)
        .map(|text| parsed(&text, &format!("--{name}")))
        .transpose()
}

/// Reads a file that the operator names.
pub(super) fn read_file(path: &str) -> Result<String, CtlError> {
    std::fs::read_to_string(path).map_err(|e| CtlError::Usage(format!("cannot read {path}: {e}")))
}

/// The given request id or key, or a new one.
///
/// It is printed with the result, so that an operator can repeat a call whose outcome is not known.
pub(super) fn unique(matches: &Matches, name: &str) -> String {
    matches.opt_str(name).unwrap_or_else(|| {
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanos = time.map_or(0, |time| time.as_nanos());
        format!("ctl-{}-{nanos}", process::id())
    })
}

/// The failure of a write, with the id to repeat the write with where its outcome is not known.
///
/// The client sends a write with an id to another host after the answer of the first one is lost,
/// so an unreachable last host does not say that nothing was written.
pub(super) fn with_id(failure: Failure, option: &str, id: &str) -> Failure {
    if failure.code == Code::NotConfirmed || failure.code == Code::HostUnreachable {
        let cause = format!("{}; repeat with --{option} {id}", failure.cause);
        return Failure::new(Code::NotConfirmed, cause);
    }
    failure
}
