//! Reads TOML tables field by field and reports mistakes as findings.

use toml::de::{DeTable, DeValue};

use crate::{
    finding::{FindingCollector, RuleName},
    names::{is_valid_name, suggest_similar},
    source::{Located, Position, SourceFile},
};

/// Parses one file. Returns the parts that can be read in spite of syntax errors.
pub(crate) fn parse<'a>(
    source: SourceFile<'a>,
    findings: &mut FindingCollector,
) -> toml::Spanned<DeTable<'a>> {
    let (table, errors) = DeTable::parse_recoverable(source.text);
    for error in errors {
        let at = source.position(&error.span().unwrap_or(0..0));
        if error.message().contains("duplicate key") {
            let message = "this name is defined twice in the file";
            findings.add_with_suggestion(
                at,
                RuleName::DuplicateName,
                message,
                "remove or rename one of them",
            );
        } else {
            findings.add(at, RuleName::TomlSyntax, error.message());
        }
    }
    table
}

/// Reader of the fields of one table.
pub(crate) struct TableReader<'a> {
    source: SourceFile<'a>,
    table: &'a DeTable<'a>,
    /// Name of the table in messages, such as "plan `harbour`".
    pub(crate) subject: String,
    /// Position of the table's name.
    pub(crate) at: Position,
}

impl<'a> TableReader<'a> {
    /// Creates a reader of the top level of a file.
    pub(crate) fn root(source: SourceFile<'a>, table: &'a DeTable<'a>) -> TableReader<'a> {
        let at = Position::start_of(source.name);
        TableReader { source, table, subject: source.name.to_string(), at }
    }

    /// Reports every field that is not in `known`.
    pub(crate) fn expect_fields(&self, known: &[&str], findings: &mut FindingCollector) {
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if !known.contains(&name) {
                let message = format!("{}: no field `{name}`", self.subject);
                findings.add_with_suggestion(
                    self.source.position(&key.span()),
                    RuleName::UnknownField,
                    message,
                    suggest_similar(name, known.iter().copied()).unwrap_or_default(),
                );
            }
        }
    }

    /// Returns the position of a field's name, if the table has the field.
    pub(crate) fn position_of(&self, field: &str) -> Option<Position> {
        let (key, _) = self.table.get_key_value(field)?;
        Some(self.source.position(&key.span()))
    }

    /// Returns a reader of the table under `field`, if there is one.
    pub(crate) fn section(
        &self,
        field: &'static str,
        findings: &mut FindingCollector,
    ) -> Option<TableReader<'a>> {
        let (key, value) = self.table.get_key_value(field)?;
        let at = self.source.position(&key.span());
        let DeValue::Table(table) = value.get_ref() else {
            self.report_wrong_type(at, field, "a table", findings);
            return None;
        };
        Some(TableReader { source: self.source, table, subject: format!("`[{field}]`"), at })
    }

    /// Returns the tables under `section` with their names, such as all `[plan.NAME]`.
    pub(crate) fn named_tables(
        &self,
        section: &'static str,
        findings: &mut FindingCollector,
    ) -> Vec<(Located<String>, TableReader<'a>)> {
        let mut entries = Vec::new();
        let Some(group) = self.section(section, findings) else { return entries };
        for (key, value) in group.table.iter() {
            let name = key.get_ref().to_string();
            let at = self.source.position(&key.span());
            let subject = format!("{section} `{name}`");
            let DeValue::Table(table) = value.get_ref() else {
                let message = format!("{subject} is not a table");
                let suggestion = format!("write it as `[{section}.NAME]` with fields below");
                findings.add_with_suggestion(at, RuleName::WrongType, message, suggestion);
                continue;
            };
            if !is_valid_name(&name) {
                findings.add_with_suggestion(
                    at,
                    RuleName::BadName,
                    format!("{subject}: not a valid name"),
                    "use lower-case letters, digits, and hyphens or dots between them",
                );
            }
            let reader = TableReader { source: self.source, table, subject, at };
            entries.push((Located { value: name, at }, reader));
        }
        entries
    }

    /// Reads a text field, which may be absent.
    pub(crate) fn text(
        &self,
        field: &'static str,
        findings: &mut FindingCollector,
    ) -> Option<Located<String>> {
        let value = self.table.get(field)?;
        let at = self.source.position(&value.span());
        match value.get_ref() {
            DeValue::String(text) => Some(Located { value: text.to_string(), at }),
            _ => {
                self.report_wrong_type(at, field, "text in quotes", findings);
                None
            }
        }
    }

    /// Reads a text field and reports it if it is missing.
    pub(crate) fn required_text(
        &self,
        field: &'static str,
        findings: &mut FindingCollector,
    ) -> Option<Located<String>> {
        self.require(field, findings);
        self.text(field, findings)
    }

    /// Reports `field` if the table lacks it.
    pub(crate) fn require(&self, field: &'static str, findings: &mut FindingCollector) {
        if !self.table.contains_key(field) {
            let message = format!("{}: `{field}` is missing", self.subject);
            findings.add(self.at, RuleName::MissingField, message);
        }
    }

    /// Reads the text of a limit. A number is returned as text too, so that the caller reports its
    /// missing unit.
    pub(crate) fn limit_text(
        &self,
        field: &'static str,
        findings: &mut FindingCollector,
    ) -> Option<Located<String>> {
        let value = self.table.get(field)?;
        if let DeValue::Integer(number) = value.get_ref() {
            let at = self.source.position(&value.span());
            return Some(Located { value: number.as_str().to_string(), at });
        }
        self.text(field, findings)
    }

    /// Reads a list of texts, which is empty if the field is absent.
    pub(crate) fn text_list(
        &self,
        field: &'static str,
        findings: &mut FindingCollector,
    ) -> Vec<Located<String>> {
        let mut texts = Vec::new();
        let Some(value) = self.table.get(field) else { return texts };
        let DeValue::Array(items) = value.get_ref() else {
            let at = self.source.position(&value.span());
            self.report_wrong_type(at, field, "a list of texts", findings);
            return texts;
        };
        for item in items.iter() {
            let at = self.source.position(&item.span());
            match item.get_ref() {
                DeValue::String(text) => texts.push(Located { value: text.to_string(), at }),
                _ => self.report_wrong_type(at, field, "a list of texts", findings),
            }
        }
        texts
    }

    /// Reads a whole number from `minimum` to `maximum` (inclusive).
    pub(crate) fn number(
        &self,
        field: &'static str,
        minimum: u64,
        maximum: u64,
        findings: &mut FindingCollector,
    ) -> Option<u64> {
        let value = self.table.get(field)?;
        let at = self.source.position(&value.span());
        let DeValue::Integer(integer) = value.get_ref() else {
            self.report_wrong_type(at, field, "a whole number", findings);
            return None;
        };
        let number = i64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let number = number.and_then(|number| u64::try_from(number).ok());
        let fitting = number.filter(|number| (minimum..=maximum).contains(number));
        if fitting.is_none() {
            let message =
                format!("{}: `{field}` must be from {minimum} to {maximum}", self.subject);
            findings.add(at, RuleName::OutOfRange, message);
        }
        fitting
    }

    /// Reads a field that is `true` or `false`.
    pub(crate) fn boolean(
        &self,
        field: &'static str,
        findings: &mut FindingCollector,
    ) -> Option<bool> {
        let value = self.table.get(field)?;
        if let DeValue::Boolean(flag) = value.get_ref() {
            return Some(*flag);
        }
        let at = self.source.position(&value.span());
        self.report_wrong_type(at, field, "`true` or `false`", findings);
        None
    }

    fn report_wrong_type(
        &self,
        at: Position,
        field: &str,
        wanted: &str,
        findings: &mut FindingCollector,
    ) {
        let message = format!("{}: `{field}` must be {wanted}", self.subject);
        findings.add(at, RuleName::WrongType, message);
    }
}
