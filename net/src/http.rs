//! HTTP exchanges over pooled connections. Each error tells whether the request may have arrived.

mod client;
mod counted_stream;
mod error;
mod http1_connection;
mod http1_pool;
mod http2_connection;
mod http2_pool;
mod pool;
mod progress;
mod read_body;
mod request;
mod response;
mod settings;
mod transfer_timeouts;

pub use client::HttpClient;
pub use error::ExchangeError;
pub use error::Failure;
pub use error::Sent;
pub use error::Step;
pub use request::HttpRequest;
pub use response::HttpResponse;
pub use settings::HttpSettings;
pub use settings::Protocol;
pub use transfer_timeouts::TransferTimeouts;
