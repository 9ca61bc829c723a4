//! Selects between the programs of this build and of an older one, for tests of compatibility.
//!
//! `OLDER_BUILD` names the directory of the older programs, or `OLDER_COMMIT` a commit of this
//! repository, which is then built once into `target/older`. `OLDER_ROLES` lists the roles that run
//! them, separated by commas. Without `OLDER_ROLES`, everything runs this build.
//!
//! | Role | What runs the older build |
//! |---|---|
//! | `even`, `odd` | instances with an even or an odd index |
//! | `first` | the first process of each instance: restarts are upgrades |
//! | `later` | all later processes of each instance: restarts are downgrades |
//! | `alternate` | every other process of each instance, its first among them: upgrades and rollbacks |
//! | `ctl` | the command line |

use std::{
    env,
    path::{
        Path,
        PathBuf, //
    },
    process::Command,
    sync::OnceLock, //
};

use anyhow::{
    Context,
    anyhow,
    ensure, //
};

use crate::process::binary;

/// Environment variable with the directory of the older programs.
const BUILD_VARIABLE: &str = "OLDER_BUILD";
/// Environment variable with the commit of the older programs.
const COMMIT_VARIABLE: &str = "OLDER_COMMIT";
/// Environment variable with the roles that run the older programs.
const ROLES_VARIABLE: &str = "OLDER_ROLES";
const VALID_ROLES: [&str; 6] = ["even", "odd", "first", "later", "alternate", "ctl"];

fn roles() -> anyhow::Result<Vec<String>> {
    let Ok(text) = env::var(ROLES_VARIABLE) else {
        return Ok(Vec::new());
    };
    let roles: Vec<String> = text.split(',').map(str::to_owned).collect();
    for role in &roles {
        let is_valid = VALID_ROLES.contains(&role.as_str());
        ensure!(
            is_valid,
            "{ROLES_VARIABLE}: {role:?} is none of {VALID_ROLES:?}"
        );
    }
    Ok(roles)
}

/// Directory of the older programs.
fn older_directory() -> anyhow::Result<PathBuf> {
    /// The directory, or why the commit could not be built.
    static BUILT: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    if let Some(directory) = env::var_os(BUILD_VARIABLE) {
        return Ok(directory.into());
    }
    let commit = env::var(COMMIT_VARIABLE).with_context(|| {
        format!("{ROLES_VARIABLE} is set; set {BUILD_VARIABLE} or {COMMIT_VARIABLE} too")
    })?;
    let built = BUILT.get_or_init(|| build(&commit).map_err(|error| format!("{error:#}")));
    built.clone().map_err(|error| anyhow!(error))
}

/// Builds the programs of a commit from the history of this repository; returns their directory.
fn build(commit: &str) -> anyhow::Result<PathBuf> {
    let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let older = repository.join("target/older").join(commit);
    let source = older.join("source");
    if !source.exists() {
        let mut git = Command::new("git");
        git.args(["worktree", "add", "--force", "--detach"]);
        run(git.arg(&source).arg(commit).current_dir(&repository))?;
    }
    let target = older.join("target");
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args(["build", "--locked", "--package", "adapter"]);
    cargo.args(["--package", "damaskd", "--package", "damaskctl"]);
    let cargo = cargo.arg("--target-dir").arg(&target);
    run(cargo.current_dir(&source))?;
    Ok(target.join("debug"))
}

fn run(command: &mut Command) -> anyhow::Result<()> {
    let status = command
        .status()
        .with_context(|| format!("cannot run {command:?}"))?;
    ensure!(status.success(), "{command:?} failed: {status}");
    Ok(())
}

fn older_binary(name: &str) -> anyhow::Result<PathBuf> {
    let directory = older_directory()?;
    let path = directory.join(name);
    ensure!(
        path.exists(),
        "{}, a program of the older build, is missing",
        path.display()
    );
    Ok(path)
}

/// Path of the daemon `name` for instance `index`; `earlier` is the number of its earlier processes.
///
/// # Errors
///
/// If the program is missing or cannot be built, a role is unknown, or neither `OLDER_BUILD` nor
/// `OLDER_COMMIT` is set where one is needed.
pub fn daemon_binary(name: &str, index: usize, earlier: u32) -> anyhow::Result<PathBuf> {
    let index_role = if index.is_multiple_of(2) {
        "even"
    } else {
        "odd"
    };
    let start_role = if earlier > 0 { "later" } else { "first" };
    let alternates = earlier.is_multiple_of(2);
    let roles = roles()?;
    if roles
        .iter()
        .any(|role| role == index_role || role == start_role || (role == "alternate" && alternates))
    {
        return older_binary(name);
    }
    binary(name)
}

/// Path of the command-line program `damaskctl`.
///
/// # Errors
///
/// As for [`daemon_binary`].
pub fn ctl_binary() -> anyhow::Result<PathBuf> {
    if roles()?.iter().any(|role| role == "ctl") {
        return older_binary("damaskctl");
    }
    binary("damaskctl")
}
