//! Typed access to an INI file, with reports of missing, invalid and unknown keys.

use std::{collections::BTreeSet, fmt, net::SocketAddr, ops::RangeInclusive, path::Path};

use ini::Ini;
use kingcup_dispatch::id;

/// Fault in a settings file. Its text is one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// Section; empty if the fault concerns none.
    pub section: String,
    /// Key; empty if the fault concerns none.
    pub key: String,
    /// Description of the problem.
    pub problem: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl std::error::Error for Fault {}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, section, key, problem, allowed } = self;
        write!(f, "{file}: [{section}] {key}: {problem}; allowed: {allowed}")
    }
}

/// Contents of a settings file and the keys that were requested from it.
#[derive(Debug)]
pub struct Source {
    file: String,
    ini: Ini,
    requested: BTreeSet<(String, String)>,
}

impl Source {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns a fault if the file cannot be read, is not valid INI, or contains a key twice.
    pub fn open(path: &Path) -> Result<Self, Fault> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(Self::file_fault(&file, &error.to_string(), "a readable file")),
        }
    }

    /// Parses a text as the contents of the named file.
    ///
    /// # Errors
    ///
    /// Returns a fault if the text is not valid INI or contains a key twice.
    pub fn parse(file: &str, text: &str) -> Result<Self, Fault> {
        let ini = Ini::load_from_str_noescape(text)
            .map_err(|error| Self::file_fault(file, &error.to_string(), "INI sections and keys"))?;
        let source = Self { file: file.to_owned(), ini, requested: BTreeSet::new() };
        source.reject_duplicates()?;
        Ok(source)
    }

    /// Replaces the value of a key, or adds it.
    pub fn set(&mut self, section: &str, key: &str, value: &str) {
        self.ini.set_to(Some(section), key.to_owned(), value.to_owned());
    }

    /// Creates a fault that concerns the whole file.
    fn file_fault(file: &str, problem: &str, allowed: &str) -> Fault {
        let (section, key) = (String::new(), String::new());
        Fault { file: file.into(), section, key, problem: problem.into(), allowed: allowed.into() }
    }

    fn reject_duplicates(&self) -> Result<(), Fault> {
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

    /// Creates a fault that concerns a key of this file.
    pub fn fault(&self, section: &str, key: &str, problem: &str, allowed: &str) -> Fault {
        Fault {
            file: self.file.clone(),
            section: section.into(),
            key: key.into(),
            problem: problem.into(),
            allowed: allowed.into(),
        }
    }

    /// Returns the value of a key, if it is present, and marks the key as requested.
    fn find(&mut self, section: &str, key: &str) -> Option<String> {
        self.requested.insert((section.to_owned(), key.to_owned()));
        self.ini.get_from(Some(section), key).map(str::to_owned)
    }

    /// Returns a text that must be present and not empty.
    ///
    /// # Errors
    ///
    /// Returns a fault if the text is missing or empty.
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

    /// Returns the name of the file.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns a decimal number, or the default if it is missing.
    ///
    /// # Errors
    ///
    /// Returns a fault if the value is not a number or is out of range.
    pub fn decimal(
        &mut self,
        section: &str,
        key: &str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> Result<f64, Fault> {
        let Some(text) = self.find(section, key) else {
            return Ok(default);
        };
        let number = text.parse().ok().filter(|number| range.contains(number));
        let allowed = format!("number from {} to {}", range.start(), range.end());
        number.ok_or_else(|| self.fault(section, key, "not a number in range", &allowed))
    }

    /// Returns a text if it is present and not empty.
    ///
    /// # Errors
    ///
    /// Returns a fault if the section is missing.
    pub fn optional_text(&mut self, section: &str, key: &str) -> Result<Option<String>, Fault> {
        if self.ini.section(Some(section)).is_none() {
            return Err(self.fault(section, key, "section is missing", "a value"));
        }
        Ok(self.find(section, key).filter(|text| !text.is_empty()))
    }

    /// Returns the name of a process.
    ///
    /// # Errors
    ///
    /// Returns a fault if the value is missing or not a valid name.
    pub fn process_name(&mut self, section: &str, key: &str) -> Result<String, Fault> {
        let text = self.text(section, key)?;
        if !id::is_process_name(&text) {
            let allowed = "lower-case letters, digits, _ and ., at most 48";
            return Err(self.fault(section, key, "not a name", allowed));
        }
        Ok(text)
    }

    /// Returns the name of a service, zone or region.
    ///
    /// # Errors
    ///
    /// Returns a fault if the value is missing or not a valid name.
    pub fn name(&mut self, section: &str, key: &str) -> Result<String, Fault> {
        let text = self.text(section, key)?;
        if !id::is_name(&text) {
            let allowed = "lower-case letters, digits, -, _ and ., at most 48";
            return Err(self.fault(section, key, "not a name", allowed));
        }
        Ok(text)
    }

    /// Returns an IP address with a port.
    ///
    /// # Errors
    ///
    /// Returns a fault if the value is missing or not an address.
    pub fn address(&mut self, section: &str, key: &str) -> Result<SocketAddr, Fault> {
        let text = self.text(section, key)?;
        let allowed = "IP address and port, such as 10.0.0.1:7101";
        text.parse().map_err(|_| self.fault(section, key, "not an address", allowed))
    }

    /// Returns an IP address with a port, if the key is present.
    ///
    /// # Errors
    ///
    /// Returns a fault if the value is not an address.
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

    /// Returns an integer within `range`, or the default if the key is missing.
    ///
    /// # Errors
    ///
    /// Returns a fault if the value is not a number or is out of range.
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

    /// Returns an integer within `range`, if the key is present.
    ///
    /// # Errors
    ///
    /// Returns a fault if the value is not a number or is out of range.
    pub fn optional_number(
        &mut self,
        section: &str,
        key: &str,
        range: RangeInclusive<u64>,
    ) -> Result<Option<u64>, Fault> {
        match self.find(section, key) {
            Some(_) => self.number(section, key, *range.start(), range).map(Some),
            None => Ok(None),
        }
    }

    /// Returns all keys of a section in which keys may have any name.
    ///
    /// # Errors
    ///
    /// Returns a fault if the section is missing or empty.
    pub fn keys(&mut self, section: &str) -> Result<Vec<String>, Fault> {
        let keys: Vec<String> = match self.ini.section(Some(section)) {
            Some(properties) => properties.iter().map(|(key, _)| key.to_owned()).collect(),
            None => return Err(self.fault(section, "", "section is missing", "one key per entry")),
        };
        if keys.is_empty() {
            return Err(self.fault(section, "", "section is empty", "one key per entry"));
        }
        Ok(keys)
    }

    /// Rejects keys that were not requested.
    ///
    /// # Errors
    ///
    /// Returns a fault that names the first such key.
    pub fn finish(self) -> Result<(), Fault> {
        for (section, properties) in &self.ini {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                if !self.requested.contains(&(section.to_owned(), key.to_owned())) {
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

    /// Describes the known keys of a section.
    fn alternatives(&self, section: &str) -> String {
        let keys: Vec<&str> = self
            .requested
            .iter()
            .filter(|(requested, _)| requested == section)
            .map(|(_, key)| key.as_str())
            .collect();
        if keys.is_empty() {
            "no such section".to_owned()
        } else {
            keys.join(", ")
        }
    }
}
