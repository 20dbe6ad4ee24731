//! A small JSON reader for the bodies of the system's calls to the store.

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.iter().find(|(key, _)| key == name).map(|(_, it)| it),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number,
            _ => 0,
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while chars
        .get(*at)
        .is_some_and(|it| it.is_whitespace() || *it == ',' || *it == ':')
    {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(chars, at);
                if *chars.get(*at)? == '}' {
                    *at += 1;
                    return Some(Json::Table(rows));
                }
                let key = value(chars, at)?;
                let item = value(chars, at)?;
                rows.push((key.text().to_owned(), item));
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(chars, at);
                if *chars.get(*at)? == ']' {
                    *at += 1;
                    return Some(Json::List(items));
                }
                items.push(value(chars, at)?);
            }
        }
        '"' => {
            *at += 1;
            let mut text = String::new();
            loop {
                let next = *chars.get(*at)?;
                *at += 1;
                match next {
                    '"' => return Some(Json::Text(text)),
                    '\\' => {
                        text.push(*chars.get(*at)?);
                        *at += 1;
                    }
                    other => text.push(other),
                }
            }
        }
        _ => {
            let start = *at;
            while chars
                .get(*at)
                .is_some_and(|it| it.is_alphanumeric() || "+-.".contains(*it))
            {
                *at += 1;
            }
            if start == *at {
                return None;
            }
            let word: String = chars[start..*at].iter().collect();
            Some(match word.as_str() {
                "null" | "true" | "false" => Json::Null,
                number => Json::Number(number.parse().unwrap_or(0)),
            })
        }
    }
}
