//! Command line of `damask-standin`.

use testkit::process::binary;

#[test]
fn help_lists_every_role() {
    let output = std::process::Command::new(binary("damask-standin").unwrap())
        .arg("--help")
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    for role in ["table", "objects", "instances", "engine", "plain"] {
        assert!(text.contains(role), "{text}");
    }
}
