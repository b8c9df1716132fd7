//! The command line.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use clap::{
    Arg,
    ArgAction,
    Command,
    builder::PossibleValuesParser,
    value_parser, //
};

const ABOUT: &str =
    "Serves a large catalogue of rarely used models on a shared pool of accelerators";

const AFTER_HELP: &str = "\
Start with `dandelionstair dev`: a small deployment on this machine, with a ready-made request.

Exit codes:
  0  done
  1  failed; the last line says why
  2  the command line or a file is wrong; every problem is listed
  3  conflict: another apply came first, run plan again
  4  not in force or not finished in time, or unknown whether an apply took effect";

const CHECK_HELP: &str = "\
Checks files without touching anything.

PATH is a directory of declarations (all *.yaml files in it and its directories) or one file.
Every problem is listed with file, line, field, what was found and what is allowed.";

const PLAN_HELP: &str = "\
Shows what an apply would change, without changing anything.

The last line names the version in force. Give it to `apply --from`, so that the apply is refused
if another operator's apply comes in between.";

const APPLY_HELP: &str = "\
Puts a directory of declarations in force as a whole.

Nothing is in force until all of it is. A lost answer of the platform is settled by reading; the
command never applies twice. With --wait it goes on until every entry named by --entry has the new
version in force and reports that none of its agents is behind.";

const DRAIN_HELP: &str = "\
Stops a process without cutting a request.

The process refuses new work at once, finishes what it runs, and ends. With --wait the command goes
on until the process no longer listens.";

const ENTRY_HELP: &str = "\
Runs an entry: it takes callers' requests and brings them to targets.

SIGTERM and `dandelionstair drain` stop it without cutting a request.";

const AGENT_HELP: &str = "\
Runs the agent of one target, beside its model engine or plain service.

SIGTERM and `dandelionstair drain` stop it without cutting a request.";

const RELAY_HELP: &str = "\
Runs an entry in front of targets that announce themselves in the store.

It passes requests through unchanged, by host and path, to plain services and model engines. SIGTERM
stops it: readiness is refused first, open connections are served until the end. SIGHUP makes it read
its settings again.";

const SIDECAR_HELP: &str = "\
Runs the agent of a model engine that announces itself in the store.

It alone orders the engine to load and unload models. Requests do not pass through it.";

const EXPLAIN_HELP: &str = "\
Tells one request's story out of the logs of several processes.

It prints the lines about the request in order of time, each with the process that wrote it, and what
changed at its targets meanwhile. docs/OPERATIONS.md shows how to read it.";

const DEV_HELP: &str = "\
Runs a small deployment in one process, with stand-ins for engines, platform and a plain service.

It prints the callers' addresses, a sample key and a ready-made curl line. Ctrl-C ends it.";

/// Returns the whole command line.
pub(crate) fn command() -> Command {
    Command::new("dandelionstair")
        .about(ABOUT)
        .after_help(AFTER_HELP)
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            dev(),
            entry(),
            agent(),
            relay(),
            sidecar(),
            check(),
            plan(),
            apply(),
            status(),
            explain(),
            losses(),
            dump(),
            drain(),
        ])
}

fn dev() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:8080")
        .help("Where the first entry takes requests");
    Command::new("dev")
        .about("Run a small deployment on this machine, to try things out")
        .long_about(DEV_HELP)
        .arg(listen)
}

fn entry() -> Command {
    Command::new("entry")
        .about("Run an entry, on an entry VM")
        .long_about(ENTRY_HELP)
        .arg(settings())
}

fn agent() -> Command {
    Command::new("agent")
        .about("Run an agent, on a target's VM")
        .long_about(AGENT_HELP)
        .arg(settings())
}

fn relay() -> Command {
    Command::new("relay")
        .about("Run an entry in front of targets that announce themselves in the store")
        .long_about(RELAY_HELP)
        .arg(settings())
}

fn sidecar() -> Command {
    Command::new("sidecar")
        .about("Run the agent of a model engine that announces itself in the store")
        .long_about(SIDECAR_HELP)
        .arg(settings())
}

fn logs() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Logs of entries and agents")
}

fn losses() -> Command {
    let models = Arg::new("models")
        .long("models")
        .action(ArgAction::SetTrue)
        .help("A row for each model");
    Command::new("losses")
        .about("Count what clients did not get in time, by route and reason, out of the logs")
        .args([models, logs()])
}

fn explain() -> Command {
    let id = Arg::new("id")
        .value_name("ID")
        .required(true)
        .help("The request's id");
    Command::new("explain")
        .about("Tell one request's story out of the logs of several processes")
        .long_about(EXPLAIN_HELP)
        .args([id, logs()])
}

fn check() -> Command {
    let kind = Arg::new("kind")
        .long("kind")
        .value_name("KIND")
        .value_parser(PossibleValuesParser::new([
            "declarations",
            "entry",
            "agent",
            "relay",
            "sidecar",
        ]))
        .default_value("declarations")
        .help("What PATH holds: declarations, or the settings of a process");
    Command::new("check")
        .about("Check declarations or settings without touching anything")
        .long_about(CHECK_HELP)
        .args([path(), kind])
}

fn plan() -> Command {
    Command::new("plan")
        .about("Show what an apply would change")
        .long_about(PLAN_HELP)
        .args([path(), platform()])
}

fn apply() -> Command {
    let wait = Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .requires("entry")
        .help("Go on until the new version is in force everywhere; needs --entry");
    let entry = Arg::new("entry")
        .long("entry")
        .value_name("ADDR")
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help("The operator's address of an entry to wait for; give one for each");
    let from = Arg::new("from")
        .long("from")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("Refuse unless this version is in force; 0 for none yet");
    Command::new("apply")
        .about("Put declarations in force as a whole")
        .long_about(APPLY_HELP)
        .args([path(), platform(), from, wait, entry, timeout()])
}

fn status() -> Command {
    let addr = operator()
        .action(ArgAction::Append)
        .num_args(1..)
        .help("Operator's addresses of entries and agents");
    Command::new("status")
        .about("Show the short status of processes")
        .arg(addr)
}

fn dump() -> Command {
    Command::new("dump")
        .about("Print the whole state of a process as JSON")
        .arg(operator())
}

fn drain() -> Command {
    let wait = Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Go on until the process has ended");
    Command::new("drain")
        .about("Stop a process without cutting a request")
        .long_about(DRAIN_HELP)
        .args([operator(), wait, timeout()])
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The process's settings, a YAML file")
}

fn path() -> Arg {
    Arg::new("path")
        .value_name("PATH")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("A directory of YAML files, or one file")
}

fn platform() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("ADDR")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("The platform's object API, IP address and port")
}

fn operator() -> Arg {
    Arg::new("operator")
        .value_name("ADDR")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("The operator's address of an entry or agent, IP address and port")
}

fn timeout() -> Arg {
    Arg::new("timeout")
        .long("timeout")
        .value_name("SECONDS")
        .value_parser(value_parser!(u64).range(1..=86_400))
        .default_value("30")
        .help("How long to try or to wait")
}
