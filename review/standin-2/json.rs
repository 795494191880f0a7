//! Just enough JSON for the bodies that nodes send to the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    Array(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn field(&self, name: &str) -> &Value {
        match self {
            Value::Object(fields) => fields.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Value::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Value::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn items(&self) -> &[Value] {
        if let Value::Array(items) = self { items } else { &[] }
    }
}

/// Parses a document; `None` if it is malformed.
pub fn parse(text: &str) -> Option<Value> {
    let mut rest = text.trim_start();
    let value = parse_value(&mut rest)?;
    rest.trim_start().is_empty().then_some(value)
}

fn eat(rest: &mut &str, token: &str) -> bool {
    *rest = rest.trim_start();
    match rest.strip_prefix(token) {
        Some(after) => {
            *rest = after;
            true
        }
        None => false,
    }
}

fn parse_value(rest: &mut &str) -> Option<Value> {
    if eat(rest, "null") {
        return Some(Value::Null);
    }
    if eat(rest, "true") {
        return Some(Value::Bool(true));
    }
    if eat(rest, "false") {
        return Some(Value::Bool(false));
    }
    if rest.starts_with('"') {
        return parse_text(rest).map(Value::Text);
    }
    if eat(rest, "[") {
        let mut items = Vec::new();
        while !eat(rest, "]") {
            if !items.is_empty() && !eat(rest, ",") {
                return None;
            }
            items.push(parse_value(rest)?);
        }
        return Some(Value::Array(items));
    }
    if eat(rest, "{") {
        let mut fields = BTreeMap::new();
        while !eat(rest, "}") {
            if !fields.is_empty() && !eat(rest, ",") {
                return None;
            }
            *rest = rest.trim_start();
            let name = parse_text(rest)?;
            if !eat(rest, ":") {
                return None;
            }
            fields.insert(name, parse_value(rest)?);
        }
        return Some(Value::Object(fields));
    }
    let end = rest.find(|c: char| !"+-.eE0123456789".contains(c)).unwrap_or(rest.len());
    let (number, after) = rest.split_at(end);
    *rest = after;
    number.parse().ok().map(Value::Number)
}

fn parse_text(rest: &mut &str) -> Option<String> {
    let mut text = String::new();
    let mut chars = rest.strip_prefix('"')?.char_indices();
    let body = &rest[1..];
    while let Some((index, c)) = chars.next() {
        match c {
            '"' => {
                *rest = &body[index + 1..];
                return Some(text);
            }
            '\\' => match chars.next()?.1 {
                'n' => text.push('\n'),
                't' => text.push('\t'),
                'r' => text.push('\r'),
                'u' => {
                    let hex: String = (0..4).filter_map(|_| chars.next()).map(|(_, c)| c).collect();
                    text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
    None
}
