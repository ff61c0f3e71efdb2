package sqsimtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	announceTimeout    = 2 * time.Second
	announceRetryDelay = 100 * time.Millisecond
	// renewalsPerPeriod is the number of renewals within the time that the daemon
	// sets.
	renewalsPerPeriod = 3
	// maxRenewInterval is the longest wait between renewals, so that a restarted
	// daemon soon knows the target again.
	maxRenewInterval = time.Second
)

// announcement is the body of PUT /v1/targets/{name}.
type announcement struct {
	Service  sqid.ServiceID `json:"service"`
	Address  string         `json:"address"`
	Slots    squnit.Slots   `json:"slots"`
	LoadPath string         `json:"loadPath"`
}

// announceResponse is the daemon's answer to an announcement.
type announceResponse struct {
	RenewWithin sqsettings.Span `json:"renewWithin"`
}

// keepAnnounced announces the target to its daemon and renews the announcement
// until ctx ends. It then drains the target, waits for its calls and withdraws
// it.
func (t *Target) keepAnnounced(ctx context.Context) error {
	if t.Config.LocalAddress == "" {
		<-ctx.Done()
		return nil
	}
	for ctx.Err() == nil {
		wait := announceRetryDelay
		if within, err := t.announce(ctx); err == nil {
			wait = min(within/renewalsPerPeriod, maxRenewInterval)
		}
		_ = sqtimer.Sleep(ctx, wait)
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	if err := t.send(stop, http.MethodPost, "/drain", nil, nil); err != nil {
		return errors.Wrap(err, "drain")
	}
	t.waitIdle(stop)
	return t.send(stop, http.MethodDelete, "", nil, nil)
}

// waitIdle waits until no call runs or waits for a slot, or until ctx ends.
func (t *Target) waitIdle(ctx context.Context) {
	_ = sqtimer.Sleep(ctx, minDrainTime)
	for (len(t.slots) > 0 || t.waiting.Load() > 0) && ctx.Err() == nil {
		_ = sqtimer.Sleep(ctx, duplicateDelay)
	}
}

// announce sends an announcement and returns the time within which it must be
// renewed.
func (t *Target) announce(ctx context.Context) (time.Duration, error) {
	slots := t.Config.AnnouncedSlots
	if slots == 0 {
		slots = t.Config.Slots
	}
	body, err := json.Marshal(announcement{
		Service: t.Config.Service, Address: t.Config.Address, Slots: slots, LoadPath: LoadPath,
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode announcement")
	}
	var answer announceResponse
	if err := t.send(ctx, http.MethodPut, "", body, &answer); err != nil {
		return 0, err
	}
	if answer.RenewWithin <= 0 {
		return 0, errors.New("announcement: renewWithin in the daemon's answer is not positive")
	}
	return time.Duration(answer.RenewWithin), nil
}

// send sends a request about the target to its daemon and decodes the answer
// unless answer is nil.
func (t *Target) send(ctx context.Context, method, suffix string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := "http://" + t.Config.LocalAddress + "/v1/targets/" + string(t.Config.Name) + suffix
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announcement")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "announcement")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "announcement")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("announcement: status %d: %s", resp.StatusCode, text)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(text, answer)
}
