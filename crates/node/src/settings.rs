//! What the node takes from a compiled configuration, beside the platform's JSON file: how its log is written, whether
//! its traffic is recorded, and which group it is in.

use crate::log::LogFormat;
use rainstand_config::schema::{self, Group, LogForm, Recording};

/// The parts of a configuration that are about a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How lines of the log are written.
    pub form: LogFormat,
    /// The recording of the node's traffic, if there is to be one.
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
    /// There are so many logs.
    #[error("{0} logs; a node takes one log")]
    Logs(usize),
    /// There are so many recordings.
    #[error("{0} recordings; a node takes one")]
    Recordings(usize),
    /// The recording with this name lacks something.
    #[error("recording {0}: no folder, size or number of files")]
    IncompleteRecording(String),
    /// There are so many groups.
    #[error("{0} groups; a node is in one")]
    Groups(usize),
}

impl Settings {
    /// Reads the text of a compiled configuration.
    ///
    /// # Errors
    /// A text that cannot be read, more than one log, recording or group, or a recording without its folder.
    ///
    /// ```
    /// use rainstand_node::settings::Settings;
    /// assert_eq!(Settings::read("version: 1"), Ok(Settings::default()));
    /// let error = Settings::read("version: 1 logs { form: JSON } logs { }").unwrap_err();
    /// assert!(error.to_string().contains("one log"));
    /// ```
    pub fn read(text: &str) -> Result<Self, SettingsError> {
        let all = schema::from_text(text).map_err(|error| {
            let text = error.to_string().replace('\n', " ");
            SettingsError::Unreadable(text)
        })?;
        let form = match &all.logs[..] {
            [log] if log.form() == LogForm::Json => LogFormat::Json,
            [] | [_] => LogFormat::Text,
            logs => return Err(SettingsError::Logs(logs.len())),
        };
        let recording = match &all.recordings[..] {
            [] => None,
            [recording] if is_incomplete(recording) => {
                let name = recording.name.clone();
                return Err(SettingsError::IncompleteRecording(name));
            }
            [recording] => Some(recording.clone()),
            recordings => return Err(SettingsError::Recordings(recordings.len())),
        };
        let group = match &all.groups[..] {
            [] => None,
            [group] => Some(group.clone()),
            groups => return Err(SettingsError::Groups(groups.len())),
        };
        Ok(Self {
            form,
            recording,
            group,
        })
    }
}

fn is_incomplete(recording: &Recording) -> bool {
    recording.folder.is_empty() || recording.file_bytes == 0 || recording.files == 0
}
