package sqfleet

import (
	"bytes"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// daemonSettings holds the fields of a daemon's settings file that a fleet sets.
type daemonSettings struct {
	DaemonName        sqid.DaemonID     `toml:"daemonName"`
	DataCentre        sqid.DataCentreID `toml:"dataCentre"`
	Region            sqid.RegionID     `toml:"region"`
	CallerAddress     string            `toml:"callerAddress"`
	LocalAddress      string            `toml:"localAddress"`
	PeerAddress       string            `toml:"peerAddress"`
	AdminAddress      string            `toml:"adminAddress"`
	PlatformAddresses []string          `toml:"platformAddresses"`
	AdminKeyDigests   []sqid.KeyDigest  `toml:"adminKeyDigests"`
}

// settingsText encodes a daemon's settings as TOML and appends extra.
func settingsText(s daemonSettings, extra string) ([]byte, error) {
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(s); err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	b.WriteString(extra)
	return b.Bytes(), nil
}
