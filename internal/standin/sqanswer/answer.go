// Package sqanswer has answers of targets in trouble, byte for byte, beside sound ones that
// differ little from them.
package sqanswer

import (
	_ "embed"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Answer is an answer to the request with the id 1.
type Answer struct {
	// Name says what is special about the answer.
	Name string
	// Text is the whole answer with its informational ones. Its header Id has the request's id.
	Text string
	// Sound answers have the body "whole" and the header X-Name with Value. The others must
	// not be taken for an answer.
	Sound bool
	Value string
}

// EndsWithConn reports whether the answer has neither a length nor chunks.
func (a Answer) EndsWithConn() bool {
	return !strings.Contains(a.Text, "Content-Length") && !strings.Contains(a.Text, "Transfer-Encoding")
}

// Closing returns the text of a sound answer with the word that its connection is closed after
// it.
func (a Answer) Closing() string {
	return strings.Replace(a.Text, "Id: 1", "Connection: close\r\nId: 1", 1)
}

// WithBody returns the text of the answer with another body than "whole", and its length.
func (a Answer) WithBody(body string) string {
	length := strconv.Itoa(len(body))
	return strings.NewReplacer(
		"5\r\nwhole", strconv.FormatInt(int64(len(body)), 16)+"\r\n"+body, "whole", body,
		"Content-Length: 5", "Content-Length: "+length, "Content-Length : 5", "Content-Length : "+length,
	).Replace(a.Text)
}

//go:embed heads.txt
var heads string

// Heads returns the answers in heads.txt, which says what the columns are.
func Heads() ([]Answer, error) {
	var all []Answer
	for line := range strings.Lines(heads) {
		line = strings.TrimSuffix(line, "\n")
		if line == "" || line[0] == '#' {
			continue
		}
		a, err := parse(strings.Split(line, "\t"))
		if err != nil {
			return nil, errors.Wrapf(err, "answer %q", line)
		}
		all = append(all, a)
	}
	return all, nil
}

func parse(columns []string) (Answer, error) {
	const brokenColumns, soundColumns = 3, 4
	a := Answer{Sound: columns[0] == "sound"}
	switch {
	case a.Sound && len(columns) != soundColumns:
		return a, errors.Errorf("%d columns, want %d", len(columns), soundColumns)
	case !a.Sound && (columns[0] != "broken" || len(columns) != brokenColumns):
		return a, errors.Errorf("no verdict, or not %d columns", brokenColumns)
	}
	a.Name = columns[1]
	var err error
	if a.Text, err = strconv.Unquote(columns[2]); err != nil {
		return a, errors.Wrap(err, "text")
	}
	if a.Sound {
		if a.Value, err = strconv.Unquote(columns[3]); err != nil {
			return a, errors.Wrap(err, "value")
		}
	}
	return a, nil
}
