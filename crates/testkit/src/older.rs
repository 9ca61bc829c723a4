//! Selects between the programs of this build and of an older one, for tests of compatibility.
//!
//! `OLDER_BUILD` names the directory of the older programs. `OLDER_ROLES` lists the
//! roles that run them, separated by commas. Without `OLDER_ROLES`, everything runs this build.
//!
//! | Role | What runs the older build |
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
const BUILD_VARIABLE: &str = "OLDER_BUILD";
/// Environment variable with the roles that run the older programs.
const ROLES_VARIABLE: &str = "OLDER_ROLES";
const VALID_ROLES: [&str; 5] = ["even", "odd", "first", "later", "ctl"];

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

fn older_binary(name: &str) -> anyhow::Result<PathBuf> {
    let directory = env::var_os(BUILD_VARIABLE)
        .with_context(|| format!("{ROLES_VARIABLE} is set; set {BUILD_VARIABLE} too"))?;
    let path = Path::new(&directory).join(name);
    ensure!(
        path.exists(),
        "{BUILD_VARIABLE}: {} is missing",
        path.display()
    );
    Ok(path)
}

/// Path of the daemon `name` for instance `index`; `is_restart` is false for its first process.
///
/// # Errors
///
/// If the program is missing, a role is unknown, or `OLDER_BUILD` is needed and not set.
pub fn daemon_binary(name: &str, index: usize, is_restart: bool) -> anyhow::Result<PathBuf> {
    let index_role = if index.is_multiple_of(2) {
        "even"
    } else {
        "odd"
    };
    let start_role = if is_restart { "later" } else { "first" };
    let roles = roles()?;
    if roles
        .iter()
        .any(|role| role == index_role || role == start_role)
    {
        return older_binary(name);
    }
    binary(name)
}

/// Path of the command-line program `damaskctl`.
///
/// # Errors
///
/// If the program is missing, a role is unknown, or `OLDER_BUILD` is needed and not set.
pub fn ctl_binary() -> anyhow::Result<PathBuf> {
    if roles()?.iter().any(|role| role == "ctl") {
        return older_binary("damaskctl");
    }
    binary("damaskctl")
}
