//! Reads an operator's declarations: a directory of YAML files, checked and applied as a whole.
//!
//! Every file may have any of the top-level fields `models`, `tiers`, `callers`, `services` and
//! `policy`; lists of several files are joined, and only one file may have `policy`.

use std::{
    io,
    path::{
        Path,
        PathBuf, //
    }, //
};

use crate::{
    Catalogue,
    check,
    fields::Fields,
    problem::{
        Place,
        Problems, //
    },
    yaml::Document, //
};

/// Decoded files before the checks, which `TryFrom` runs.
#[derive(Debug, Clone, Default)]
pub struct Declarations {
    documents: Vec<Document>,
}

impl Declarations {
    /// Takes documents in the order in which they are checked.
    pub fn new(documents: Vec<Document>) -> Self {
        Self { documents }
    }
}

impl TryFrom<Declarations> for Catalogue {
    type Error = Problems;

    fn try_from(declarations: Declarations) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let catalogue = check_documents(&declarations, &mut problems);
        problems.into_result(Some(catalogue))
    }
}

/// Reads and checks one file, or all `*.yaml` files in a directory and its subdirectories.
///
/// # Errors
///
/// All problems of all files. If a file cannot be decoded, only the decoding errors.
pub fn read(path: &Path) -> Result<Catalogue, Problems> {
    let mut problems = Problems::default();
    let files = match yaml_files(path) {
        Ok(files) => files,
        Err(e) => {
            problems.add(whole_file(path), e, "a readable directory or file");
            return Err(problems);
        }
    };
    if files.is_empty() {
        problems.add(whole_file(path), "no *.yaml file", "at least one");
        return Err(problems);
    }
    let mut declarations = Declarations::default();
    for file in files {
        match Document::read(&file) {
            Ok(document) => declarations.documents.push(document),
            Err(e) => problems.append(e),
        }
    }
    // Other files may refer to items in a file that cannot be decoded. Checking them without it
    // would report problems that they do not have.
    if !problems.is_empty() {
        return Err(problems);
    }
    Catalogue::try_from(declarations)
}

fn whole_file(path: &Path) -> Place {
    Place {
        file: path.display().to_string().into(),
        line: 0,
        field: "".into(),
    }
}

fn yaml_files(path: &Path) -> io::Result<Vec<PathBuf>> {
    if path.is_file() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let path = entry?.path();
        if path.is_dir() {
            files.extend(yaml_files(&path)?);
        } else if path.extension().is_some_and(|e| e == "yaml") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn check_documents(declarations: &Declarations, problems: &mut Problems) -> Catalogue {
    let mut all = check::Declared::default();
    let mut policy = None;
    for document in &declarations.documents {
        let Some(fields) = Fields::of_document(problems, document, &check::TOP_FIELDS) else {
            continue;
        };
        all.models.extend(check::models(problems, &fields));
        all.tiers.extend(check::tiers(problems, &fields));
        all.callers.extend(check::callers(problems, &fields));
        all.services.extend(check::services(problems, &fields));
        if !fields.has("policy") {
            continue;
        }
        let place = fields.place("policy");
        if let Some(first) = &policy {
            let Place { file, line, .. } = first;
            let found = format!("a second policy; the first is at {file}:{line}");
            problems.add(place, found, "one policy in all files");
            continue;
        }
        policy = Some(place);
        all.policy = check::policy(problems, &fields).unwrap_or_default();
    }
    check::build_catalogue(problems, all)
}
