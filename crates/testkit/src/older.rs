//! Programs of an older build beside those of this one, for tests of compatibility.
//!
//! `OLDER_BUILD` names the directory of the older programs and `OLDER_ROLES` who
//! runs them, separated by commas; without both, everything runs this build.
//!
//! | Role | Who runs the older build |
//! |---|---|
//! | `even`, `odd` | instances with an even or an odd index |
//! | `first` | the first process of each instance: restarts are upgrades |
//! | `later` | all later processes of each instance: restarts are downgrades |
//! | `ctl` | the command line |

use std::{
    env,
    path::{
        Path,
        PathBuf, //
    }, //
};

use anyhow::{
    Context,
    ensure, //
};

use crate::process::binary;

/// Environment variable with the directory of the older programs.
const BUILD: &str = "OLDER_BUILD";
/// Environment variable with the roles that run the older programs.
const ROLES: &str = "OLDER_ROLES";
const KNOWN_ROLES: [&str; 5] = ["even", "odd", "first", "later", "ctl"];

fn roles() -> anyhow::Result<Vec<String>> {
    let Ok(text) = env::var(ROLES) else {
        return Ok(Vec::new());
    };
    let roles: Vec<String> = text.split(',').map(str::to_owned).collect();
    for role in &roles {
        let is_known = KNOWN_ROLES.contains(&role.as_str());
        ensure!(is_known, "{ROLES}: {role:?} is none of {KNOWN_ROLES:?}");
    }
    Ok(roles)
}

fn older(name: &str) -> anyhow::Result<PathBuf> {
    let directory = env::var_os(BUILD).with_context(|| format!("{ROLES} is set; set {BUILD}"))?;
    let path = Path::new(&directory).join(name);
    ensure!(path.exists(), "{BUILD}: {} is missing", path.display());
    Ok(path)
}

/// Program of the instance `index`, which `is_restart` tells from its first process.
///
/// # Errors
///
/// If the program is missing or a role is unknown.
pub fn daemon(name: &str, index: usize, is_restart: bool) -> anyhow::Result<PathBuf> {
    let by_index = if index.is_multiple_of(2) {
        "even"
    } else {
        "odd"
    };
    let by_start = if is_restart { "later" } else { "first" };
    let roles = roles()?;
    if roles
        .iter()
        .any(|role| role == by_index || role == by_start)
    {
        return older(name);
    }
    binary(name)
}

/// The command line.
///
/// # Errors
///
/// If the program is missing or a role is unknown.
pub fn command_line() -> anyhow::Result<PathBuf> {
    if roles()?.iter().any(|role| role == "ctl") {
        return older("damaskctl");
    }
    binary("damaskctl")
}
