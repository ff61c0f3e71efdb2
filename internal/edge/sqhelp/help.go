// Package sqhelp holds the help pages for operators, one for each topic.
package sqhelp

import (
	"embed"
	"slices"
	"strings"
)

//go:embed *.md
var pages embed.FS

// Topics returns the names of the topics in alphabetical order.
func Topics() []string {
	// Reading can't fail, since the pages are embedded in the program.
	files, _ := pages.ReadDir(".")
	topics := make([]string, len(files))
	for i, f := range files {
		topics[i] = strings.TrimSuffix(f.Name(), ".md")
	}
	slices.Sort(topics)
	return topics
}

// Page returns the page of a topic in Markdown, and whether there is one.
func Page(topic string) (string, bool) {
	text, err := pages.ReadFile(topic + ".md")
	return string(text), err == nil
}
