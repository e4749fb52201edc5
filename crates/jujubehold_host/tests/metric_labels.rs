//! Names in the labels of metrics.

use jujubehold_host::metrics_page;

/// Names of services and instances that contain what separates labels and lines.
const NAMES: [&str; 8] = [
    "plain",
    "a\",service=\"b",
    "a\nother_total 7",
    "a\\",
    "a\\n",
    "a} 7",
    "é 日本",
    "%0a{",
];

/// Reads a line of the text format; `None` if it is not a metric with one label and a value.
fn read_line(line: &str) -> Option<(&str, String, u64)> {
    let (name, rest) = line.split_once("{service=\"")?;
    let mut value = String::new();
    let mut rest = rest.chars();
    loop {
        value.push(match rest.next()? {
            '"' => break,
            '\\' => match rest.next()? {
                'n' => '\n',
                escaped @ ('"' | '\\') => escaped,
                _ => return None,
            },
            character => character,
        });
    }
    let number = rest.as_str().strip_prefix("} ")?.parse().ok()?;
    Some((name, value, number))
}

// A name that is not escaped adds labels or metrics, or makes the whole page unreadable.
#[test]
fn a_name_stays_one_label_whatever_it_contains() {
    metrics_page::install();
    for (number, name) in (1..).zip(NAMES) {
        metrics::counter!("named_total", "service" => name.to_owned()).increment(number);
    }
    let page = metrics_page::render();
    let lines = page.lines().filter(|line| line.starts_with("named_total"));
    let mut read: Vec<_> = lines.map(read_line).collect();
    read.sort();
    let mut expected: Vec<_> = (1..)
        .zip(NAMES)
        .map(|(number, name)| Some(("named_total", name.to_owned(), number)))
        .collect();
    expected.sort();
    assert_eq!(read, expected, "{page}");
    assert!(!page.contains("\nother_total"), "{page}");
}
