package sqlog

import (
	"encoding/json"
	"time"
)

// lostLine returns a log line that says that n lines were dropped because the log
// was read too slowly, or nil if it can't be encoded.
func lostLine(n int) []byte {
	line, err := json.Marshal(struct {
		Time  time.Time `json:"time"`
		Level string    `json:"level"`
		Msg   string    `json:"msg"`
		Count int       `json:"count"`
	}{time.Now(), "WARN", "lines lost: the log is read too slowly", n})
	if err != nil {
		return nil
	}
	return append(line, '\n')
}
