//! Output with the values that differ between runs replaced.

/// A line with the value of each of these keys, up to the next comma or brace, replaced by `_`.
pub fn without_values(line: &str, keys: &[&str]) -> String {
    keys.iter().fold(line.to_owned(), |line, key| {
        let mark = format!("\"{key}\":");
        let mut parts = line.split(&mark);
        let first = parts.next().unwrap_or_default().to_owned();
        parts.fold(first, |masked, part| {
            let end = part.find([',', '}']).unwrap_or(part.len());
            masked + &mark + "_" + &part[end..]
        })
    })
}

/// The first line that contains a text, with its numbers replaced by `_` and its columns separated
/// by one space.
pub fn line_with(output: &str, text: &str) -> String {
    let line = output.lines().find(|line| line.contains(text));
    let line = line.unwrap_or_else(|| panic!("no line with {text} in {output}"));
    let words: Vec<&str> = line.split_whitespace().collect();
    let mut masked = String::new();
    for letter in words.join(" ").chars() {
        if !letter.is_ascii_digit() {
            masked.push(letter);
        } else if !masked.ends_with('_') {
            masked.push('_');
        }
    }
    masked
}

/// A line up to the end of a text; the whole line where it does not contain the text.
pub fn up_to<'a>(line: &'a str, text: &str) -> &'a str {
    line.find(text)
        .map_or(line, |start| &line[..start + text.len()])
}
