//! Definitions of the commands, shared by the parser and the help.

use crate::{
    exit::Exit,
    flag::{
        self,
        Flag, //
    }, //
};

/// Identifies a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Which,
    Status,
    Drain,
    Explain,
    SettingsGet,
    SettingsList,
    SettingsSet,
    SettingsRemove,
    SettingsDiff,
    SettingsApply,
    SettingsHistory,
    SettingsSchema,
    KeyGive,
    KeyWithdraw,
    KeyList,
}

/// Definition of a command.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// The command defined here.
    pub kind: Kind,
    /// Words of the command, such as `settings get`.
    pub words: &'static [&'static str],
    /// Names of the operands; those in brackets are optional.
    pub operands: &'static [&'static str],
    /// Flags of this command, besides [`flag::COMMON`].
    pub flags: &'static [Flag],
    /// Help text; its first line appears in the list of commands.
    pub doc: &'static str,
}

/// Flags of a command that writes settings.
const WRITE_FLAGS: &[Flag] = &[flag::BASE, flag::DRY_RUN, flag::WAIT, flag::TIMEOUT];

/// All commands, in the order of the help.
pub const ALL: &[Spec] = &[
    Spec {
        kind: Kind::Which,
        words: &["which"],
        operands: &[],
        flags: &[],
        doc: "Which instances a caller should use.\n\
              The address is that of a caller plane, the key a caller's.",
    },
    Spec {
        kind: Kind::Status,
        words: &["status"],
        operands: &[],
        flags: &[],
        doc: "Instances, endpoints, and the revision in force at each.",
    },
    Spec {
        kind: Kind::Drain,
        words: &["drain"],
        operands: &[],
        flags: &[],
        doc: "Begin the planned stop of the instance; no request is cut.\n\
              The process ends by itself when its running requests have ended.",
    },
    Spec {
        kind: Kind::Explain,
        words: &["explain"],
        operands: &["ID", "[LOGS]"],
        flags: &[],
        doc: "Show a request's way across the instances, from their logs.\n\
              LOGS is a file, or a directory with one file an instance; standard input if it\n\
              is left out. Lines marked with a dot are about the request's endpoint, workspace\n\
              or instance at that time. Asks no instance.",
    },
    Spec {
        kind: Kind::SettingsGet,
        words: &["settings", "get"],
        operands: &["PATH"],
        flags: &[],
        doc: "Print one document.",
    },
    Spec {
        kind: Kind::SettingsList,
        words: &["settings", "list"],
        operands: &["[PATH]"],
        flags: &[],
        doc: "List the paths, those below PATH only if one is given.\n\
              With --json the documents are printed too.",
    },
    Spec {
        kind: Kind::SettingsSet,
        words: &["settings", "set"],
        operands: &["PATH", "FILE"],
        flags: WRITE_FLAGS,
        doc: "Write the document in FILE, or on standard input for \"-\".",
    },
    Spec {
        kind: Kind::SettingsRemove,
        words: &["settings", "remove"],
        operands: &["PATH"],
        flags: WRITE_FLAGS,
        doc: "Remove one document.",
    },
    Spec {
        kind: Kind::SettingsDiff,
        words: &["settings", "diff"],
        operands: &["DIRECTORY"],
        flags: &[flag::UNDER, flag::PRUNE],
        doc: "Show what apply would change.\n\
              Each file a/b.json below DIRECTORY is the document of path /a/b.",
    },
    Spec {
        kind: Kind::SettingsApply,
        words: &["settings", "apply"],
        operands: &["DIRECTORY"],
        flags: &[
            flag::UNDER,
            flag::PRUNE,
            flag::BASE,
            flag::DRY_RUN,
            flag::WAIT,
            flag::TIMEOUT,
        ],
        doc: "Make the settings those of DIRECTORY, all or none.\n\
              Each file a/b.json below DIRECTORY is the document of path /a/b. Changes\n\
              are made on top of the revision that they were compared with, or of --base.",
    },
    Spec {
        kind: Kind::SettingsHistory,
        words: &["settings", "history"],
        operands: &[],
        flags: &[flag::LAST, flag::MOST],
        doc: "Who changed what and when, newest first.",
    },
    Spec {
        kind: Kind::SettingsSchema,
        words: &["settings", "schema"],
        operands: &[],
        flags: &[],
        doc: "Print the JSON schema of the documents by kind of path.",
    },
    Spec {
        kind: Kind::KeyGive,
        words: &["key", "give"],
        operands: &["PATH"],
        flags: &[flag::WORKSPACE, flag::WAIT, flag::TIMEOUT],
        doc: "Make a key, write its digest at PATH and print the key once.\n\
              PATH is /teams/<team>/keys/<name>. The key is stored nowhere.",
    },
    Spec {
        kind: Kind::KeyWithdraw,
        words: &["key", "withdraw"],
        operands: &["PATH"],
        flags: &[],
        doc: "Withdraw a key at once, also while the table is down.\n\
              Prints at which instances it is refused and whether that is kept.",
    },
    Spec {
        kind: Kind::KeyList,
        words: &["key", "list"],
        operands: &["[PATH]"],
        flags: &[],
        doc: "List the keys with their workspaces.",
    },
];

impl Spec {
    /// Finds the command whose words are a prefix of `words`.
    pub fn find(words: &[String]) -> Option<&'static Spec> {
        ALL.iter().find(|spec| {
            let pairs = spec.words.iter().zip(words);
            words.len() >= spec.words.len() && pairs.into_iter().all(|(a, b)| a == b)
        })
    }

    /// Returns the words of the command followed by its operands.
    pub fn usage(&self) -> String {
        let words: Vec<&str> = self.words.iter().chain(self.operands).copied().collect();
        words.join(" ")
    }

    /// Returns the help text of this command.
    pub fn help(&self) -> String {
        let mut text = format!(
            "Usage: damaskctl {} [flags]\n\n{}\n",
            self.usage(),
            self.doc
        );
        text.push_str("\nFlags:\n");
        for flag in self.flags.iter().chain(flag::COMMON) {
            let value = flag.value_name.map(|v| format!(" {v}")).unwrap_or_default();
            let usage = format!("--{}{value}", flag.name);
            text.push_str(&format!("  {usage:<20}{}\n", flag.doc));
        }
        text.push_str(&exit_codes());
        text
    }
}

/// Returns the help text with the list of commands.
pub fn help() -> String {
    let mut text = String::from("Usage: damaskctl COMMAND [flags]\n\nCommands:\n");
    for spec in ALL {
        let summary = spec.doc.lines().next().unwrap_or_default();
        text.push_str(&format!("  {:<28}{summary}\n", spec.usage()));
    }
    text.push_str(
        "\ndamaskctl COMMAND --help lists the flags of a command. The key is read from\n\
         the variable DAMASK_KEY, the address from --address or DAMASK_ADDRESS.\n",
    );
    text.push_str(&exit_codes());
    text
}

fn exit_codes() -> String {
    let mut text = String::from("\nExit codes:\n");
    for exit in Exit::ALL {
        text.push_str(&format!("  {}  {}\n", exit.code(), exit.doc()));
    }
    text
}
