//! Client of the instance list.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::error::{Error, ErrorKind, Result};
use crate::port::list::lagging::{LaggingList, ListedInstance};

/// Largest accepted list in bytes: 100,000 instances at 160 bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Time after which an unanswered read counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the instance list: the shared stand-in or HTTP (`GET /v1/instances`).
#[derive(Debug, Clone)]
pub enum ListClient {
    /// Stand-in shared by the threads of this process.
    Memory(LaggingList),
    /// HTTP.
    Http(ListHttpClient),
}

impl ListClient {
    /// Creates an HTTP client of the list at `address` (`ip:port`).
    pub fn http(address: impl Into<Arc<str>>) -> Self {
        Self::Http(ListHttpClient {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address: address.into(),
        })
    }

    /// Reads the list.
    ///
    /// # Errors
    /// `outcome_unknown` if no complete answer arrives.
    pub async fn read(&self) -> Result<Vec<ListedInstance>> {
        match self {
            Self::Memory(list) => list.read(),
            Self::Http(client) => client.read().await,
        }
    }
}

/// HTTP client of the instance list.
#[derive(Debug, Clone)]
pub struct ListHttpClient {
    client: Client<HttpConnector, Empty<Bytes>>,
    address: Arc<str>,
}

impl ListHttpClient {
    async fn read(&self) -> Result<Vec<ListedInstance>> {
        let uri = format!("http://{}/v1/instances", self.address);
        let uri = uri.parse().map_err(|e| failed(&e))?;
        let exchange = async {
            let answer = self.client.get(uri).await.map_err(|e| failed(&e))?;
            if !answer.status().is_success() {
                return Err(failed(&answer.status()));
            }
            let body = Limited::new(answer.into_body(), MAX_BODY).collect().await;
            Ok(body.map_err(|e| failed(&e))?.to_bytes())
        };
        let answer = tokio::time::timeout(READ_TIMEOUT, exchange).await;
        let body = answer.map_err(|e| failed(&e))??;
        serde_json::from_slice(&body).map_err(|e| failed(&e))
    }
}

fn failed(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, format!("instance list: {error}"))
}
