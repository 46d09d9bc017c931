//! What the node takes from a compiled configuration, beside the platform's JSON file: how its log is
//! written, and whether its traffic is recorded.

use crate::log::LogFormat;
use rainstand_config::schema::{self, Group, LogForm, Recording};

/// The parts of a configuration that are about a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub form: LogFormat,
    pub recording: Option<Recording>,
    pub group: Option<Group>,
}

impl Settings {
    /// # Errors
    /// In one line: a text that cannot be read, or more than one log or recording, or one without its folder.
    ///
    /// ```
    /// use rainstand_node::settings::Settings;
    /// assert_eq!(Settings::read("version: 1"), Ok(Settings::default()));
    /// assert!(Settings::read("version: 1 logs { form: JSON } logs { }").unwrap_err().contains("one log"));
    /// ```
    pub fn read(text: &str) -> Result<Self, String> {
        let all =
            schema::from_text(text).map_err(|refused| refused.to_string().replace('\n', " "))?;
        let form = match &all.logs[..] {
            [] => LogFormat::Text,
            [one] if one.form() == LogForm::Json => LogFormat::Json,
            [_] => LogFormat::Text,
            more => return Err(format!("{} logs; a node takes one log", more.len())),
        };
        let recording = match &all.recordings[..] {
            [] => None,
            [one] if one.folder.is_empty() || one.file_bytes == 0 || one.files == 0 => {
                return Err(format!(
                    "recording {}: no folder, size or number of files",
                    one.name
                ));
            }
            [one] => Some(one.clone()),
            more => return Err(format!("{} recordings; a node takes one", more.len())),
        };
        let group = match &all.groups[..] {
            [] => None,
            [one] => Some(one.clone()),
            more => return Err(format!("{} groups; a node is in one", more.len())),
        };
        Ok(Self {
            form,
            recording,
            group,
        })
    }
}
