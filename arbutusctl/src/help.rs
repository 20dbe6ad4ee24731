//! The help texts.

use crate::command::Command;

const OVERVIEW: &str = "\
Checks and applies the operator's files, and shows the state of the deployment.

Usage: arbutusctl COMMAND [OPTIONS]

Commands:
  check    check the files and print all findings with file, line and column
  apply    apply the files, and wait until every node has them in force
  status   show services, nodes and versions
  diff     show the differences between the stored configuration and the files
  drain    drain a backend server, so that it gets no new work
  undrain  revert a drain
  explain  show which agent receives a packet
  watch    print changes of versions and states
  keys     create, extend or rotate a key set

Options of most commands:
  --folder DIR      the folder of files [.]
  --store URL       the platform's key-value service
  --prefix TEXT     prefix of the store's keys [arbutus/]
  --admin IP:PORT   admin port of a balancer; may be given several times
  --json            print one JSON object instead of text
  -h, --help        print this text, or the help of a command
  -V, --version     print the version

The file `.arbutusctl.jsonc` in the folder may set defaults for `store`, `prefix` and `admin`;
options take precedence over it.

Exit codes:
  0  success
  1  the files have findings, or the change was rejected because of its contents
  2  the command line is invalid
  3  another change was applied first, and is shown; for diff: there are differences
  4  the change is not accepted and will not be
  5  the change may be accepted, now or later; run apply again to find out
  6  the change is accepted, and not every node has it in force yet
  7  the store, a node or a file could not be reached
";

const CHECK: &str = "\
Checks the files of a folder and prints every finding.

Usage: arbutusctl check [--folder DIR] [--json]
";

const APPLY: &str = "\
Applies the files, unless the configuration was changed in the meantime, and waits for the nodes.

Usage: arbutusctl apply [OPTIONS]

Options besides those of `arbutusctl --help`:
  --allow-removal   allow the removal of services that are missing from the files
  --onto VERSION    replace this version, regardless of the version the files are based on
  --wait-ms MS      time to wait for the nodes [14000]
  --try-ms MS       time to retry the change [30000]
  --by NAME         author of the change [user and host]

The version that the folder is based on is recorded in its file `.arbutus-base`.
";

const STATUS: &str = "\
Shows services, nodes and versions.

Usage: arbutusctl status [--admin IP:PORT]... [--store URL] [--json]
";

const DIFF: &str = "\
Shows the differences between the stored configuration and the files. Exits with 3 if there are any.

Usage: arbutusctl diff [--folder DIR] [--store URL] [--json]
";

const DRAIN: &str = "\
Writes the desired state of a backend server into `zz-drains.jsonc` in the folder and applies the
files.

Usage: arbutusctl drain [SERVICE/]NAME [OPTIONS]
       arbutusctl undrain [SERVICE/]NAME [OPTIONS]

The options are those of apply, except --allow-removal and --onto. Without SERVICE, the roster or
the files must have a backend server NAME in exactly one service.
";

const EXPLAIN: &str = "\
Shows which agent receives a packet, or why the packet is dropped.

Usage: arbutusctl explain --caller IP:PORT --to IP:PORT --dcid HEX --keys FILE [OPTIONS]

  --caller IP:PORT  the packet's source
  --to IP:PORT      the packet's destination, a service's address
  --dcid HEX        the packet's destination connection ID
  --keys FILE       `keys.jsonc` of the key set
";

const WATCH: &str = "\
Prints one line for each change of a node's version or state, until the command is stopped.

Usage: arbutusctl watch [--admin IP:PORT]... [--for-ms MS]
";

const KEYS: &str = "\
Creates, extends or rotates a key set.

Usage: arbutusctl keys init DIR --service NAME...
       arbutusctl keys add DIR --service NAME...
       arbutusctl keys rotate DIR add|use|drop

A rotation consists of the three steps in this order. After each step, copy the files in DIR to
every balancer and agent and restart the processes one by one before the next step.
";

/// Returns the help text of `command`, or of the program.
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
