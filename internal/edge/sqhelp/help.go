// Package sqhelp holds the pages of help, one a topic.
package sqhelp

import (
	"embed"
	"slices"
	"strings"
)

//go:embed *.md
var pages embed.FS

// Topics returns the names of the pages in order.
func Topics() []string {
	// The directory is part of the program.
	files, _ := pages.ReadDir(".")
	topics := make([]string, len(files))
	for i, f := range files {
		topics[i] = strings.TrimSuffix(f.Name(), ".md")
	}
	slices.Sort(topics)
	return topics
}

// Page returns the page of a topic in Markdown.
func Page(topic string) (string, bool) {
	text, err := pages.ReadFile(topic + ".md")
	return string(text), err == nil
}
