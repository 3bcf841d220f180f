//! The HTML frame of the console's pages, and escaping.

use super::section::Section;

const STYLE: &str = "\
body{font:16px/1.5 system-ui,sans-serif;color:#1b1b1b;background:#fff;margin:0 auto;max-width:70rem;padding:0 1rem 3rem}\
a{color:#0b4f8a}nav ul{display:flex;flex-wrap:wrap;gap:.25rem 1.25rem;list-style:none;padding:0}\
nav{border-bottom:1px solid #767676}a[aria-current]{font-weight:700;color:#1b1b1b}\
.skip{position:absolute;left:-99rem}.skip:focus{left:1rem;top:.5rem;background:#fff;padding:.5rem}\
:focus-visible{outline:3px solid #0b4f8a;outline-offset:2px}\
.field{margin:0 0 1.1rem}label{display:block;font-weight:600}.flag label{display:inline}\
input,select,textarea{font:inherit;padding:.3rem .5rem;border:1px solid #555;border-radius:3px;width:24rem;max-width:100%;box-sizing:border-box}\
input[type=checkbox]{width:1.1rem;height:1.1rem}.help{color:#555;margin:0}\
.error{color:#a40000;font-weight:600;margin:0}[aria-invalid=true]{border:2px solid #a40000}\
.summary{border:2px solid #a40000;padding:.5rem 1rem;margin:1rem 0}.done{border:2px solid #1d6b2f;padding:.5rem 1rem;margin:1rem 0}\
button{font:inherit;padding:.4rem 1rem;border:1px solid #0b4f8a;border-radius:3px;background:#0b4f8a;color:#fff;cursor:pointer}\
button.quiet{background:#fff;color:#a40000;border-color:#a40000}\
.scroll{overflow-x:auto}table{border-collapse:collapse}th,td{text-align:left;padding:.3rem .7rem;border-bottom:1px solid #ccc;white-space:nowrap}\
code{font-size:.95em;overflow-wrap:anywhere}";

/// An HTML page of the console.
pub(crate) struct Page {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The title, also shown as the heading, as plain text.
    pub(crate) title: String,
    /// The HTML below the heading.
    pub(crate) body: String,
}

impl Page {
    /// Creates a page with status 200.
    pub(crate) fn new(title: impl Into<String>, body: String) -> Self {
        let title = title.into();
        let status = 200;
        Page {
            status,
            title,
            body,
        }
    }

    /// Returns the page with another status.
    pub(crate) fn with_status(self, status: u16) -> Self {
        Page { status, ..self }
    }

    /// Renders the whole page; `path` is its own path, which the navigation marks as current.
    pub(crate) fn to_html(&self, path: &str) -> String {
        let title = escape(&self.title);
        let navigation = navigation(path);
        let body = &self.body;
        format!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <meta name=\"viewport\" content=\"width=device-width\">\
             <title>{title} - almondhead</title><style>{STYLE}</style></head><body>\
             <a class=\"skip\" href=\"#main\">Skip to the content</a>\
             <nav aria-label=\"Parts of the document\"><ul>{navigation}</ul></nav>\
             <main id=\"main\" tabindex=\"-1\"><h1>{title}</h1>\n{body}</main></body></html>\n"
        )
    }
}

fn navigation(path: &str) -> String {
    let lists = Section::ALL.into_iter().map(|section| {
        let target = format!("/lists/{}", section.key());
        navigation_item(path, &target, section.title())
    });
    let first = [("/", "Draft"), ("/site", "Firm"), ("/policies", "Policies")];
    let first = first.map(|(target, title)| navigation_item(path, target, title));
    let last = [navigation_item(path, "/review", "Review and submit")];
    first.into_iter().chain(lists).chain(last).collect()
}

fn navigation_item(path: &str, target: &str, title: &str) -> String {
    let current = match path == target {
        true => " aria-current=\"page\"",
        false => "",
    };
    format!("<li><a href=\"{target}\"{current}>{title}</a></li>")
}

/// Escapes a text for use as HTML content or within a quoted attribute.
pub(crate) fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            character => escaped.push(character),
        }
    }
    escaped
}
