//! Names of the platform's wire protocol are used only in `platform/`.

use std::{
    fs,
    path::{Path, PathBuf},
};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    no_wire_name_is_used_outside_platform,
    a_wire_name_is_found,
}

/// Names of the wire protocol, one per line.
const WIRE_NAMES: &str = include_str!("../platform/wire-words.txt");

/// Folders whose sources must not contain wire names.
const FOLDERS: [&str; 4] = ["src", "standin", "tests", "bench"];

/// Returns every source file below `folder`.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).expect("readable folder") {
        let path = entry.expect("readable folder entry").path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path
            .extension()
            .is_some_and(|e| e == "rs" || e == "ini" || e == "toml")
        {
            found.push(path);
        }
    }
    found
}

/// Returns the names that `text` contains, ignoring case.
fn found_in(text: &str) -> Vec<&'static str> {
    let text = text.to_ascii_lowercase();
    let names = WIRE_NAMES.lines().filter(|w| !w.is_empty());
    names
        .filter(|w| text.contains(&w.to_ascii_lowercase()))
        .collect()
}

mod case {
    use super::{FOLDERS, Path, found_in, fs, sources};

    pub(super) fn no_wire_name_is_used_outside_platform() {
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        let mut findings = Vec::new();
        for folder in FOLDERS {
            for path in sources(&root.join(folder)) {
                let text = fs::read_to_string(&path).expect("UTF-8 source file");
                for name in found_in(&text) {
                    findings.push(format!("{}: {name}", path.display()));
                }
            }
        }
        assert!(findings.is_empty(), "{}", findings.join("\n"));
    }

    pub(super) fn a_wire_name_is_found() {
        let forbidden = ["X-Expect", "-Instance: 1"].concat();
        assert_eq!(found_in(&forbidden).len(), 1);
    }
}
