//! Declarations: every finding is reported at its place.

use carobfield::{catalogue::Declaration, declarations::read_texts, findings::Findings};

fn read(text: &str) -> Result<carobfield::catalogue::Declarations, Findings> {
    read_texts(
        &[(String::from("a.ini"), text.to_owned())],
        Findings::default(),
    )
}

const POOL: &str = "[pool p]\nkind = engine\nbase = b\n";

/// Names each case: the text, and the start of each finding expected.
macro_rules! findings {
    ($($name:ident: $text:expr => [$($expected:literal),*];)+) => {
        $(
            #[test]
            fn $name() {
                let found = read(&$text).expect_err("there are findings").to_string();
                let expected: &[&str] = &[$($expected),*];
                for (line, start) in found.lines().zip(expected) {
                    assert!(line.starts_with(start), "{found}");
                }
                assert_eq!(found.lines().count(), expected.len() + 1, "{found}");
            }
        )+
    };
}

findings! {
    unknown_key_names_the_nearest: format!("{POOL}slotz = 3\n") => [
        "a.ini:4: [pool p] slotz: unknown key; the nearest known one is `slots`"
    ];
    every_finding_is_reported: "[pool p]\nkind = motor\n[adapter a]\nbase = x\n[zebra z]\n" => [
        "a.ini:2: [pool p] kind: `motor`: expected engine or service",
        "a.ini:3: [adapter a]: no engine pool has the base `x`",
        "a.ini:3: [adapter a]: the key `owner` is missing",
        "a.ini:3: [adapter a] owner: expected letters",
        "a.ini:5: [zebra z]: expected adapter, deployment, pool or service"
    ];
    current_must_be_a_version: format!(
        "{POOL}[adapter a]\nowner = o\nbase = b\nversions = 1, 3\ncurrent = 2\n"
    ) => ["a.ini:4: [adapter a] current: not one of `versions`"];
    twice_declared: format!("{POOL}[adapter a]\nowner = o\nbase = b\n[adapter a]\nowner = o\nbase = b\n") => [
        "a.ini:7: [adapter a]: also declared at a.ini:4"
    ];
    a_service_needs_its_pool: "[service s]\npool = p\n" => [
        "a.ini:1: [service s]: no service pool is named `p`"
    ];
}

#[test]
fn the_latest_version_is_current_by_default() {
    let text = format!("{POOL}[adapter a]\nowner = o\nbase = b\nversions = 1, 3\n");
    let entries = read(&text).expect("no findings");
    let Declaration::Adapter(adapter) = &entries["adapter a"] else {
        panic!("an adapter")
    };
    assert_eq!(adapter.current, 3);
}
