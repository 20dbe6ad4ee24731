//! The help texts.

use crate::command::Command;

const OVERVIEW: &str = "\
Checks and applies the operator's files, and shows what is in force where.

Usage: arbutusctl COMMAND [OPTIONS]

Commands:
  check    check the files; all findings are told with file, line and column
  apply    bring the files into force, and wait until every node has them
  status   show services, nodes and versions
  diff     show how the files differ from what is in force
  drain    give a backend server no new work
  undrain  take back a drain
  explain  tell one packet's way
  watch    follow versions and states
  keys     make, extend or rotate a set of keys

Options of most commands:
  --folder DIR      the folder of files [.]
  --store URL       the platform's key-value service
  --prefix TEXT     what its keys begin with [arbutus/]
  --admin IP:PORT   admin port of a balancer; may be given several times
  --json            one JSON object in place of text
  -h, --help        this text, or that of a command
  -V, --version     the version

`.arbutusctl.jsonc` in the folder may hold `store`, `prefix` and `admin`, so that they need not be
typed; options go before it.

Exit codes:
  0  done
  1  the files have findings, or the change was refused for what it holds
  2  the command line is wrong
  3  another change came first, which is shown; for diff: there are differences
  4  the change is not accepted and will not be
  5  the change may be accepted, now or later; apply again to learn more
  6  the change is accepted, and not every node has it in force yet
  7  the store, a node or a file could not be reached
";

const CHECK: &str = "\
Checks the files of a folder and prints every finding.

Usage: arbutusctl check [--folder DIR] [--json]
";

const APPLY: &str = "\
Brings the files into force if nobody changed the configuration since, and waits for the nodes.

Usage: arbutusctl apply [OPTIONS]

Options besides those of `arbutusctl --help`:
  --allow-removal   services that are in force may be missing from the files
  --onto VERSION    put the files over this version, whatever they were based on
  --wait-ms MS      how long nodes are waited for [14000]
  --try-ms MS       how long the change is tried [30000]
  --by NAME         who makes the change [user and host]

The folder's base is kept in `.arbutus-base` within it.
";

const STATUS: &str = "\
Shows services, nodes and versions.

Usage: arbutusctl status [--admin IP:PORT]... [--store URL] [--json]
";

const DIFF: &str = "\
Shows how the files differ from what is in force. Exits with 3 if they do.

Usage: arbutusctl diff [--folder DIR] [--store URL] [--json]
";

const DRAIN: &str = "\
Writes the wanted state of a backend server into `zz-drains.jsonc` in the folder and applies it.

Usage: arbutusctl drain [SERVICE/]NAME [OPTIONS]
       arbutusctl undrain [SERVICE/]NAME [OPTIONS]

Options are those of apply. Without SERVICE, the roster or the files must name just one.
";

const EXPLAIN: &str = "\
Tells which agent gets a packet, or why nobody does.

Usage: arbutusctl explain --caller IP:PORT --to IP:PORT --dcid HEX --keys FILE [OPTIONS]

  --caller IP:PORT  the packet's source
  --to IP:PORT      the packet's destination, a service's address
  --dcid HEX        the packet's destination connection ID
  --keys FILE       `keys.jsonc` of the key set
";

const WATCH: &str = "\
Prints one line for each change of a version or state, until it is stopped.

Usage: arbutusctl watch [--admin IP:PORT]... [--for-ms MS]
";

const KEYS: &str = "\
Makes, extends or rotates a set of keys.

Usage: arbutusctl keys init DIR --service NAME...
       arbutusctl keys add DIR --service NAME...
       arbutusctl keys rotate DIR add|use|drop

A rotation takes the three steps in their order. After each, bring the files of DIR to every
balancer and agent and restart these one by one, before the next step.
";

/// The help text of `command`, or of the program.
pub(crate) fn text(command: Option<Command>) -> String {
    let text = match command {
        None => OVERVIEW,
        Some(Command::Check) => CHECK,
        Some(Command::Apply) => APPLY,
        Some(Command::Status) => STATUS,
        Some(Command::Diff) => DIFF,
        Some(Command::Drain | Command::Undrain) => DRAIN,
        Some(Command::Explain) => EXPLAIN,
        Some(Command::Watch) => WATCH,
        Some(Command::Keys) => KEYS,
    };
    text.to_owned()
}
