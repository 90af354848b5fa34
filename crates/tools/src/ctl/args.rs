//! Command-line arguments.

use getopts::{Matches, Options};

const USAGE: &str = "\
Usage: kingcupctl [options] COMMAND

Commands:
    check FILE            check a service's document
    apply FILE            write a service's document
    show SERVICE          show the stored document
    diff SERVICE FILE     compare the stored document with a file
    history SERVICE       list the newest accepted changes
    status SERVICE        tell whether the stored revision is in force everywhere
    drain ADDRESS         ask a process to take no new work
    evacuate ZONE         give the upstreams of a zone no new work; --end takes it back
    evacuations           list the zones that are ordered to be evacuated
    explain PATH FILE     show where a job would go now and why, without submitting it
    submit FILE           submit a job and wait for its response

A FILE of - is standard input.";

/// The command to run, with its operands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Command {
    Check { file: String },
    Apply { file: String },
    Show { service: String },
    Diff { service: String, file: String },
    History { service: String },
    Status { service: String },
    Drain { address: String },
    Evacuate { zone: String },
    Evacuations,
    Explain { path: String, file: String },
    Submit { file: String },
}

/// Parsed command line.
#[derive(Debug)]
pub(super) struct Arguments {
    pub command: Command,
    pub json: bool,
    pub wait: bool,
    pub end: bool,
    pub change_id: Option<String>,
    pub base: Option<u64>,
    pub job_id: Option<String>,
    pub settings: Option<String>,
    pub store: Option<String>,
    pub processes: Option<String>,
    pub entries: Option<String>,
    pub host: Option<String>,
    pub author: Option<String>,
    pub timeout_s: Option<u64>,
}

/// Reason to exit without running a command.
#[derive(Debug)]
pub(super) enum Exit {
    /// The help or the version was requested; its text.
    Help(String),
    /// The command line is invalid; the reason.
    Usage(String),
}

/// Declares the options of the command line.
fn options() -> Options {
    let mut options = Options::new();
    options.optflag("", "json", "print the report as one JSON object");
    options.optflag("", "wait", "apply, evacuate: wait until it is in force everywhere");
    options.optflag("", "end", "evacuate: end the evacuation");
    options.optopt(
        "",
        "change-id",
        "apply, evacuate: ID of the change; the same for each try",
        "ID",
    );
    options.optopt("", "base", "apply: revision that the change was made from", "REVISION");
    options.optopt("", "job-id", "submit: ID of a job that was submitted before", "ID");
    options.optopt("", "settings", "settings file (INI)", "FILE");
    options.optopt("", "store", "address of the store's gateway", "URL");
    options.optopt("", "processes", "operator addresses of entries and sidecars", "ADDR[,ADDR]");
    options.optopt(
        "",
        "entry",
        "submit: addresses of entries; explain: operator address of one",
        "ADDR[,ADDR]",
    );
    options.optopt("", "host", "explain: host name of the queue", "HOST");
    options.optopt("", "author", "apply, evacuate: name recorded with the change", "NAME");
    options.optopt("", "timeout", "longest time to keep trying, in seconds", "SECONDS");
    options.optflag("h", "help", "show this help");
    options.optflag("", "version", "show the version");
    options
}

/// Returns the value of an option as a number, if it is given.
fn number(matches: &Matches, name: &str) -> Result<Option<u64>, Exit> {
    let parse = |text: String| {
        let reason = format!("--{name}: {text:?} is not valid; allowed: a whole number");
        text.parse().map_err(|_| Exit::Usage(reason))
    };
    matches.opt_str(name).map(parse).transpose()
}

/// Parses the command and its operands.
fn command(operands: &[String]) -> Result<Command, Exit> {
    let operands: Vec<&str> = operands.iter().map(String::as_str).collect();
    let command = match operands.as_slice() {
        ["check", file] => Command::Check { file: (*file).to_owned() },
        ["apply", file] => Command::Apply { file: (*file).to_owned() },
        ["show", service] => Command::Show { service: (*service).to_owned() },
        ["diff", service, file] => {
            Command::Diff { service: (*service).to_owned(), file: (*file).to_owned() }
        }
        ["history", service] => Command::History { service: (*service).to_owned() },
        ["status", service] => Command::Status { service: (*service).to_owned() },
        ["drain", address] => Command::Drain { address: (*address).to_owned() },
        ["evacuate", zone] => Command::Evacuate { zone: (*zone).to_owned() },
        ["evacuations"] => Command::Evacuations,
        ["explain", path, file] => {
            Command::Explain { path: (*path).to_owned(), file: (*file).to_owned() }
        }
        ["submit", file] => Command::Submit { file: (*file).to_owned() },
        [] => return Err(Exit::Usage("no command".to_owned())),
        [name, ..] => {
            return Err(Exit::Usage(format!("unknown command {name:?}, or wrong arguments for it")))
        }
    };
    Ok(command)
}

/// Parses the command line, which must not include the program's name.
pub(super) fn parse(arguments: &[String]) -> Result<Arguments, Exit> {
    let options = options();
    let matches = options.parse(arguments).map_err(|error| Exit::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Err(Exit::Help(options.usage(USAGE)));
    }
    if matches.opt_present("version") {
        return Err(Exit::Help(format!("kingcupctl {}\n", env!("CARGO_PKG_VERSION"))));
    }
    Ok(Arguments {
        command: command(&matches.free)?,
        json: matches.opt_present("json"),
        wait: matches.opt_present("wait"),
        end: matches.opt_present("end"),
        change_id: matches.opt_str("change-id"),
        base: number(&matches, "base")?,
        job_id: matches.opt_str("job-id"),
        settings: matches.opt_str("settings"),
        store: matches.opt_str("store"),
        processes: matches.opt_str("processes"),
        entries: matches.opt_str("entry"),
        host: matches.opt_str("host"),
        author: matches.opt_str("author"),
        timeout_s: number(&matches, "timeout")?,
    })
}
