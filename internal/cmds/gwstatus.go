package cmds

import (
	"fmt"
	"strings"
	"time"

	"dogwoodfold/internal/edge"
)

// noValue stands in a table for what isn't known or doesn't apply.
const noValue = "-"

// gatewayRows returns the rows of the tables of a gateway, with tabs between the cells.
func gatewayRows(s edge.Status) []string {
	rows := []string{
		fmt.Sprintf("gateway %s\tzone %s\tready %v\tstopping %v\trunning %d\twaiting %d",
			s.Host, s.Zone, s.Ready, s.Stopping, s.Running, s.Waiting),
		"BELIEF\tVALUE\tAGE",
		fmt.Sprintf("leader\t%s\t%s", leaderText(s), ageText(s.LeaseAgeMs)),
		fmt.Sprintf("members\t%d, standing share %.3f\t%s", s.Members, s.Share, noValue),
		fmt.Sprintf("configuration\tversion %d\t%s", s.ConfigVersion, ageText(s.ConfigAgeMs)),
		fmt.Sprintf("registry\t%d endpoints\t%s", len(s.Endpoints), ageText(s.RegistryAgeMs)),
		fmt.Sprintf("settings\t%s\tsince %s", s.Settings.File, s.Settings.Since.Format(time.RFC3339)),
		"ENDPOINT\tSERVICE\tZONE\tVERSION\tSTATE\tRUNNING\tSLOTS\tLOAD AGE\tLIMIT/S\tMODELS\tMODELS AGE",
	}
	for _, ep := range s.Endpoints {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s",
			ep.ID, ep.Service, ep.Zone, ep.SoftwareVersion, ep.State, ep.Running, ep.Slots,
			ageText(ep.LoadAgeMs), limitText(ep.LimitPerSecond), modelsText(ep.Models), ageText(ep.ModelsAgeMs)))
	}
	if len(s.Quarantines) > 0 {
		rows = append(rows, "QUARANTINE\tENDS IN\tDURATION")
	}
	for _, q := range s.Quarantines {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", q.Part, ageText(q.RemainingMs), ageText(q.DurationMs)))
	}
	return rows
}

// leaderText tells whom a gateway follows.
func leaderText(s edge.Status) string {
	switch {
	case s.Leads:
		return "leads"
	case s.Leader == "":
		return "none"
	case s.Connected:
		return "follows " + s.Leader
	default:
		return "follows " + s.Leader + ", no session"
	}
}

// ageText returns an age or a time in milliseconds as text. Negative ages aren't known.
func ageText(ms int64) string {
	if ms < 0 {
		return noValue
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// limitText returns a limit in requests per second as text.
func limitText(perSecond float64) string {
	if perSecond == 0 {
		return noValue
	}
	return fmt.Sprintf("%.2f", perSecond)
}

// modelsText returns the names of models as text.
func modelsText(models []string) string {
	if len(models) == 0 {
		return noValue
	}
	return strings.Join(models, ",")
}
