//! Line map: the line of each field of a YAML document.

use std::collections;

use saphyr::LoadableYamlNode as _;

/// The line number of each field, by the field's path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LineMap {
    first: usize,
    lines: collections::BTreeMap<String, usize>,
}

impl LineMap {
    /// Creates the map of a document that follows `offset` other lines of its file.
    #[must_use]
    pub fn new(text: &str, offset: usize) -> Self {
        let mut map = Self {
            first: offset + 1,
            lines: collections::BTreeMap::new(),
        };
        if let Ok(documents) = saphyr::MarkedYaml::load_from_str(text) {
            for document in &documents {
                map.visit(document, "", offset);
            }
        }
        map
    }

    /// Returns the line of a field, or else of its nearest enclosing field.
    #[must_use]
    pub fn line(&self, field: &str) -> usize {
        let mut path = field;
        loop {
            if let Some(line) = self.lines.get(path) {
                return *line;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return self.first,
            }
        }
    }

    fn visit(&mut self, node: &saphyr::MarkedYaml<'_>, path: &str, offset: usize) {
        match &node.data {
            saphyr::YamlData::Mapping(entries) => {
                for (key, value) in entries {
                    let Some(name) = key.data.as_str() else {
                        continue;
                    };
                    let path = join(path, name);
                    self.lines
                        .insert(path.clone(), offset + key.span.start.line());
                    self.visit(value, &path, offset);
                }
            }
            saphyr::YamlData::Sequence(items) => {
                for (index, item) in items.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    self.lines
                        .insert(path.clone(), offset + item.span.start.line());
                    self.visit(item, &path, offset);
                }
            }
            _ => {}
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
