//! Guards against settings that are zero, enormous or negative: they must be refused with the name of
//! the field, and not overflow a sum or divide by zero later.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::path::Path;

use router::config::Config;
use serde_json::{
    Value,
    json, //
};

fn settings() -> Value {
    json!({
        "name": "a",
        "domain": "z",
        "listen": {"callers": "127.0.0.1:1", "directory": "127.0.0.1:2", "probes": "127.0.0.1:3",
                   "peers": "127.0.0.1:4", "exchange": "127.0.0.1:5"},
        "table": "127.0.0.1:6",
        "link_mbps": 1000.0,
        "bounds": {"stop_s": 30, "lease_ms": 3000, "engines_check_fences": true,
                   "weights_ms": 2000, "weights_all_ms": 3000, "retry_ratio": 0.2,
                   "retry_slack": 100.0, "quota_window_s": 8, "quota_over": 0.1,
                   "quota_slack": 0.0, "address_ttl_s": 5},
    })
}

/// Reads settings with this number in place of a field.
fn read(field: &str, number: &str) -> Result<Config, String> {
    let mut settings = settings();
    match field {
        "link_mbps" => settings[field] = json!("NUMBER"),
        _ => settings["bounds"][field] = json!("NUMBER"),
    }
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("odd-{field}-{}.json", std::process::id()));
    let text = settings.to_string().replace("\"NUMBER\"", number);
    std::fs::write(&path, text).unwrap();
    let config = Config::read(&path).map_err(|error| format!("{error:#}"));
    std::fs::remove_file(&path).unwrap();
    config
}

#[test]
fn odd_settings_are_refused_by_name() {
    for field in [
        "stop_s",
        "lease_ms",
        "weights_ms",
        "weights_all_ms",
        "quota_window_s",
        "address_ttl_s",
        "rollback_ms",
    ] {
        for number in [
            "18446744073709551615",
            "1000000000000",
            "-1",
            "1e300",
            "0.5",
        ] {
            let reason = read(field, number).unwrap_err();
            assert!(reason.contains(field), "{number}: {reason}");
        }
        assert!(read(field, "60").is_ok(), "{field}");
    }
    for field in ["lease_ms", "quota_window_s"] {
        assert!(read(field, "0").unwrap_err().contains(field));
    }
    for field in [
        "retry_ratio",
        "retry_slack",
        "quota_over",
        "quota_slack",
        "expose_share",
        "expose_slack",
        "link_mbps",
    ] {
        for number in ["-1", "1e300", "1e999"] {
            let reason = read(field, number).unwrap_err();
            assert!(reason.contains(field), "{number}: {reason}");
        }
        assert!(read(field, "0.5").is_ok(), "{field}");
    }
}
