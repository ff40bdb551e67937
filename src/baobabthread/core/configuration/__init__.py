"""The operators' text: checked, agreed on through the log, and its age."""
