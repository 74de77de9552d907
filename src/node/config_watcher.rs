//! Watches the configuration that operators store.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::watch;

use crate::dispatch::site_config::SiteConfig;
use crate::node::prefix_watcher;
use crate::platform::config;
use crate::platform::store::{CONFIG_KEY, StoreApiClient, StoreItem};

/// Watches the configuration and publishes each newer version. A malformed version is logged; the one in
/// force stays.
pub async fn watch_config(
    store: StoreApiClient,
    sender: watch::Sender<Option<Arc<SiteConfig>>>,
    log: Logger,
) {
    prefix_watcher::watch_prefix(store, CONFIG_KEY, Duration::ZERO, &log, |update| {
        let items = update.into_items();
        for item in items.iter().filter(|item| &*item.key == CONFIG_KEY) {
            apply(item, &sender, &log);
        }
        true
    })
    .await;
}

fn apply(item: &StoreItem, sender: &watch::Sender<Option<Arc<SiteConfig>>>, log: &Logger) {
    let config = match config::decode_config(&item.value) {
        Ok(config) => config,
        Err(error) => {
            warn!(log, "configuration refused"; "revision" => %item.revision, "error" => %error);
            return;
        }
    };
    let current = sender.borrow().as_ref().map(|config| config.version);
    if current.is_some_and(|current| current >= config.version) {
        return;
    }
    info!(log, "configuration in force"; "version" => %config.version, "revision" => %item.revision,
        "queues" => config.queues.len(), "pools" => config.pools.len(),
        "organisations" => config.organisations.len());
    sender.send_replace(Some(Arc::new(config)));
}
