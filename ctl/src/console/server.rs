//! The HTTP server of the console, bound to a loopback address.

use std::net::SocketAddr;
use std::sync::Arc;

use smol::net::TcpListener;
use trillium::Conn;
use trillium::HttpConfig;
use trillium::Method;
use trillium::Status;

use super::form_values::FormValues;
use super::html::Page;
use super::routes::Reply;
use super::routes::Route;
use super::state::Console;
use crate::error::CtlError;
use crate::report::write_text;

/// The maximum size of a request body in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024;

const CONTENT_SECURITY_POLICY: &str =
    "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'";

/// Serves the console until the process is interrupted.
pub(crate) async fn serve(console: Console, listen: SocketAddr) -> Result<(), CtlError> {
    let failed = |source| CtlError::Listen {
        address: listen,
        source,
    };
    let listener = TcpListener::bind(listen).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    write_text(&format!(
        "listening {address}\nopen http://{address}/ in a browser\n"
    ))?;
    let console = Arc::new(console);
    let http = HttpConfig::default().with_received_body_max_len(MAX_BODY_BYTES);
    trillium_smol::config()
        .with_prebound_server(listener)
        .with_http_config(http)
        .run_async(move |conn: Conn| {
            let console = Arc::clone(&console);
            async move { handle(&console, conn).await }
        })
        .await;
    Ok(())
}

async fn handle(console: &Console, mut conn: Conn) -> Conn {
    if !has_loopback_host(&conn) {
        return refuse(
            conn,
            403,
            "The console answers to its loopback address only.",
        );
    }
    let path = conn.path().to_owned();
    let Some(route) = Route::parse(&path) else {
        return refuse(conn, 404, "There is no such page.");
    };
    let reply = match conn.method() {
        Method::Get | Method::Head => console.show_page(&route).await,
        Method::Post => match conn.request_body_string().await {
            Ok(body) => {
                console
                    .handle_form(&route, &FormValues::decode(&body))
                    .await
            }
            Err(_) => return refuse(conn, 400, "The form could not be read."),
        },
        _ => return refuse(conn, 405, "Pages are read with GET and changed with POST."),
    };
    answer(conn, &path, reply)
}

/// Whether the `Host` header names a loopback address or `localhost`, against DNS rebinding.
fn has_loopback_host(conn: &Conn) -> bool {
    let host = conn.host().unwrap_or("");
    let address: Option<SocketAddr> = host.parse().ok();
    let is_loopback = address.is_some_and(|address| address.ip().is_loopback());
    let name = host.split(':').next();
    is_loopback || name == Some("localhost")
}

fn refuse(conn: Conn, status: u16, reason: &str) -> Conn {
    let page = Page::new("Not done", format!("<p>{reason}</p>\n")).with_status(status);
    answer(conn, "", Reply::Page(page))
}

fn answer(conn: Conn, path: &str, reply: Reply) -> Conn {
    let conn = conn
        .with_response_header("cache-control", "no-store")
        .with_response_header("content-security-policy", CONTENT_SECURITY_POLICY)
        .with_response_header("x-content-type-options", "nosniff")
        .with_response_header("referrer-policy", "same-origin");
    match reply {
        Reply::Page(page) => conn
            .with_status(Status::try_from(page.status).unwrap_or(Status::InternalServerError))
            .with_response_header("content-type", "text/html; charset=utf-8")
            .with_body(page.to_html(path))
            .halt(),
        Reply::Redirect(target) => conn
            .with_status(Status::SeeOther)
            .with_response_header("location", target)
            .halt(),
    }
}
