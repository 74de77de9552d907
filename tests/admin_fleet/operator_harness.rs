//! Runs commands of the operators' tool against an admin server.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use clap::Parser;
use figloft::cli::operator_args::OperatorArgs;
use figloft::model::id::Revision;
use figloft::operator::command;
use figloft::operator::outcome::OperatorExit;
use figloft::process::admin::message::{SessionState, SessionView};
use figloft::process::admin::server::AdminServer;

use super::{FakeFleet, TOKEN};

/// An admin server over a fleet in memory, and a directory for the files that commands read.
pub struct OperatorHarness {
    pub fleet: FakeFleet,
    pub server: AdminServer,
    directory: PathBuf,
    runtime: tokio::runtime::Runtime,
}

/// Exit status and output of a command.
pub struct CommandOutput {
    pub exit: OperatorExit,
    /// Results (standard output of the tool).
    pub out: String,
    /// Progress and failures (standard error of the tool).
    pub log: String,
}

impl OperatorHarness {
    /// Starts a server; `name` keeps the directories of different tests apart.
    pub fn new(name: &str, fleet: FakeFleet) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("runtime starts");
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener binds");
        let server = AdminServer::start(listener, fleet.api()).expect("server starts");
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("operator-{name}"));
        std::fs::create_dir_all(&directory).expect("directory is created");
        std::fs::write(directory.join("token"), TOKEN).expect("token is written");
        Self {
            fleet,
            server,
            directory,
            runtime,
        }
    }

    /// Writes a file into the test's directory and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).expect("file is written");
        path.display().to_string()
    }

    /// Runs a command against the harness's own server.
    pub fn run(&self, arguments: &[&str]) -> CommandOutput {
        self.run_at(&self.server.address().to_string(), arguments)
    }

    /// Runs a command against the given admin addresses (comma-separated).
    pub fn run_at(&self, admin: &str, arguments: &[&str]) -> CommandOutput {
        let token = self.directory.join("token").display().to_string();
        let connection_options = [
            "figloft",
            "--admin",
            admin,
            "--token-file",
            &token,
            "--operator",
            "ada",
        ];
        let args = OperatorArgs::try_parse_from(connection_options.iter().chain(arguments))
            .expect("arguments parse");
        let (mut out, mut log) = (Vec::new(), Vec::new());
        let exit = self.runtime.block_on(command::run(&args, &mut out, &mut log));
        let text = |bytes| String::from_utf8(bytes).expect("output is text");
        CommandOutput {
            exit,
            out: text(out),
            log: text(log),
        }
    }

    /// Adds or replaces a session in the API's session list, with the revision in force there.
    pub fn set_session_revision(&self, session: &str, revision: u64) {
        let view = SessionView {
            session: session.parse().expect("name"),
            zone: "zone-a".parse().expect("name"),
            address: Arc::from("127.0.0.1:1"),
            admin: None,
            revision: Revision::new(revision),
            state: SessionState::InForce,
            is_connected: true,
            is_self: false,
            confirmed_ms_ago: None,
        };
        let mut sessions = self.fleet.sessions.lock().expect("lock");
        sessions.retain(|other| other.session != view.session);
        sessions.push(view);
    }
}

impl Drop for OperatorHarness {
    fn drop(&mut self) {
        self.server.stop(false);
    }
}
