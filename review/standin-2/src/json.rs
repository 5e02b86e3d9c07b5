//! A small JSON reader and writer.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Json {
    /// `null`.
    #[default]
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number.
    Num(f64),
    /// A string.
    Str(String),
    /// An array.
    List(Vec<Json>),
    /// An object.
    Map(BTreeMap<String, Json>),
}

static NULL: Json = Json::Null;

impl Json {
    /// Parses `text`; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut p = Parser {
            b: text.as_bytes(),
            at: 0,
        };
        let value = p.value()?;
        p.space();
        (p.at == p.b.len()).then_some(value)
    }

    /// Returns a member of an object, or null.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Map(m) => m.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    /// Returns the text of a string, or an empty text.
    pub fn str(&self) -> &str {
        match self {
            Self::Str(s) => s,
            _ => "",
        }
    }

    /// Returns a whole number, if it is one.
    pub fn int(&self) -> Option<u64> {
        match self {
            Self::Num(n) => Some(*n as u64),
            _ => None,
        }
    }

    /// Writes the value as JSON.
    pub fn write(&self) -> String {
        match self {
            Self::Null => "null".into(),
            Self::Bool(b) => b.to_string(),
            Self::Num(n) if n.fract() == 0.0 => format!("{n:.0}"),
            Self::Num(n) => n.to_string(),
            Self::Str(s) => quote(s),
            Self::List(all) => {
                let items: Vec<String> = all.iter().map(Self::write).collect();
                format!("[{}]", items.join(","))
            }
            Self::Map(all) => {
                let items = all
                    .iter()
                    .map(|(k, v)| format!("{}:{}", quote(k), v.write()));
                format!("{{{}}}", items.collect::<Vec<_>>().join(","))
            }
        }
    }
}

/// Writes a string in quotes.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out + "\""
}

struct Parser<'a> {
    b: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.b.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.b.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.b.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut all = BTreeMap::new();
                if self.eat(b'}').is_some() {
                    return Some(Json::Map(all));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.eat(b':')?;
                    all.insert(key, self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b'}')?;
                        return Some(Json::Map(all));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut all = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(Json::List(all));
                }
                loop {
                    all.push(self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b']')?;
                        return Some(Json::List(all));
                    }
                }
            }
            b'"' => self.string().map(Json::Str),
            _ => {
                let start = self.at;
                while self
                    .b
                    .get(self.at)
                    .is_some_and(|c| c.is_ascii_alphanumeric() || b"+-.".contains(c))
                {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.b[start..self.at]).ok()? {
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    "null" => Some(Json::Null),
                    number => number.parse().ok().map(Json::Num),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut out = Vec::new();
        loop {
            let c = *self.b.get(self.at)?;
            self.at += 1;
            match c {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let c = *self.b.get(self.at)?;
                    self.at += 1;
                    match c {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.b.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let c = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            out.extend(c.to_string().bytes());
                        }
                        c => out.push(c),
                    }
                }
                c => out.push(c),
            }
        }
    }
}
