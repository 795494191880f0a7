//! A reader of JSON that is large enough for the calls of the node.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value()?;
        reader.skip();
        (reader.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
            }
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_there = self.bytes[self.at..].starts_with(word.as_bytes());
        is_there.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.skip();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Table(fields));
                    }
                }
            }
            _ => {
                let start = self.at;
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            let letter = char::from_u32(code)?;
                            out.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => {
                    out.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 text with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0u32;
        for place in 0..3 {
            number = number << 8 | u32::from(*group.get(place).unwrap_or(&0));
        }
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= group.len() { digit } else { '=' });
        }
    }
    text
}
