//! Compares the metrics in `docs/metrics.md` with the metric names in the code of the host crate.

use std::{collections::BTreeSet, fs, path::Path};

const METRICS_PAGE: &str = include_str!("../../../../docs/metrics.md");

/// Adds every string literal below `folder` that looks like a metric name: `carobvane_` followed by
/// lowercase letters and underscores.
fn collect_metric_names(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            collect_metric_names(&path, names);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).expect("the file can be read");
            let literals = text.split('"').skip(1).step_by(2);
            let metrics = literals.filter(|literal| {
                literal.strip_prefix("carobvane_").is_some_and(|rest| {
                    !rest.is_empty()
                        && rest.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_')
                })
            });
            names.extend(metrics.map(str::to_string));
        }
    }
}

/// Guards against a metric that the page does not document, and against a documented metric that
/// the code no longer has.
#[test]
fn page_has_every_metric() {
    let mut names = BTreeSet::new();
    let host_source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../host/src");
    collect_metric_names(&host_source, &mut names);
    let documented: BTreeSet<String> = METRICS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next().map(str::to_string))
        .collect();
    assert_eq!(documented, names);
}
