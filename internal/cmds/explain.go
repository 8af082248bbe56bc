package cmds

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/edge"
	"dogwoodfold/internal/gate"
)

// explanation is what the tables show of the answer of a gateway. Times are in milliseconds.
type explanation struct {
	Host     string
	Zone     string
	Service  string
	Model    string
	Adapter  string
	Route    string
	Rank     int
	Customer string
	Leads    bool
	Leader   string

	ObjectiveMs      float64
	LeaderAddress    string
	LeaderQuery      string
	ConfigVersion    int64
	ConfigAgeMs      int64
	RegistryAgeMs    int64
	LeaderStateAgeMs int64
	Outcome          gate.ExplainedOutcome
	Detail           string
	Endpoint         string
	AfterMs          float64
	CostJitterMs     float64
	Rate             rateExplanation
	Options          []endpointOption
}

type rateExplanation struct {
	Outcome       gate.RateOutcome
	Detail        string
	Cost          float64
	Level         float64
	WaitingCost   float64
	Pool          *float64
	RatePerSecond float64
	RetryAfterMs  float64
}

type endpointOption struct {
	edge.EndpointStatus
	Exclusion    string
	Terms        []costTerm
	EstimateMs   float64
	CostMs       float64
	CachedTokens int
	Near         bool
}

type costTerm struct {
	Name string
	Ms   float64
}

// newExplainCommand returns the command that prints where a gateway would send a request.
func newExplainCommand() *cobra.Command {
	var address netip.AddrPort
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain --address IP:PORT --service NAME [--model NAME]",
		Short: "Show where a gateway would send a request now, and why, without sending it",
		Long: "Show where a gateway would send a request now, and why, without sending it: the endpoints\n" +
			"with the terms of their costs, what excludes them, what the customer's rate limit would\n" +
			"decide, and how old the data are. If the leader assigns the request, it is asked, too.",
		Args: cobra.NoArgs,
	}
	cmd.Flags().TextVar(&address, "address", netip.AddrPort{}, "metrics listener of the gateway (IP:PORT)")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	query := addExplainFlags(cmd)
	_ = cmd.MarkFlagRequired("address") // the flag exists
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return explain(cmd, address.String(), query(), asJSON)
	}
	return cmd
}

// explainFlags are the flags that describe a request, by the parameter that each of them sets.
var explainFlags = []struct{ flag, param, usage string }{
	{"service", "service", "service of the request"},
	{"host", "host", "host of the request, with --path in place of --service"},
	{"path", "path", "path of the request"},
	{"model", "model", "model, for services with engines"},
	{"adapter", "adapter", "adapter of the model"},
	{"prompt-parts", "promptParts", "parts of the prompt, as in X-Prompt-Prefix (ID:TOKENS,...)"},
	{"prompt-tokens", "promptTokens", "length of the prompt (default: the sum of its parts)"},
	{"output-tokens", "outputTokens", "maximum output tokens"},
	{"customer", "customer", "customer whose rate limit is explained"},
	{"rank", "rank", "priority, 0 is the most urgent (default: that of the route)"},
	{"zone", "zone", "availability zone of the entry (default: that of the gateway)"},
}

// addExplainFlags adds the flags that describe a request. The result returns the parameters of
// those that are set.
func addExplainFlags(cmd *cobra.Command) func() url.Values {
	for _, f := range explainFlags {
		cmd.Flags().String(f.flag, "", f.usage)
	}
	return func() url.Values {
		query := url.Values{}
		for _, f := range explainFlags {
			if set := cmd.Flags().Lookup(f.flag); set.Changed {
				query.Set(f.param, set.Value.String())
			}
		}
		return query
	}
}

// explain prints the explanation of the gateway at an address and, if that one names a leader to
// ask, of the leader.
func explain(cmd *cobra.Command, address string, query url.Values, asJSON bool) error {
	own, ownBody, err := fetchExplanation(address, query.Encode())
	if err != nil {
		return err
	}
	if own.LeaderAddress == "" {
		return printExplanations(cmd.OutOrStdout(), asJSON, own, ownBody, nil, nil)
	}
	leader, leaderBody, err := fetchExplanation(own.LeaderAddress, own.LeaderQuery)
	if err == nil && !leader.Leads {
		err = fmt.Errorf("%s doesn't lead any more", leader.Host)
	}
	if err != nil {
		printErr := printExplanations(cmd.OutOrStdout(), asJSON, own, ownBody, nil, nil)
		return cmp.Or(printErr, fmt.Errorf("the leader %s decides, but wasn't asked: %w", own.Leader, err))
	}
	return printExplanations(cmd.OutOrStdout(), asJSON, own, ownBody, leader, leaderBody)
}

// fetchExplanation returns the explanation of the gateway at an address, also as it was received.
func fetchExplanation(address, query string) (*explanation, json.RawMessage, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+edge.PathExplain+"?"+query, adminTimeout)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", address, err)
	}
	if status != fasthttp.StatusOK {
		return nil, nil, fmt.Errorf("%s: %s", address, strings.TrimSpace(string(body)))
	}
	var x explanation
	if err := json.Unmarshal(body, &x); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", address, err)
	}
	return &x, body, nil
}

// printExplanations prints the explanations of an entry and of its leader, which is nil if it
// wasn't asked.
func printExplanations(
	w io.Writer, asJSON bool, own *explanation, ownBody json.RawMessage, leader *explanation, leaderBody json.RawMessage,
) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(struct {
			Entry  json.RawMessage `json:"entry"`
			Leader json.RawMessage `json:"leader"`
		}{
			Entry:  ownBody,
			Leader: leaderBody,
		})
	}
	if leader == nil {
		return printTables(w, summaryRows(own), optionRows(own))
	}
	decides := []string{fmt.Sprintf("The leader %s decides:", leader.Host)}
	return printTables(w, summaryRows(own), decides, summaryRows(leader), optionRows(leader))
}

// printTables prints tables with an empty line between two of them.
func printTables(w io.Writer, tables ...[]string) error {
	for i, rows := range tables {
		if i > 0 {
			if _, err := fmt.Fprintln(w); err != nil {
				return err
			}
		}
		if err := printRows(w, rows); err != nil {
			return err
		}
	}
	return nil
}

// summaryRows returns the rows that tell what an entry decides on a request, and on which data.
func summaryRows(x *explanation) []string {
	role := "without a leader"
	switch {
	case x.Leads:
		role = "leads"
	case x.Leader != "":
		role = "follows " + x.Leader
	}
	return []string{
		"QUESTION\tANSWER\tAGE OF DATA",
		fmt.Sprintf("entry\t%s, zone %s, %s\t%s", x.Host, x.Zone, role, leaderStateAge(x)),
		fmt.Sprintf("request\tservice %s, route %s, rank %d, model %s, objective %s\t%s",
			x.Service, cmp.Or(x.Route, noValue), x.Rank, modelName(x), milliseconds(x.ObjectiveMs), noValue),
		fmt.Sprintf("configuration\tversion %d\t%s", x.ConfigVersion, ageText(x.ConfigAgeMs)),
		fmt.Sprintf("registry\t%d endpoints of the service\t%s", len(x.Options), ageText(x.RegistryAgeMs)),
		fmt.Sprintf("rate limit\t%s\t%s", rateText(x), noValue),
		fmt.Sprintf("decision\t%s\t%s", decisionText(x), noValue),
	}
}

// leaderStateAge returns the age of the leader's last state as text. A leader has none.
func leaderStateAge(x *explanation) string {
	if x.Leads {
		return noValue
	}
	return ageText(x.LeaderStateAgeMs)
}

func modelName(x *explanation) string {
	if x.Adapter != "" {
		return x.Model + "/" + x.Adapter
	}
	return cmp.Or(x.Model, noValue)
}

// rateText tells what the rate limit decides.
func rateText(x *explanation) string {
	r := x.Rate
	if x.Customer == "" || r.RatePerSecond == 0 {
		return string(r.Outcome)
	}
	text := fmt.Sprintf("%s: %s costs %.0f tokens of %.0f held by the entry", r.Outcome, x.Customer, r.Cost, r.Level)
	if r.Pool != nil {
		text += fmt.Sprintf(" and %.0f in the pool", *r.Pool)
	}
	if r.WaitingCost > 0 {
		text += fmt.Sprintf(", after %.0f for waiting requests", r.WaitingCost)
	}
	text += fmt.Sprintf(", rate %.0f/s", r.RatePerSecond)
	if r.Detail != "" {
		text += ", " + r.Detail
	}
	if r.RetryAfterMs > 0 {
		text += ", retry after " + milliseconds(r.RetryAfterMs)
	}
	return text
}

// decisionText tells what becomes of the request.
func decisionText(x *explanation) string {
	text := string(x.Outcome)
	if x.Endpoint != "" {
		text += " to " + x.Endpoint
	}
	if x.AfterMs > 0 {
		text += " after " + milliseconds(x.AfterMs)
	}
	if x.Detail != "" {
		text += ": " + x.Detail
	}
	if x.CostJitterMs > 0 && x.Endpoint != "" {
		text += fmt.Sprintf(" (the cost has a random part below %s)", milliseconds(x.CostJitterMs))
	}
	return text
}

// optionRows returns the rows of the table of endpoints.
func optionRows(x *explanation) []string {
	var names []string
	for _, o := range x.Options {
		if len(o.Terms) > len(names) {
			names = nil
			for _, t := range o.Terms {
				names = append(names, t.Name)
			}
		}
	}
	rows := []string{"ENDPOINT\tZONE\tVERSION\tRUNNING\tLOAD AGE\tMODELS AGE\tCACHED\t" +
		strings.ToUpper(strings.Join(append(names, "estimate", "cost", "choice"), "\t"))}
	for _, o := range x.Options {
		cells := []string{o.ID, o.Zone, cmp.Or(o.SoftwareVersion, noValue), fmt.Sprintf("%d/%d", o.Running, o.Slots),
			ageText(o.LoadAgeMs), ageText(o.ModelsAgeMs), strconv.Itoa(o.CachedTokens)}
		for _, name := range names {
			cells = append(cells, termText(o, name))
		}
		estimate, cost := noValue, noValue
		if len(o.Terms) > 0 {
			estimate, cost = milliseconds(o.EstimateMs), milliseconds(o.CostMs)
		}
		rows = append(rows, strings.Join(append(cells, estimate, cost, choiceText(x, o)), "\t"))
	}
	return rows
}

// termText returns a term of an endpoint's cost as text.
func termText(o endpointOption, name string) string {
	for _, t := range o.Terms {
		if t.Name == name {
			return milliseconds(t.Ms)
		}
	}
	return noValue
}

// choiceText tells whether an endpoint is the chosen one or why it isn't.
func choiceText(x *explanation, o endpointOption) string {
	switch {
	case o.ID == x.Endpoint:
		return "chosen"
	case o.Exclusion != "":
		return o.Exclusion
	case o.Near:
		return "as likely"
	default:
		return noValue
	}
}

// milliseconds returns a time in milliseconds as text.
func milliseconds(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}
