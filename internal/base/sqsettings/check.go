package sqsettings

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// namePattern matches the valid names of daemons, data centres and regions: DNS labels
// in lower case.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// requiredFields lists the fields that every file must have, with their checks: the
// names first, then the addresses that the daemon listens on, which checkDistinct
// takes by their position.
var requiredFields = []struct {
	field string
	value func(*Settings) string
	check func(string) error
}{
	{"daemonName", func(s *Settings) string { return string(s.DaemonName) }, checkName},
	{"dataCentre", func(s *Settings) string { return string(s.DataCentre) }, checkName},
	{"region", func(s *Settings) string { return string(s.Region) }, checkName},
	{"callerAddress", func(s *Settings) string { return s.CallerAddress }, checkAddress},
	{"localAddress", func(s *Settings) string { return s.LocalAddress }, checkAddress},
	{"peerAddress", func(s *Settings) string { return s.PeerAddress }, checkPeerAddress},
	{"adminAddress", func(s *Settings) string { return s.AdminAddress }, checkAddress},
}

// check returns all faults of the settings, without their File.
func (s *Settings) check() Faults {
	var faults Faults
	add := func(field string, err error) {
		if err != nil {
			faults = append(faults, Fault{Field: field, Message: err.Error()})
		}
	}
	for _, r := range requiredFields {
		value := r.value(s)
		if value == "" {
			add(r.field, errors.New("is required"))
			continue
		}
		add(r.field, r.check(value))
	}
	if len(s.PlatformAddresses) == 0 {
		add("platformAddresses", errors.New("is required"))
	}
	for i, a := range s.PlatformAddresses {
		add(fmt.Sprintf("platformAddresses[%d]", i), checkAddress(a))
	}
	for i, a := range s.SeedPeers {
		add(fmt.Sprintf("seedPeers[%d]", i), checkAddress(a))
	}
	for i, d := range s.AdminKeyDigests {
		add(fmt.Sprintf("adminKeyDigests[%d]", i), d.Check())
	}
	add("stopTimeout", checkPositive(s.StopTimeout))
	add("staleListsAfter", checkNotNegative(s.StaleListsAfter))
	add("log.level", checkLevel(s.Log.Level))
	if s.LinkBytesPerSecond < 0 {
		add("linkBytesPerSecond", errors.Errorf("%d must not be negative", s.LinkBytesPerSecond))
	}
	add("policy", checkPolicy(s.Policy))
	add("interface", checkInterface(s.Interface))
	if s.Memory.Limit <= 0 {
		add("memory.limit", errors.Errorf("%d must be positive", s.Memory.Limit))
	}
	if s.Memory.GrowthPercent <= 0 {
		add("memory.growthPercent", errors.Errorf("%d must be positive", s.Memory.GrowthPercent))
	}
	if s.Interface == InterfacePlatform {
		s.Platform.check(s.DataCentre, add)
	}
	add("(addresses)", s.checkDistinct())
	return faults
}

// checkDistinct returns an error if two of the addresses that the daemon listens on
// are the same.
func (s *Settings) checkDistinct() error {
	fieldOf := make(map[string]string)
	for _, r := range requiredFields[3:] {
		address := r.value(s)
		if other, ok := fieldOf[address]; ok && address != "" {
			return errors.Errorf("%s and %s are both %s", other, r.field, address)
		}
		fieldOf[address] = r.field
	}
	return nil
}

func checkName(name string) error {
	if !namePattern.MatchString(name) {
		return errors.Errorf("%q must be 1 to 63 lower-case letters, digits and inner hyphens", name)
	}
	return nil
}

func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Errorf("%q is not IP:port", address)
	}
	if a.Port() == 0 {
		return errors.Errorf("%q has port 0", address)
	}
	return nil
}

// checkPeerAddress is checkAddress that also rejects 0.0.0.0 and [::], since peers
// dial the address that the daemon listens on.
func checkPeerAddress(address string) error {
	if err := checkAddress(address); err != nil {
		return err
	}
	if netip.MustParseAddrPort(address).Addr().IsUnspecified() {
		return errors.Errorf("%q must be an address that peers can reach", address)
	}
	return nil
}

func checkPositive(s Span) error {
	if s <= 0 {
		return errors.Errorf("%v must be positive", time.Duration(s))
	}
	return nil
}

func checkNotNegative(s Span) error {
	if s < 0 {
		return errors.Errorf("%v must not be negative", time.Duration(s))
	}
	return nil
}

// checkAmount returns an error unless v is a finite number of at least 0.
func checkAmount(v float64) error {
	if !(v >= 0) || math.IsInf(v, 1) {
		return errors.Errorf("%v must be a number of at least 0", v)
	}
	return nil
}

func checkLevel(level string) error {
	switch level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return errors.Errorf("%q is none of debug, info, warn, error", level)
}

func checkPolicy(p Policy) error {
	switch p {
	case PolicyFull, PolicyFixed, PolicyNone:
		return nil
	}
	return errors.Errorf("%q is none of full, fixed, none", p)
}

func checkInterface(i Interface) error {
	switch i {
	case InterfaceNative, InterfacePlatform:
		return nil
	}
	return errors.Errorf("%q is none of native, platform", i)
}

// check adds the faults of the platform's settings, for a daemon of data centre dc.
func (p *Platform) check(dc sqid.DataCentreID, add func(field string, err error)) {
	add("platform.readyAddress", checkAddress(p.ReadyAddress))
	add("platform.targetAddress", checkAddress(p.TargetAddress))
	add("platform.announceEvery", checkPositive(p.AnnounceEvery))
	add("platform.retry.window", checkPositive(p.Retry.Window))
	if p.Service == "" {
		add("platform.service", errors.New("is required"))
	}
	if p.WatchersPerRegion < 1 {
		add("platform.watchersPerRegion", errors.Errorf("%d must be at least 1", p.WatchersPerRegion))
	}
	add("platform.retry.ratio", checkAmount(p.Retry.Ratio))
	add("platform.retry.slack", checkAmount(p.Retry.Slack))
	if _, ok := p.DataCentres[dc]; !ok {
		add("platform.dataCentres", errors.Errorf("must contain this daemon's data centre %q", dc))
	}
}
