//! The settings that the node reads from a compiled configuration, beside the platform's JSON file: the log format, the
//! traffic recording, and the node's group.

use crate::log::LogFormat;
use rainstand_config::schema::{self, Group, LogForm, Recording};

/// The parts of a configuration that concern a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The recording of the node's traffic, if one is configured.
    pub recording: Option<Recording>,
    /// The group that the node is in, if any.
    pub group: Option<Group>,
}

/// Why a configuration cannot be used, in one line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The text cannot be read.
    #[error("{0}")]
    Unreadable(String),
    /// More than one log: their number.
    #[error("{0} logs; a node takes at most one log")]
    TooManyLogs(usize),
    /// More than one recording: their number.
    #[error("{0} recordings; a node takes at most one")]
    TooManyRecordings(usize),
    /// The recording with this name lacks its folder, size or number of files.
    #[error("recording {0}: no folder, size or number of files")]
    IncompleteRecording(String),
    /// More than one group: their number.
    #[error("{0} groups; a node is in at most one")]
    TooManyGroups(usize),
}

impl Settings {
    /// Reads the text of a compiled configuration.
    ///
    /// # Errors
    /// If the text cannot be read, has more than one log, recording or group, or an incomplete recording.
    ///
    /// ```
    /// use rainstand_node::settings::Settings;
    /// assert_eq!(Settings::read("version: 1"), Ok(Settings::default()));
    /// let error = Settings::read("version: 1 logs { form: JSON } logs { }").unwrap_err();
    /// assert!(error.to_string().contains("at most one log"));
    /// ```
    pub fn read(text: &str) -> Result<Self, SettingsError> {
        let all = schema::from_text(text).map_err(|error| {
            let text = error.to_string().replace('\n', " ");
            SettingsError::Unreadable(text)
        })?;
        let log_format = match &all.logs[..] {
            [log] if log.form() == LogForm::Json => LogFormat::Json,
            [] | [_] => LogFormat::Text,
            logs => return Err(SettingsError::TooManyLogs(logs.len())),
        };
        let recording = match &all.recordings[..] {
            [] => None,
            [recording] if is_incomplete(recording) => {
                let name = recording.name.clone();
                return Err(SettingsError::IncompleteRecording(name));
            }
            [recording] => Some(recording.clone()),
            recordings => return Err(SettingsError::TooManyRecordings(recordings.len())),
        };
        let group = match &all.groups[..] {
            [] => None,
            [group] => Some(group.clone()),
            groups => return Err(SettingsError::TooManyGroups(groups.len())),
        };
        Ok(Self {
            log_format,
            recording,
            group,
        })
    }
}

fn is_incomplete(recording: &Recording) -> bool {
    recording.folder.is_empty() || recording.file_bytes == 0 || recording.files == 0
}
