//! Finds the line of a key in the operator's file, for error messages.

use super::error::{KeyFault, OperatorError};
use super::script::{Call, Function};

/// The text of the operator's file and the calls that its evaluation recorded.
pub(super) struct Source<'a> {
    /// The file's path.
    pub(super) path: &'a str,
    /// The file's text.
    pub(super) text: &'a str,
    /// The recorded calls, in order.
    pub(super) calls: &'a [Call],
}

impl Source<'_> {
    /// Returns the error of a key, such as `queues[1].outcomes.failed`, with the key's line.
    pub(super) fn error(&self, key: &str, fault: KeyFault) -> OperatorError {
        OperatorError::Key { path: self.path.into(), line: self.line_of(key), key: key.into(), fault }
    }

    /// Returns the line of a key, from 1. The names of the key's path are searched one after the other within
    /// the lines of the call; the line is that of the last name found, or else the first line of the call.
    fn line_of(&self, key: &str) -> usize {
        let Some(call) = self.call_of(key) else { return 1 };
        let lines: Vec<&str> = self.text.lines().collect();
        let mut found = call.lines.first;
        for name in key.split(['.', '[', ']']).skip(1).filter(|name| !name.is_empty()) {
            let has_name = |line: &usize| lines.get(*line).is_some_and(|line| contains_word(line, name));
            if let Some(line) = (found..=call.lines.last).find(has_name) {
                found = line;
            }
        }
        found + 1
    }

    fn call_of(&self, key: &str) -> Option<&Call> {
        let index = key.split(['[', ']']).nth(1).and_then(|index| index.parse::<usize>().ok());
        match index {
            Some(index) if key.starts_with("queues") => {
                self.calls.iter().filter(|call| call.function == Function::Queue).nth(index)
            }
            _ => self.calls.iter().find(|call| key.starts_with(call.function.name())),
        }
    }
}

fn contains_word(line: &str, word: &str) -> bool {
    line.split(|c: char| !c.is_alphanumeric() && c != '_').any(|other| other == word)
}
