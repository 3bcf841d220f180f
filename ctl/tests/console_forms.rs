//! `almondctl console`: a document created and edited through its forms.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_testsupport::PlatformStandIn;
use almondhead_testsupport::ProcessHandle;
use common::EXAMPLE;
use common::almondctl;
use common::almondctl_at;
use common::platform;
use smol::block_on;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A running console, and an HTTP client in the role of the browser.
struct Browser {
    _process: ProcessHandle,
    address: SocketAddr,
    client: HttpClient,
}

/// The response to a request.
struct Answer {
    status: u16,
    location: Option<String>,
    html: String,
}

impl From<HttpResponse> for Answer {
    fn from(response: HttpResponse) -> Self {
        Answer {
            status: response.status.as_u16(),
            location: response.header("location").map(str::to_owned),
            html: String::from_utf8(response.body.to_vec()).expect("pages are text"),
        }
    }
}

impl Browser {
    async fn start(platform: &PlatformStandIn) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_almondctl"));
        let address = platform.address().to_string();
        let arguments = ["--platform", &address, "console", "--listen", "127.0.0.1:0"];
        let mut process = ProcessHandle::start(program, arguments).unwrap();
        let address = process.wait_for_address(TIMEOUT).await.unwrap();
        let client = HttpClient::new(HttpSettings::default());
        Browser {
            _process: process,
            address,
            client,
        }
    }

    async fn get(&self, path: &str) -> Answer {
        let request = HttpRequest::new(Method::GET, self.address, path);
        self.client.send(request, TIMEOUT).await.unwrap().into()
    }

    async fn post(&self, path: &str, body: String) -> Answer {
        let request = HttpRequest::new(Method::POST, self.address, path).with_body(body);
        self.client.send(request, TIMEOUT).await.unwrap().into()
    }

    /// Submits the form of a page with its current values, `entered` replacing some of them.
    async fn send_form(&self, page: &str, entered: &[(&str, &str)]) -> Answer {
        let html = self.get(page).await.html;
        let (action, body) = filled_form(&html, entered);
        self.post(&action, body).await
    }
}

/// Returns the action and the body of the first form of a page.
fn filled_form(html: &str, entered: &[(&str, &str)]) -> (String, String) {
    let start = html.find("<form").expect("the page has a form");
    let end = start + html[start..].find("</form>").expect("the form ends");
    let form = &html[start..end];
    let mut pairs = Vec::new();
    for element in form
        .split('<')
        .filter(|part| part.starts_with("input") || part.starts_with("select"))
    {
        let name = attribute(element, "name").expect("form elements have names");
        let is_box = attribute(element, "type") == Some("checkbox");
        let value = match attribute(element, "value") {
            _ if is_box && element.contains(" checked") => "on",
            _ if is_box => continue,
            Some(value) => value,
            None => selected(form, name),
        };
        let new = entered.iter().find(|(key, _)| *key == name);
        pairs.push(format!(
            "{}={}",
            encode(name),
            encode(new.map_or(value, |(_, value)| value))
        ));
    }
    let action = attribute(form, "action").expect("forms have actions");
    (action.to_owned(), pairs.join("&"))
}

fn selected<'h>(form: &'h str, name: &str) -> &'h str {
    let start = form.find(&format!("name=\"{name}\"")).unwrap();
    let chosen = form[start..]
        .split('<')
        .find(|part| part.contains(" selected"));
    chosen
        .and_then(|option| attribute(option, "value"))
        .unwrap_or("")
}

fn attribute<'h>(element: &'h str, name: &str) -> Option<&'h str> {
    let (_, rest) = element.split_once(&format!(" {name}=\""))?;
    Some(rest.split_once('"')?.0)
}

fn encode(text: &str) -> String {
    text.bytes().map(|byte| format!("%{byte:02x}")).collect()
}

/// Sends a request with a foreign `Host` header, as in DNS rebinding, and returns the response.
async fn foreign_host_response(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nHost: evil.example\r\nConnection: close\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

async fn start_with_example() -> (PlatformStandIn, Browser) {
    let platform = platform().await;
    almondctl_at(platform.address(), &["submit", EXAMPLE])
        .await
        .stdout_of(0);
    let browser = Browser::start(&platform).await;
    (platform, browser)
}

#[test]
fn first_document_is_created() {
    block_on(async {
        let platform = platform().await;
        let browser = Browser::start(&platform).await;
        let service = [
            ("name", "wash & <dry>"),
            ("path", "/wash"),
            ("max_deadline_ms", "9000"),
            ("default_deadline_ms", "5000"),
            ("max_tasks_per_job", "480"),
            ("max_input_bytes", "1000"),
        ];
        let upstream = [
            ("name", "w"),
            ("data_centre", "turku"),
            ("service", "wash & <dry>"),
            ("address", "10.0.0.1:80"),
            ("slots", "8"),
            ("connections", "64"),
            ("cores", "2"),
            ("memory_mib", "512"),
            ("leaves_at_unix_ms", "2028-02-29T18:00"),
        ];
        let forms: [(&str, &[(&str, &str)]); 5] = [
            ("/site", &[("firm", "Example")]),
            ("/lists/data_centres/new", &[("name", "turku")]),
            (
                "/lists/data_centres/new",
                &[("name", "tampere"), ("distance:turku", "1500")],
            ),
            ("/lists/services/new", &service),
            ("/lists/upstreams/new", &upstream),
        ];
        for (page, entered) in forms {
            let answer = browser.send_form(page, entered).await;
            assert_eq!(answer.status, 303, "{page}: {}", answer.html);
        }
        let answer = browser.send_form("/review", &[("note", "first")]).await;
        assert_eq!(answer.status, 200, "{}", answer.html);
        assert!(
            answer.html.contains("Accepted as revision 1"),
            "{}",
            answer.html
        );
        let shown = almondctl_at(platform.address(), &["show"])
            .await
            .stdout_of(0);
        assert!(shown.contains("1835460000000"), "{shown}");
        assert!(shown.contains("wash & <dry>"), "{shown}");
        let list = browser.get("/lists/upstreams").await.html;
        assert!(
            list.contains("wash &amp; &lt;dry&gt;") && list.contains("2028-02-29 18:00:00"),
            "{list}"
        );
    });
}

#[test]
fn problems_are_shown_at_fields() {
    block_on(async {
        let (_platform, browser) = start_with_example().await;
        let entered = [
            ("slots", "many"),
            ("connections", "0"),
            ("address", "10.1.1.1:8080"),
        ];
        let answer = browser.send_form("/lists/upstreams/1", &entered).await;
        assert_eq!(answer.status, 422);
        for (field, words) in [
            ("slots", "must be a whole number"),
            ("connections", "must be 1 to 65535"),
            ("address", "is used twice"),
        ] {
            let error = format!("id=\"f-{field}-error\">Error: ");
            let (_, rest) = answer
                .html
                .split_once(&error)
                .expect("the field has an error");
            assert!(
                rest.split_once("</p>").unwrap().0.contains(words),
                "{field}"
            );
            let bound = format!(
                "aria-describedby=\"f-{field}-help f-{field}-error\" aria-invalid=\"true\""
            );
            assert!(answer.html.contains(&bound), "{field}");
        }
        assert!(
            answer.html.contains("value=\"many\""),
            "what was entered is shown again"
        );
        let review = browser.get("/review").await.html;
        assert!(review.contains("/lists/upstreams/1#f-slots"), "{review}");
        assert!(!review.contains("action=\"/submit\""), "{review}");
    });
}

#[test]
fn every_input_has_one_label() {
    block_on(async {
        let (_platform, browser) = start_with_example().await;
        for page in [
            "/site",
            "/policies",
            "/lists/services/0",
            "/lists/data_centres/0",
            "/lists/instances/0",
            "/lists/upstreams/0",
            "/lists/teams/0",
            "/lists/teams/new",
            "/review",
        ] {
            let html = browser.get(page).await.html;
            let elements = html
                .split('<')
                .filter(|part| part.starts_with("input") || part.starts_with("select"));
            let shown = elements.filter(|part| attribute(part, "type") != Some("hidden"));
            let ids: Vec<&str> = shown
                .map(|part| attribute(part, "id").expect("has an id"))
                .collect();
            assert!(!ids.is_empty(), "{page}");
            for id in ids {
                assert_eq!(
                    html.matches(&format!("<label for=\"{id}\">")).count(),
                    1,
                    "{page} {id}"
                );
            }
        }
    });
}

#[test]
fn concurrent_submission_is_reported() {
    block_on(async {
        let (platform, browser) = start_with_example().await;
        let address = platform.address();
        let answer = browser
            .send_form("/lists/teams/0", &[("weight", "7")])
            .await;
        assert_eq!(
            (answer.status, answer.location.as_deref()),
            (303, Some("/lists/teams"))
        );
        browser
            .send_form("/policies", &[("prefer", "fewer_messages")])
            .await;
        let answer = browser.send_form("/review", &[("author", "maria")]).await;
        assert!(
            answer.html.contains("Accepted as revision 2 by maria"),
            "{}",
            answer.html
        );
        let diff = almondctl_at(address, &["diff", "1", "2"])
            .await
            .stdout_of(0);
        assert!(
            diff.contains("/policies/prefer") && diff.contains("weight: 10 -> 7"),
            "{diff}"
        );
        assert_eq!(diff.lines().count(), 2, "{diff}");
        let shown = almondctl_at(address, &["show"]).await.stdout_of(0);
        assert!(
            shown.contains("// Teams share a contended service"),
            "comments are kept"
        );
        browser
            .send_form("/lists/teams/0", &[("weight", "8")])
            .await;
        almondctl_at(address, &["submit", EXAMPLE, "--author", "other"])
            .await
            .stdout_of(0);
        let answer = browser.send_form("/review", &[]).await;
        assert_eq!(answer.status, 409);
        assert!(
            answer.html.contains("In force is revision 3 by other"),
            "{}",
            answer.html
        );
        assert!(
            answer.html.contains("weight: 7 -&gt; 10"),
            "{}",
            answer.html
        );
        let history = almondctl_at(address, &["history"]).await.stdout_of(0);
        assert_eq!(history.lines().count(), 3, "{history}");
    });
}

#[test]
fn invalid_requests_are_refused() {
    block_on(async {
        let (_platform, browser) = start_with_example().await;
        let page = browser.get("/lists/teams/0").await.html;
        let (action, body) = filled_form(&page, &[("name", "once")]);
        let foreign = body.replacen("%74%6f%6b%65%6e=", "%74%6f%6b%65%6e=0", 1);
        assert_eq!(browser.post(&action, foreign).await.status, 403);
        assert_eq!(browser.post(&action, body.clone()).await.status, 303);
        assert_eq!(browser.post(&action, body).await.status, 409);
        let response = foreign_host_response(browser.address).await;
        assert!(response.starts_with("HTTP/1.1 403"), "{response}");
        for path in [
            "/lists/teams/99",
            "/lists/nothing",
            "/lists/teams/-1",
            "/else",
        ] {
            assert_eq!(browser.get(path).await.status, 404, "{path}");
        }
        let run = almondctl(&["console", "--listen", "10.0.0.1:80"]).await;
        assert!(run.stderr.contains("loopback"), "{}", run.stderr);
        run.stdout_of(2);
    });
}
