//! Selects the experiment of a file, and its variant, that the options name.

use crate::config_file::read;
use crate::error::CommandError;
use rainstand_config::schema::{Configuration, Experiment};
use rainstand_experiments::plans::variants;
use rainstand_fleet_model::plan::Plan;

/// An experiment and the configuration that contains it.
pub(super) struct SelectedExperiment<'a> {
    file: &'a str,
    pub(super) configuration: Configuration,
    /// Index in the configuration's experiments.
    position: usize,
}

impl<'a> SelectedExperiment<'a> {
    /// Reads a file and selects its experiment of this name; without a name, its only one.
    ///
    /// # Errors
    /// If the file cannot be read or has errors, or there is no such experiment.
    pub(super) fn read(file: &'a str, name: Option<&str>) -> Result<Self, CommandError> {
        let configuration = read(file, false)?.configuration;
        let names: Vec<&str> = configuration
            .experiments
            .iter()
            .map(|experiment| &*experiment.name)
            .collect();
        let position =
            position(&names, name).map_err(|reason| CommandError::unusable(file, reason))?;
        Ok(Self {
            file,
            configuration,
            position,
        })
    }

    pub(super) fn experiment(&self) -> &Experiment {
        &self.configuration.experiments[self.position]
    }

    /// The plan of the variant with this label, or of the first one, for a seed.
    ///
    /// # Errors
    /// If the experiment cannot be planned, or has no such variant.
    pub(super) fn plan(&self, label: Option<&str>, seed: u64) -> Result<Plan, CommandError> {
        let variants = variants(&self.configuration, self.experiment())
            .map_err(|reason| CommandError::unusable(self.file, reason))?;
        let labels: Vec<String> = variants
            .iter()
            .map(|variant| variant.label.clone())
            .collect();
        let selected = variants
            .into_iter()
            .find(|variant| label.is_none_or(|label| label == variant.label));
        let variant = selected.ok_or_else(|| {
            let reason = format!("no such variant; known variants: {}", labels.join("; "));
            CommandError::unusable(self.file, reason)
        })?;
        Ok(Plan {
            seed,
            ..variant.plan
        })
    }
}

/// Why no experiment could be selected.
#[derive(Debug, thiserror::Error)]
enum SelectionError {
    #[error("the file has no experiment")]
    NoExperiments,
    #[error("there is no experiment `{name}`; known experiments: {known}")]
    Unknown { name: String, known: String },
    #[error("the file has several experiments; choose one with --experiment: {known}")]
    Ambiguous { known: String },
}

/// Position of the experiment with this name, or of the only one.
fn position(names: &[&str], name: Option<&str>) -> Result<usize, SelectionError> {
    if names.is_empty() {
        return Err(SelectionError::NoExperiments);
    }
    let known = || names.join(", ");
    match name {
        Some(name) => names
            .iter()
            .position(|known| *known == name)
            .ok_or_else(|| SelectionError::Unknown {
                name: name.to_owned(),
                known: known(),
            }),
        None if names.len() == 1 => Ok(0),
        None => Err(SelectionError::Ambiguous { known: known() }),
    }
}
