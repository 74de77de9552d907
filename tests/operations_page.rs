//! Compares the page for engineers on call with the source.

use std::path::Path;

/// Guards against a page that names log messages or metrics which the program does not write, for example
/// after they were renamed in the source only.
#[test]
fn page_names_what_the_program_writes() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("page");
    let mut source = String::new();
    for folder in [
        "src/node",
        "src/dispatch",
        "src/dispatch/pool_scheduler",
        "src/request",
        "src/platform",
    ] {
        for file in std::fs::read_dir(root.join(folder)).expect("folder") {
            let path = file.expect("file").path();
            if path.is_file() {
                source.push_str(&std::fs::read_to_string(path).expect("source"));
            }
        }
    }
    let mut messages = 0;
    for line in page.lines().filter(|line| line.starts_with("{\"message\"")) {
        let message = line.split('"').nth(3).expect("message");
        assert!(source.contains(&format!("\"{message}\"")), "message {message:?}");
        messages += 1;
    }
    assert!(messages >= 6, "the page shows {messages} lines");
    for name in page.split('`').filter(|name| name.starts_with("figloft_")) {
        assert!(source.contains(&format!("\"{name}\"")), "metric {name:?}");
    }
    for row in page
        .lines()
        .filter(|row| row.starts_with("| `") && !row.contains("figloft_"))
    {
        let messages = row.split('|').nth(1).expect("first column");
        for message in messages.split('`').skip(1).step_by(2) {
            assert!(source.contains(&format!("\"{message}\"")), "message {message:?}");
        }
    }
}
