// Package sqoperator is a client of a daemon's HTTP API for operators.
package sqoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqadmin"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqproblem"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

const (
	callTimeout    = 15 * time.Second
	maxAnswerBytes = 16 << 20
)

var httpClient = &http.Client{Transport: sqheader.CheckedTransport{Transport: &http.Transport{Proxy: http.ProxyFromEnvironment}}}

// Client calls the API of one daemon with an operator's key.
type Client struct {
	// Address is the daemon's adminAddress, as IP:port.
	Address string
	// Key is the operator's key.
	Key string
}

// ProblemError is a problem with which the daemon has answered.
type ProblemError struct {
	sqproblem.Problem
}

// Error returns the problem's title and detail, and its faults on a line each.
func (e *ProblemError) Error() string {
	lines := []string{fmt.Sprintf("%s (%d, %s)", e.Title, e.Status, e.Run)}
	if e.Detail != "" {
		lines[0] += ": " + e.Detail
	}
	for _, f := range e.Faults {
		lines = append(lines, f.Field+": "+f.Message)
	}
	return strings.Join(lines, "\n")
}

// Get returns a list in force, as JSON, and its revision.
func (c *Client) Get(ctx context.Context, k sqlists.Kind) ([]byte, sqid.Revision, error) {
	body, h, err := c.call(ctx, http.MethodGet, "/v1/lists/"+string(k), "", nil)
	if err != nil {
		return nil, 0, err
	}
	revision, err := strconv.ParseUint(strings.Trim(h.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return nil, 0, errors.New("the daemon's answer has no revision")
	}
	return body, sqid.Revision(revision), nil
}

// Put replaces a list if base is the newest revision, and returns the
// revision of the change.
func (c *Client) Put(ctx context.Context, k sqlists.Kind, base sqid.Revision, body []byte) (sqid.Revision, error) {
	match := strconv.Quote(strconv.FormatUint(uint64(base), 10))
	answer, _, err := c.call(ctx, http.MethodPut, "/v1/lists/"+string(k), match, body)
	if err != nil {
		return 0, err
	}
	var accepted sqadmin.Accepted
	if err := json.Unmarshal(answer, &accepted); err != nil {
		return 0, errors.Wrap(err, "the daemon's answer")
	}
	return accepted.Revision, nil
}

// Check has the daemon validate lists. The list in force stands in for one that is nil.
func (c *Client) Check(ctx context.Context, workspaces, plans []byte) error {
	body, err := json.Marshal(sqadmin.Check{Workspaces: workspaces, Plans: plans})
	if err != nil {
		return errors.Wrap(err, "list is not valid JSON")
	}
	_, _, err = c.call(ctx, http.MethodPost, "/v1/lists/check", "", body)
	return err
}

// Status returns the daemon's state.
func (c *Client) Status(ctx context.Context) (sqadmin.Status, error) {
	var s sqadmin.Status
	answer, _, err := c.call(ctx, http.MethodGet, "/v1/status", "", nil)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(answer, &s); err != nil {
		return s, errors.Wrap(err, "the daemon's answer")
	}
	return s, nil
}

func (c *Client) call(ctx context.Context, method, path, match string, body []byte) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "admin address")
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	resp, err := httpClient.Do(r)
	if err != nil {
		return nil, nil, &sqerror.Error{Step: sqerror.StepAdmin, Peer: sqid.DaemonID(c.Address), Err: err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, &sqerror.Error{Step: sqerror.StepAdmin, Peer: sqid.DaemonID(c.Address), Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil, decodeProblem(resp, answer)
	}
	return answer, resp.Header, nil
}

// decodeProblem returns the error for an answer with a status other than 200.
func decodeProblem(resp *http.Response, answer []byte) error {
	var p sqproblem.Problem
	if err := json.Unmarshal(answer, &p); err != nil || p.Status == 0 {
		return errors.Errorf("the daemon answered %s", resp.Status)
	}
	return &ProblemError{Problem: p}
}
