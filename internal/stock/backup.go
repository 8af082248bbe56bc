package stock

import (
	"cmp"
	"slices"
	"time"
)

// A model has a second copy at one software version from one of these demands on.
const (
	// minBackupDemand is in seconds of engine time per second.
	minBackupDemand = 0.01
	// minBackupRate is in requests per second.
	minBackupRate = 0.5
)

// backupShortages returns the models whose streams could not go on if one engine ended:
// those without two copies at any software version. A stream goes on only at the version
// that began it. Services that have had one version for long have copies for their demand,
// and no more.
func (p *Planner) backupShortages(now time.Time, s *service) []shortage {
	if !s.versionsMixed() {
		return nil
	}
	engines := s.countVersions()
	var out []shortage
	for _, model := range s.modelNames {
		demandRate := s.demandRate(now, model)
		if demandRate < minBackupDemand && s.requestRate(now, model) < minBackupRate {
			continue
		}
		version, needed := s.backupVersion(model, engines)
		if !needed {
			continue
		}
		out = append(out, shortage{
			model:           model,
			copies:          s.copiesOf(model).total,
			demandRate:      demandRate,
			softwareVersion: version,
			backup:          true,
		})
	}
	slices.SortStableFunc(out, func(a, b shortage) int { return -cmp.Compare(a.demandRate, b.demandRate) })
	return out
}

// versionsMixed reports whether the engines have different software versions, or had lately.
func (s *service) versionsMixed() bool { return s.versionsDiffer || len(s.countVersions()) > 1 }

// countVersions returns the number of usable engines without a limit by software version.
func (s *service) countVersions() map[string]int {
	out := make(map[string]int)
	for _, e := range s.engines {
		if e.usable() && !e.limited {
			out[e.softwareVersion]++
		}
	}
	return out
}

// backupVersion returns the software version at which a model needs another copy to have
// two there: one with a copy if possible, then the one with most engines. It reports false
// if the model has two copies at some version, or if no version has two engines.
func (s *service) backupVersion(model string, engines map[string]int) (version string, needed bool) {
	copies := make(map[string]int)
	for _, e := range s.copiesOf(model).holders {
		if !e.keeps(model) || e.limited {
			continue
		}
		if copies[e.softwareVersion]++; copies[e.softwareVersion] > 1 {
			return "", false
		}
	}
	better := func(a, b string) bool {
		return cmp.Or(cmp.Compare(copies[a], copies[b]), cmp.Compare(engines[a], engines[b]), cmp.Compare(a, b)) > 0
	}
	for candidate, count := range engines {
		if count > 1 && (!needed || better(candidate, version)) {
			version, needed = candidate, true
		}
	}
	return version, needed
}
