//! Stand-in for the platform's clients.

use std::{net::SocketAddr, time::Duration};

use crate::{http, json, world::HOST};

/// Returns the id of the job with this number.
pub fn id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000 + number)
}

/// A preemptible job of one step.
pub struct Job {
    pub id: String,
    pub tasks: u32,
    pub cpu: u32,
    pub work_ms: u64,
    /// How long the client waits for the response.
    pub timeout_ms: u64,
}

/// Submits a job and returns the status and the state in the response; status 0 if there is none.
pub fn submit(entry: SocketAddr, prefix: &str, job: &Job) -> (u16, String) {
    let body = format!(
        "{{\"spec\":\"{} {}\",\"preemptible\":true,\"steps\":[{{\"count\":{},\"cpu\":{},\"mem_mb\":64,\
         \"estimate_ms\":{}}}]}}",
        job.work_ms, job.cpu, job.tasks, job.cpu, job.work_ms
    );
    let timeout_ms = job.timeout_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Content-Type", "application/json"),
        ("X-Kingcuplanding-Timeout-Ms", timeout_ms.as_str()),
    ];
    let timeout = Duration::from_millis(job.timeout_ms);
    let response =
        http::call(entry, "POST", &format!("{prefix}{}", job.id), &headers, &body, timeout);
    let Some(response) = response else { return (0, String::new()) };
    let state = json::parse(&response.body).get("state").text().to_owned();
    (response.status(), state)
}

/// Sends a request without a body and returns the status; 0 if there is no response.
pub fn ask(entry: SocketAddr, method: &str, path: &str, timeout_ms: u64) -> u16 {
    let headers = [("Host", HOST)];
    let timeout = Duration::from_millis(timeout_ms);
    http::call(entry, method, path, &headers, "", timeout).map_or(0, |response| response.status())
}
