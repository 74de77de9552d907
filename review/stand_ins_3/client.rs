//! Clients: they submit jobs, ask for their state and cancel them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http;
use crate::json::Json;

/// Time for which clients wait for an answer, as `Figloft-Deadline-Ms` tells.
pub const DEADLINE: Duration = Duration::from_millis(3_000);

pub struct Client<'a> {
    pub front: SocketAddr,
    pub host: &'a str,
    pub prefix: &'a str,
    pub key: &'a str,
}

impl Client<'_> {
    fn call(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        self.call_within(method, id, body, DEADLINE)
    }

    fn call_within(&self, method: &str, id: &str, body: &str, patience: Duration) -> Option<(u16, String)> {
        let token = format!("Token {}", self.key);
        let mut headers = vec![
            ("host", self.host),
            ("figloft-deadline-ms", "3000"),
            ("authorization", &token),
        ];
        if !body.is_empty() {
            headers.push(("content-type", "application/json"));
        }
        http::call(
            self.front,
            method,
            &format!("{}{id}", self.prefix),
            &headers,
            body.as_bytes(),
            patience,
        )
    }

    /// Status of a submission; 0 without an answer.
    pub fn submit(&self, id: &str, body: &str) -> u16 {
        self.call("POST", id, body).map_or(0, |(status, _)| status)
    }

    /// Status of a submission whose client leaves after this time; 0 without an answer until then.
    pub fn submit_within(&self, id: &str, body: &str, patience: Duration) -> u16 {
        self.call_within("POST", id, body, patience)
            .map_or(0, |(status, _)| status)
    }

    /// Status of a cancellation; 0 without an answer.
    pub fn cancel(&self, id: &str) -> u16 {
        self.call("DELETE", id, "").map_or(0, |(status, _)| status)
    }

    /// Status and state of a job; status 0 without an answer.
    pub fn state(&self, id: &str) -> (u16, String) {
        let Some((status, body)) = self.call("GET", id, "") else {
            return (0, String::new());
        };
        (
            status,
            Json::parse(body.as_bytes()).get("state").text().to_owned(),
        )
    }
}

/// A job id with this number.
pub fn job_id(kind: u32, number: usize) -> String {
    format!("{kind:08x}{number:08x}")
}
