//! Typed access to an INI file that reports missing, wrong and unknown keys.

use std::{collections::BTreeSet, fmt, net::SocketAddr, ops::RangeInclusive, path::Path};

use ini::Ini;
use kingcup_dispatch::id;

/// One fault in a settings file, told in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// File.
    pub file: String,
    /// Section, or empty.
    pub section: String,
    /// Key, or empty.
    pub key: String,
    /// What is wrong.
    pub wrong: String,
    /// What is allowed.
    pub allowed: String,
}

impl std::error::Error for Fault {}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, section, key, wrong, allowed } = self;
        write!(f, "{file}: [{section}] {key}: {wrong}; allowed: {allowed}")
    }
}

/// A settings file and the keys that were asked for.
#[derive(Debug)]
pub struct Source {
    file: String,
    ini: Ini,
    known: BTreeSet<(String, String)>,
}

impl Source {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// A fault if it cannot be read, is not INI, or names a section or key twice.
    pub fn open(path: &Path) -> Result<Self, Fault> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(Self::broken(&file, &error.to_string(), "a readable file")),
        }
    }

    /// Reads a text as if it were the named file.
    ///
    /// # Errors
    ///
    /// As `open`.
    pub fn parse(file: &str, text: &str) -> Result<Self, Fault> {
        let ini = Ini::load_from_str_noescape(text)
            .map_err(|error| Self::broken(file, &error.to_string(), "INI sections and keys"))?;
        let source = Self { file: file.to_owned(), ini, known: BTreeSet::new() };
        source.reject_repeats()?;
        Ok(source)
    }

    fn broken(file: &str, wrong: &str, allowed: &str) -> Fault {
        let (section, key) = (String::new(), String::new());
        Fault { file: file.into(), section, key, wrong: wrong.into(), allowed: allowed.into() }
    }

    fn reject_repeats(&self) -> Result<(), Fault> {
        let mut seen = BTreeSet::new();
        for (section, properties) in &self.ini {
            for (key, _) in properties.iter() {
                if !seen.insert((section.unwrap_or(""), key)) {
                    return Err(self.fault(section.unwrap_or(""), key, "given twice", "once"));
                }
            }
        }
        Ok(())
    }

    /// Makes a fault about a key of this file.
    pub fn fault(&self, section: &str, key: &str, wrong: &str, allowed: &str) -> Fault {
        Fault {
            file: self.file.clone(),
            section: section.into(),
            key: key.into(),
            wrong: wrong.into(),
            allowed: allowed.into(),
        }
    }

    fn find(&mut self, section: &str, key: &str) -> Option<String> {
        self.known.insert((section.to_owned(), key.to_owned()));
        self.ini.get_from(Some(section), key).map(str::to_owned)
    }

    /// A text that must be there and not be empty.
    ///
    /// # Errors
    ///
    /// A fault if it is missing or empty.
    pub fn text(&mut self, section: &str, key: &str) -> Result<String, Fault> {
        if self.ini.section(Some(section)).is_none() {
            return Err(self.fault(section, key, "section is missing", "a value"));
        }
        match self.find(section, key) {
            Some(text) if !text.is_empty() => Ok(text),
            Some(_) => Err(self.fault(section, key, "empty", "a value")),
            None => Err(self.fault(section, key, "missing", "a value")),
        }
    }

    /// Name of the file.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// A text, if it is given and not empty.
    ///
    /// # Errors
    ///
    /// A fault if the section is missing.
    pub fn optional_text(&mut self, section: &str, key: &str) -> Result<Option<String>, Fault> {
        if self.ini.section(Some(section)).is_none() {
            return Err(self.fault(section, key, "section is missing", "a value"));
        }
        Ok(self.find(section, key).filter(|text| !text.is_empty()))
    }

    /// Name of a process.
    ///
    /// # Errors
    ///
    /// A fault if it is missing or not such a name.
    pub fn process_name(&mut self, section: &str, key: &str) -> Result<String, Fault> {
        let text = self.text(section, key)?;
        if !id::is_process_name(&text) {
            let allowed = "lower-case letters, digits, _ and ., at most 48";
            return Err(self.fault(section, key, "not a name", allowed));
        }
        Ok(text)
    }

    /// Name of a service, zone or region.
    ///
    /// # Errors
    ///
    /// A fault if it is missing or not such a name.
    pub fn name(&mut self, section: &str, key: &str) -> Result<String, Fault> {
        let text = self.text(section, key)?;
        if !id::is_name(&text) {
            let allowed = "lower-case letters, digits, -, _ and ., at most 48";
            return Err(self.fault(section, key, "not a name", allowed));
        }
        Ok(text)
    }

    /// IP address and port.
    ///
    /// # Errors
    ///
    /// A fault if it is missing or not an address.
    pub fn address(&mut self, section: &str, key: &str) -> Result<SocketAddr, Fault> {
        let text = self.text(section, key)?;
        let allowed = "IP address and port, such as 10.0.0.1:7101";
        text.parse().map_err(|_| self.fault(section, key, "not an address", allowed))
    }

    /// IP address and port, if they are given.
    ///
    /// # Errors
    ///
    /// A fault if it is not an address.
    pub fn optional_address(
        &mut self,
        section: &str,
        key: &str,
    ) -> Result<Option<SocketAddr>, Fault> {
        match self.find(section, key) {
            Some(_) => self.address(section, key).map(Some),
            None => Ok(None),
        }
    }

    /// Whole number within bounds, or the default if it is not given.
    ///
    /// # Errors
    ///
    /// A fault if it is not a number or out of bounds.
    pub fn number(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<u64, Fault> {
        let Some(text) = self.find(section, key) else {
            return Ok(default);
        };
        let allowed = format!("whole number from {} to {}", range.start(), range.end());
        match text.parse() {
            Ok(number) if range.contains(&number) => Ok(number),
            Ok(_) => Err(self.fault(section, key, "out of range", &allowed)),
            Err(_) => Err(self.fault(section, key, "not a number", &allowed)),
        }
    }

    /// Keys of a section whose names are free.
    ///
    /// # Errors
    ///
    /// A fault if the section is missing or empty.
    pub fn keys(&mut self, section: &str) -> Result<Vec<String>, Fault> {
        let keys: Vec<String> = match self.ini.section(Some(section)) {
            Some(properties) => properties.iter().map(|(key, _)| key.to_owned()).collect(),
            None => return Err(self.fault(section, "", "section is missing", "one key an entry")),
        };
        if keys.is_empty() {
            return Err(self.fault(section, "", "section is empty", "one key an entry"));
        }
        Ok(keys)
    }

    /// Rejects keys that nothing asked for.
    ///
    /// # Errors
    ///
    /// A fault that names the first such key.
    pub fn finish(self) -> Result<(), Fault> {
        for (section, properties) in &self.ini {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                if !self.known.contains(&(section.to_owned(), key.to_owned())) {
                    return Err(self.fault(
                        section,
                        key,
                        "unknown key",
                        &self.alternatives(section),
                    ));
                }
            }
        }
        Ok(())
    }

    fn alternatives(&self, section: &str) -> String {
        let keys: Vec<&str> = self
            .known
            .iter()
            .filter(|(known, _)| known == section)
            .map(|(_, key)| key.as_str())
            .collect();
        if keys.is_empty() {
            "no such section".to_owned()
        } else {
            keys.join(", ")
        }
    }
}
