//! Golden tests of command line sessions against real instances.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    fs,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Command,
        Output, //
    }, //
};

use expect_test::{
    Expect,
    expect, //
};
use serde_json::json;
use settings::Digest;
use testkit::{
    Builder,
    Fleet,
    OPERATOR_KEY,
    fleet::set_faults,
    older::ctl_binary, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    }, //
};

/// Runs commands and records their output as a terminal shows it.
struct Session<'a> {
    fleet: &'a Fleet,
    directory: PathBuf,
    /// Texts that differ from run to run, with their placeholders.
    masks: Vec<(String, &'static str)>,
    log: String,
}

impl<'a> Session<'a> {
    fn new(fleet: &'a Fleet, name: &str) -> Self {
        let directory_name = format!("damaskctl-{name}-{}", std::process::id());
        let directory = std::env::temp_dir().join(directory_name);
        fs::create_dir_all(&directory).unwrap();
        let address = fleet.instances[0].plane_address("operator").unwrap();
        let table = fleet.table.address().unwrap();
        let masks = vec![
            (directory.display().to_string(), "DIR"),
            (address.to_string(), "OPERATOR"),
            (table.to_string(), "TABLE"),
        ];
        Self {
            fleet,
            directory,
            masks,
            log: String::new(),
        }
    }

    fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.directory.join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, text).unwrap();
        path
    }

    fn run_at(&mut self, address: &str, key: &str, words: &str) -> Output {
        let words: Vec<String> = words
            .split_whitespace()
            .map(|word| word.replace("DIR", &self.directory.to_string_lossy()))
            .collect();
        let output = Command::new(ctl_binary().unwrap())
            .args(&words)
            .env("DAMASK_ADDRESS", address)
            .env("DAMASK_KEY", key)
            .output()
            .unwrap();
        self.log
            .push_str(&format!("$ damaskctl {}\n", words.join(" ")));
        self.log.push_str(&String::from_utf8_lossy(&output.stdout));
        self.log.push_str(&String::from_utf8_lossy(&output.stderr));
        let code = output.status.code().unwrap();
        if code != 0 {
            self.log.push_str(&format!("exit {code}\n"));
        }
        output
    }

    fn run_as(&mut self, key: &str, words: &str) -> Output {
        let address = self.fleet.instances[0].plane_address("operator").unwrap();
        self.run_at(&address.to_string(), key, words)
    }

    fn run(&mut self, words: &str) -> Output {
        self.run_as(OPERATOR_KEY, words)
    }

    fn check(self, expected: Expect) {
        let mut log = self.log.clone();
        for (text, mask) in &self.masks {
            log = log.replace(text, mask);
        }
        let lines: Vec<String> = log
            .lines()
            .filter(|line| !is_progress(line))
            .map(mask_time)
            .collect();
        expected.assert_eq(&format!("{}\n", lines.join("\n")));
    }
}

/// Whether a line shows the progress of `--wait`. The number of instances that have the revision
/// differs from run to run until all have it.
fn is_progress(line: &str) -> bool {
    let counts = line.split_once(" in force at ").map(|(_, counts)| counts);
    counts
        .and_then(|counts| counts.split_once(" of "))
        .is_some_and(|(in_force, total)| in_force != total)
}

/// Masks the time of a commit, which differs from run to run.
fn mask_time(line: &str) -> String {
    match line.split_once(" at ") {
        Some((left, right)) if right.ends_with(" GMT") => format!("{left} at TIME"),
        _ => line.to_owned(),
    }
}

impl Drop for Session<'_> {
    fn drop(&mut self) {
        // A directory that is left over in the temporary directory is harmless.
        fs::remove_dir_all(&self.directory).ok();
    }
}

fn write_tree(session: &Session<'_>, rate: u64) {
    session.write_file(
        "tree/teams/till/workspaces/shop.json",
        &json!({"rate": rate, "burst": 200}).to_string(),
    );
}

#[tokio::test]
async fn a_directory_is_applied_compared_and_pruned() {
    let fleet = Builder::default().start().await.unwrap();
    let mut session = Session::new(&fleet, "apply");
    write_tree(&session, 100);
    session.run("settings diff DIR/tree");
    session.run("settings apply DIR/tree --wait --timeout 60 --json");
    session.run("settings apply DIR/tree");
    write_tree(&session, 150);
    session.run("settings apply DIR/tree --dry-run");
    session.run("settings apply DIR/tree --base 7");
    session.run("settings apply DIR/tree --base 1");
    let other = session.write_file("other.json", r#"{"rate": 1, "burst": 1}"#);
    session.run(&format!(
        "settings set /teams/till/workspaces/old {}",
        other.display()
    ));
    session.run("settings apply DIR/tree --prune");
    session.run("settings diff DIR/tree --prune --under /teams/till");
    session.run("settings apply DIR/tree --prune --under /teams/till");
    session.run("settings list /teams");
    session.run("settings get /teams/till/workspaces/shop");
    session.run("settings get /teams/till/workspaces/old");
    session.run("settings remove /teams/till/workspaces/old");
    session.run("settings history --most 2");
    session.check(expect![[r#"
        $ damaskctl settings diff DIR/tree
        1 change to revision 0
        --- /dev/null
        +++ b/teams/till/workspaces/shop
        @@ -0,0 +1,4 @@
        +{
        +  "burst": 200,
        +  "rate": 100
        +}
        $ damaskctl settings apply DIR/tree --wait --timeout 60 --json
        {"changes":1,"confirmed":true,"dry_run":false,"revision":1}
        revision 1 in force at 2 of 2
        $ damaskctl settings apply DIR/tree
        revision 1, 0 changes
        $ damaskctl settings apply DIR/tree --dry-run
        1 change to revision 1
        --- a/teams/till/workspaces/shop
        +++ b/teams/till/workspaces/shop
        @@ -1,4 +1,4 @@
         {
           "burst": 200,
        -  "rate": 100
        +  "rate": 150
         }
        1 change: checked, nothing was changed
        $ damaskctl settings apply DIR/tree --base 7
        damaskctl: OPERATOR: revision 7 is out of date: root made revision 1
          look at settings history and diff, then try again
        exit 3
        $ damaskctl settings apply DIR/tree --base 1
        revision 2, 1 change
        $ damaskctl settings set /teams/till/workspaces/old DIR/other.json
        revision 3, 1 change
        $ damaskctl settings apply DIR/tree --prune
        damaskctl: usage: damaskctl settings apply DIRECTORY [flags]: --prune needs --under PATH, so that nothing else is removed
        exit 2
        $ damaskctl settings diff DIR/tree --prune --under /teams/till
        1 change to revision 3
        --- a/teams/till/workspaces/old
        +++ /dev/null
        @@ -1,4 +0,0 @@
        -{
        -  "burst": 1,
        -  "rate": 1
        -}
        $ damaskctl settings apply DIR/tree --prune --under /teams/till
        revision 4, 1 change
        $ damaskctl settings list /teams
        revision 4
        /teams/till/workspaces/shop
        $ damaskctl settings get /teams/till/workspaces/shop
        {
          "burst": 200,
          "rate": 150
        }
        $ damaskctl settings get /teams/till/workspaces/old
        damaskctl: /teams/till/workspaces/old: no such row, or your key may not read it; see settings list
        exit 1
        $ damaskctl settings remove /teams/till/workspaces/old
        damaskctl: /teams/till/workspaces/old: no such row, or your key may not read it
        exit 1
        $ damaskctl settings history --most 2
        revision 4 by root at TIME
          - /teams/till/workspaces/old
        revision 3 by root at TIME
          + /teams/till/workspaces/old
    "#]]);
}

#[tokio::test]
async fn keys_are_given_listed_and_withdrawn() {
    let fleet = Builder::default().start().await.unwrap();
    let mut session = Session::new(&fleet, "key");
    write_tree(&session, 100);
    session.run("settings apply DIR/tree --wait --timeout 60 --json");
    session.run("key give /teams/till/keys/front");
    session.run("key give /teams/till/keys/front --workspace none");
    let output = session.run("key give /teams/till/keys/front --workspace shop");
    let key = String::from_utf8(output.stdout).unwrap().trim().to_owned();
    assert!(key.starts_with("damask-") && key.len() == 71, "{key}");
    session.masks.push((key, "KEY"));
    session.run("key give /teams/till/keys/front --workspace shop");
    session.run("key list");
    session.run("key withdraw /teams/till/keys/back");
    session.run("key withdraw /teams/till/keys/front");
    session.run("key list --json");
    session.check(expect![[r#"
        $ damaskctl settings apply DIR/tree --wait --timeout 60 --json
        {"changes":1,"confirmed":true,"dry_run":false,"revision":1}
        revision 1 in force at 2 of 2
        $ damaskctl key give /teams/till/keys/front
        damaskctl: usage: damaskctl key give PATH [flags]: --workspace NAME is missing
        exit 2
        $ damaskctl key give /teams/till/keys/front --workspace none
        damaskctl: OPERATOR: the changes do not pass the checks
          /teams/till/keys/front: workspace /teams/till/workspaces/none does not exist; create it first
        exit 1
        $ damaskctl key give /teams/till/keys/front --workspace shop
        KEY
        revision 2; this key is shown only now
        $ damaskctl key give /teams/till/keys/front --workspace shop
        damaskctl: /teams/till/keys/front exists; withdraw it and give the new key another name
        exit 1
        $ damaskctl key list
        /teams/till/keys/front	shop	in force
        $ damaskctl key withdraw /teams/till/keys/back
        damaskctl: OPERATOR: no key stands at /teams/till/keys/back; see damaskctl key list
        exit 1
        $ damaskctl key withdraw /teams/till/keys/front
        /teams/till/keys/front is refused at 2 of 2: i0 i1
        kept in revision 3
        $ damaskctl key list --json
        {"keys":[{"path":"/teams/till/keys/front","withdrawn":true,"workspace":"shop"}],"revision":3}
    "#]]);
}

#[tokio::test]
async fn a_withdrawal_while_the_table_is_down_reports_its_progress() {
    let fleet = Builder::default().start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    let mut session = Session::new(&fleet, "emergency");
    set_faults(&fleet.table, json!({"down": true}))
        .await
        .unwrap();
    let table = fleet.table.address().unwrap().to_string();
    session.masks.push((table, "TABLE"));
    session.run("key withdraw /teams/t/keys/k");
    session.check(expect![[r#"
        $ damaskctl key withdraw /teams/t/keys/k
        /teams/t/keys/k is refused at 2 of 2: i0 i1
        not yet kept: nothing was changed: TABLE: answer lost: client error (SendRequest)
        damaskctl: the instances that refuse the key keep trying to write the withdrawal to the settings
        exit 5
    "#]]);
}

/// Starts a proxy to `target` that drops the answer to the first write. Returns its address.
async fn start_lossy_proxy(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut dropped = false;
        loop {
            let (mut client, _) = listener.accept().await.unwrap();
            let mut server = TcpStream::connect(target).await.unwrap();
            let mut request = vec![0; 1 << 16];
            let request_bytes = client.read(&mut request).await.unwrap();
            server.write_all(&request[..request_bytes]).await.unwrap();
            let mut answer = vec![0; 1 << 16];
            let answer_bytes = server.read(&mut answer).await.unwrap();
            if !dropped && request.starts_with(b"POST") {
                // The write has taken effect; dropping the connection loses the answer.
                dropped = true;
                continue;
            }
            client.write_all(&answer[..answer_bytes]).await.unwrap();
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_answer_is_lost_is_applied_once() {
    let fleet = Builder::default().start().await.unwrap();
    let mut session = Session::new(&fleet, "lost");
    session.write_file("row.json", r#"{"rate": 1, "burst": 1}"#);
    let target = fleet.instances[0].plane_address("operator").unwrap();
    let address = start_lossy_proxy(target).await.to_string();
    let words = "settings set /teams/u/workspaces/w DIR/row.json";
    session.run_at(&address, OPERATOR_KEY, words);
    session.run("settings history");
    session.check(expect![[r#"
        $ damaskctl settings set /teams/u/workspaces/w DIR/row.json
        revision 1, 1 change
        $ damaskctl settings history
        revision 1 by root at TIME
          + /teams/u/workspaces/w
    "#]]);
}

#[tokio::test]
async fn errors_name_the_address_and_the_remedy() {
    let fleet = Builder::default().start().await.unwrap();
    let digest = Digest::of(b"key-of-u");
    let operator = json!({"digest": digest, "subtree": "/teams/u"});
    let revision = fleet
        .change_settings(0, &[("/operators/u", operator)])
        .await
        .unwrap();
    fleet.wait_for_revision(revision).await.unwrap();
    let mut session = Session::new(&fleet, "errors");
    session.write_file("bad.json", "{\"rate\": ");
    session.write_file("weight.json", r#"{"rate": 1, "burst": 1, "weight": 0}"#);
    session.write_file("row.json", r#"{"rate": 1, "burst": 1}"#);
    session.write_file("tree/teams/Till/workspaces/shop.json", "{}");
    session.run("settings");
    session.run("settings get");
    session.run("settings get teams/u");
    session.run("settings get /teams/u/keys/k --wait");
    session.run("status --address here");
    session.run("settings set /teams/u/workspaces/w DIR/none.json");
    session.run("settings set /teams/u/workspaces/w DIR/bad.json");
    session.run("settings set /teams/u/workspaces/w DIR/weight.json");
    session.run("settings apply DIR/tree");
    session.run_as(
        "key-of-u",
        "settings set /teams/t/workspaces/w DIR/row.json",
    );
    session.run_as(
        "key-of-u",
        "settings set /teams/u/workspaces/w DIR/row.json",
    );
    session.run_as("key-of-u", "settings list");
    session.run_as("key-of-u", "drain");
    session.run_as("wrong", "status");
    // Nothing listens at port 1.
    session.run_at("127.0.0.1:1", OPERATOR_KEY, "status");
    set_faults(&fleet.table, json!({"down": true}))
        .await
        .unwrap();
    session.run("settings remove /operators/u");
    session.check(expect![[r#"
        $ damaskctl settings
        damaskctl: unknown command "settings"; see damaskctl --help
        exit 2
        $ damaskctl settings get
        damaskctl: usage: damaskctl settings get PATH [flags]: PATH is missing
        exit 2
        $ damaskctl settings get teams/u
        damaskctl: usage: damaskctl settings get PATH [flags]: path "teams/u" must start with "/"
        exit 2
        $ damaskctl settings get /teams/u/keys/k --wait
        damaskctl: usage: damaskctl settings get PATH [flags]: --wait is not a flag of this command
        exit 2
        $ damaskctl status --address here
        damaskctl: --address "here" is not a valid IP:PORT
        exit 2
        $ damaskctl settings set /teams/u/workspaces/w DIR/none.json
        damaskctl: DIR/none.json: cannot be read: No such file or directory (os error 2)
        exit 1
        $ damaskctl settings set /teams/u/workspaces/w DIR/bad.json
        damaskctl: DIR/bad.json: not valid JSON: EOF while parsing a value at line 1 column 9
        exit 1
        $ damaskctl settings set /teams/u/workspaces/w DIR/weight.json
        damaskctl: OPERATOR: the changes do not pass the checks
          /teams/u/workspaces/w: weight is 0; use 1 or more
        exit 1
        $ damaskctl settings apply DIR/tree
        damaskctl: DIR/tree/teams/Till/workspaces/shop.json: rename the file: segment "Till" of path "/teams/Till/workspaces/shop" must be one or more of a-z 0-9 - _ .
        exit 1
        $ damaskctl settings set /teams/t/workspaces/w DIR/row.json
        damaskctl: OPERATOR: operator u may write below /teams/u only, not /teams/t/workspaces/w; ask root
        exit 1
        $ damaskctl settings set /teams/u/workspaces/w DIR/row.json
        revision 2, 1 change
        $ damaskctl settings list
        revision 2
        /teams/u/workspaces/w
        $ damaskctl drain
        damaskctl: OPERATOR: only root may stop an instance
        exit 1
        $ damaskctl status
        damaskctl: OPERATOR: this operator key is not known
          set DAMASK_KEY to your key
        exit 1
        $ damaskctl status
        damaskctl: no answer; give the address of a live instance by --address: 127.0.0.1:1: not sent: client error (Connect)
        exit 1
        $ damaskctl settings remove /operators/u
        damaskctl: OPERATOR: nothing was changed: TABLE: answer lost: client error (SendRequest)
          the platform's table does not answer; try again later
        exit 1
    "#]]);
}

#[tokio::test]
async fn a_drained_instance_stops() {
    let mut fleet = Builder::default().start().await.unwrap();
    let mut session = Session::new(&fleet, "drain");
    session.run("drain");
    session.check(expect![[r#"
        $ damaskctl drain
        i0 is stopping
    "#]]);
    testkit::wait::until("the process has ended", || {
        let ended = fleet.instances[0].exit_status().unwrap();
        async move { ended }
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn status_shows_each_instance() {
    let fleet = Builder::default().start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    testkit::wait::until("i0 knows the revision at i1", || async {
        let status = fleet.status(0).await.ok()?;
        (status["instances"][1]["revision"] == 1).then_some(())
    })
    .await
    .unwrap();
    let mut session = Session::new(&fleet, "status");
    for (name, process) in [
        ("E0", &fleet.engines[0]),
        ("E1", &fleet.engines[1]),
        ("P0", &fleet.plain_services[0]),
    ] {
        session
            .masks
            .push((process.address().unwrap().to_string(), name));
    }
    session.run("status");
    session.check(expect![[r#"
        $ damaskctl status
        revision 1
        instance i0	d1	revision 1	leaving false
        instance i1	d2	revision 1	leaving false
        endpoint e0	E0	running 0
        endpoint e1	E1	running 0
        endpoint p0	P0	running 0
    "#]]);
}

/// Runs a command that needs no instance and returns its standard output.
fn run_local(words: &[&str]) -> String {
    let mut command = Command::new(ctl_binary().unwrap());
    let output = command.args(words).output().unwrap();
    assert!(output.status.success(), "{words:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn every_command_has_help() {
    expect![[r#"
        Usage: damaskctl COMMAND [flags]

        Commands:
          which                       Which instances a caller should use.
          status                      Instances, endpoints, and the revision in force at each.
          drain                       Begin the planned stop of the instance; no request is cut.
          explain ID [LOGS]           Show a request's way across the instances, from their logs.
          settings get PATH           Print one document.
          settings list [PATH]        List the paths, those below PATH only if one is given.
          settings set PATH FILE      Write the document in FILE, or on standard input for "-".
          settings remove PATH        Remove one document.
          settings diff DIRECTORY     Show what apply would change.
          settings apply DIRECTORY    Make the settings those of DIRECTORY, all or none.
          settings history            Who changed what and when, newest first.
          settings schema             Print the JSON schema of the documents by kind of path.
          key give PATH               Make a key, write its digest at PATH and print the key once.
          key withdraw PATH           Withdraw a key at once, also while the table is down.
          key list [PATH]             List the keys with their workspaces.

        damaskctl COMMAND --help lists the flags of a command. The key is read from
        the variable DAMASK_KEY, the address from --address or DAMASK_ADDRESS.

        Exit codes:
          0  done
          1  not done; nothing was changed
          2  bad command line
          3  another operator was first; nothing was changed
          4  no answer; the change may have been made
          5  done, but not yet in force everywhere or not yet kept
    "#]]
    .assert_eq(&run_local(&["--help"]));
    expect![[r#"
        Usage: damaskctl settings apply DIRECTORY [flags]

        Make the settings those of DIRECTORY, all or none.
        Each file a/b.json below DIRECTORY is the document of path /a/b. Changes
        are made on top of the revision that they were compared with, or of --base.

        Flags:
          --under PATH        Consider only settings below this path.
          --prune             Also remove settings below --under that the directory lacks.
          --base REVISION     Change nothing unless this revision is the newest.
          --dry-run           Check and show the changes, but do not make them.
          --wait              Return when every live instance has the revision in force.
          --timeout SECONDS   Longest wait of --wait. Default: 30.
          --address IP:PORT   Instance to ask. Default: the variable DAMASK_ADDRESS.
          --json              Print JSON.
          --help              Print the help and stop.

        Exit codes:
          0  done
          1  not done; nothing was changed
          2  bad command line
          3  another operator was first; nothing was changed
          4  no answer; the change may have been made
          5  done, but not yet in force everywhere or not yet kept
    "#]]
    .assert_eq(&run_local(&["settings", "apply", "--help"]));
    let commands = ["which", "status", "drain"];
    for command in commands {
        assert!(run_local(&[command, "--help"]).starts_with("Usage: damaskctl"));
    }
}

#[test]
fn the_schema_describes_every_kind_of_path() {
    let schema: serde_json::Value =
        serde_json::from_str(&run_local(&["settings", "schema"])).unwrap();
    let titles: Vec<String> = schema
        .as_object()
        .unwrap()
        .iter()
        .map(|(path, schema)| format!("{path} {}", schema["title"].as_str().unwrap()))
        .collect();
    expect![[r#"
        /fleet/endpoints/<name> Endpoint
        /fleet/models/<name> Model
        /operators/<name> Operator
        /teams/<team>/keys/<name> Key
        /teams/<team>/routes/<name> Route
        /teams/<team>/workspaces/<name> Workspace"#]]
    .assert_eq(&titles.join("\n"));
}

#[test]
fn the_example_trees_pass_the_checks() {
    for name in ["haneul", "trinacria"] {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let mut rows = Vec::new();
        read_rows(&root.join(name), "", &mut rows);
        assert!(!rows.is_empty(), "{name}");
        let problems = settings::check(&settings::Tree::new(1, rows)).err();
        assert_eq!(problems, None, "{name}");
    }
}

fn read_rows(directory: &Path, prefix: &str, rows: &mut Vec<settings::Row>) {
    for entry in fs::read_dir(directory).unwrap() {
        let file = entry.unwrap().path();
        let path = format!("{prefix}/{}", file.file_stem().unwrap().to_string_lossy());
        if file.is_dir() {
            read_rows(&file, &path, rows);
        } else {
            let value = serde_json::from_str(&fs::read_to_string(&file).unwrap()).unwrap();
            let path = path.parse().unwrap();
            rows.push(settings::Row { path, value });
        }
    }
}
