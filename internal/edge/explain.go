package edge

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/admin"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/loop"
	"dogwoodfold/internal/pick"
)

// PathExplain is the path of the handler that explains where a request would be sent.
const PathExplain = "/explain"

// Parameters of PathExplain. The last four are those of a query to the leader for another
// entry, which knows the hashes of the parts of the prompt.
const (
	paramService      = "service"
	paramHost         = "host"
	paramPath         = "path"
	paramModel        = "model"
	paramAdapter      = "adapter"
	paramPromptParts  = "promptParts"
	paramPromptTokens = "promptTokens"
	paramOutputTokens = "outputTokens"
	paramCustomer     = "customer"
	paramRank         = "rank"
	paramZone         = "zone"
	paramForOther     = "forOther"
	paramAvoid        = "avoid"
	paramTokensHeld   = "tokensHeld"
	paramPartHashes   = "partHashes"
)

// explainParams are all parameters of PathExplain.
var explainParams = map[string]bool{
	paramService: true, paramHost: true, paramPath: true, paramModel: true, paramAdapter: true, paramPromptParts: true,
	paramPromptTokens: true, paramOutputTokens: true, paramCustomer: true, paramRank: true, paramZone: true,
	paramForOther: true, paramAvoid: true, paramTokensHeld: true, paramPartHashes: true,
}

// explanation is the answer of PathExplain. Times are in milliseconds; ages of unknown data
// are -1.
type explanation struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Route    string `json:"route"`
	Rank     int    `json:"rank"`
	Customer string `json:"customer"`

	ObjectiveMs float64 `json:"objectiveMs"`
	// Leads is true if the entry leads. Leader is the host that leads, LeaderAddress the
	// address of its metrics listener and LeaderQuery what it is to be asked there; they are
	// empty if nobody leads or the leader isn't to be asked.
	Leads         bool   `json:"leads"`
	Leader        string `json:"leader"`
	LeaderAddress string `json:"leaderAddress"`
	LeaderQuery   string `json:"leaderQuery"`

	ConfigVersion    int64 `json:"configVersion"`
	ConfigAgeMs      int64 `json:"configAgeMs"`
	RegistryAgeMs    int64 `json:"registryAgeMs"`
	LeaderStateAgeMs int64 `json:"leaderStateAgeMs"`

	Outcome      gate.ExplainedOutcome `json:"outcome"`
	Detail       string                `json:"detail"`
	Endpoint     string                `json:"endpoint"`
	AfterMs      float64               `json:"afterMs"`
	CostJitterMs float64               `json:"costJitterMs"`
	Rate         rateExplanation       `json:"rate"`
	Options      []endpointOption      `json:"options"`
}

// rateExplanation tells what the customer's rate limit would decide. Pool is null if the entry
// doesn't know it.
type rateExplanation struct {
	Outcome       gate.RateOutcome `json:"outcome"`
	Detail        string           `json:"detail"`
	Cost          float64          `json:"cost"`
	Level         float64          `json:"level"`
	WaitingCost   float64          `json:"waitingCost"`
	Pool          *float64         `json:"pool"`
	RatePerSecond float64          `json:"ratePerSecond"`
	Burst         float64          `json:"burst"`
	Share         float64          `json:"share"`
	RetryAfterMs  float64          `json:"retryAfterMs"`
}

// endpointOption is an endpoint of the service. Exclusion is empty if it may run the request.
type endpointOption struct {
	EndpointStatus
	Exclusion    gate.Exclusion `json:"exclusion"`
	Terms        []costTerm     `json:"terms"`
	EstimateMs   float64        `json:"estimateMs"`
	CostMs       float64        `json:"costMs"`
	CachedTokens int            `json:"cachedTokens"`
	Near         bool           `json:"near"`
}

// costTerm is a part of an endpoint's cost.
type costTerm struct {
	Name string  `json:"name"`
	Ms   float64 `json:"ms"`
}

// explain answers where the request of a query would be sent now, and why.
func (s *Server) explain(ctx context.Context, values url.Values) (any, error) {
	query, err := decodeExplainQuery(values)
	if err != nil {
		return nil, &admin.StatusError{Status: fasthttp.StatusBadRequest, Err: err}
	}
	answer, err := loop.Ask(ctx, s.loop, func(reply chan<- gate.Explanation) gate.Event {
		return gate.ExplainRequested{
			Query: query,
			Reply: reply,
		}
	})
	if err != nil {
		return nil, err
	}
	if answer.Err != nil {
		return nil, explainError(answer.Err)
	}
	return s.newExplanation(answer, values), nil
}

// explainError returns an error with its HTTP status.
func explainError(err error) error {
	status := fasthttp.StatusServiceUnavailable
	unknown := (*gate.UnknownNameError)(nil)
	switch {
	case errors.As(err, &unknown):
		status = fasthttp.StatusNotFound
	case errors.Is(err, gate.ErrAmbiguousQuery):
		status = fasthttp.StatusBadRequest
	}
	return &admin.StatusError{
		Status: status,
		Err:    err,
	}
}

// decodeExplainQuery returns the query that parameters describe.
func decodeExplainQuery(values url.Values) (gate.ExplainQuery, error) {
	for name, list := range values {
		if !explainParams[name] || len(list) != 1 {
			return gate.ExplainQuery{}, fmt.Errorf("%s: unknown or repeated parameter", name)
		}
	}
	query := gate.ExplainQuery{
		Service:  values.Get(paramService),
		Host:     strings.ToLower(values.Get(paramHost)),
		Path:     values.Get(paramPath),
		Model:    values.Get(paramModel),
		Adapter:  values.Get(paramAdapter),
		Customer: values.Get(paramCustomer),
		Zone:     values.Get(paramZone),
		ForOther: values.Get(paramForOther) != "",
		Rank:     gate.RankOfRoute,
	}
	if held, err := strconv.ParseFloat(values.Get(paramTokensHeld), 64); err == nil {
		query.TokensHeld = held
	}
	if avoid := values.Get(paramAvoid); avoid != "" {
		query.Avoid = strings.Split(avoid, ",")
	}
	parts := values.Get(paramPromptParts)
	query.PromptParts = decodePromptParts(query.Model+"/"+query.Adapter, parts)
	if given := strings.Count(parts, ",") + 1; parts != "" && len(query.PromptParts) != given {
		return query, fmt.Errorf("%s: %q isn't a list of ID:TOKENS", paramPromptParts, parts)
	}
	query.SharedParts = decodeSharedParts(parts)
	for _, p := range query.PromptParts {
		query.PromptTokens += p.Tokens
	}
	if hashes := values.Get(paramPartHashes); hashes != "" {
		query.PromptParts = nil
		for text := range strings.SplitSeq(hashes, ",") {
			var p pick.PromptPart
			if _, err := fmt.Sscanf(text, partHashFormat, &p.Hash, &p.Tokens); err != nil {
				return query, fmt.Errorf("%s: %w", paramPartHashes, err)
			}
			query.PromptParts = append(query.PromptParts, p)
		}
	}
	for name, field := range map[string]*int{
		paramPromptTokens: &query.PromptTokens, paramOutputTokens: &query.OutputTokens, paramRank: &query.Rank,
	} {
		text := values.Get(name)
		if text == "" {
			continue
		}
		number, err := strconv.Atoi(text)
		if err != nil || number < 0 {
			return query, fmt.Errorf("%s: %q isn't a number of 0 or more", name, text)
		}
		*field = number
	}
	return query, nil
}

// encodeLeaderQuery returns the parameters with which the leader is asked, which are the given
// ones with what only this entry knows.
func encodeLeaderQuery(values url.Values, query gate.ExplainQuery) string {
	out := url.Values{}
	for name := range values {
		out.Set(name, values.Get(name))
	}
	out.Set(paramService, query.Service)
	out.Set(paramZone, query.Zone)
	out.Set(paramRank, strconv.Itoa(query.Rank))
	out.Set(paramForOther, "1")
	out.Set(paramTokensHeld, strconv.FormatFloat(query.TokensHeld, 'f', 1, 64))
	if len(query.Avoid) > 0 {
		out.Set(paramAvoid, strings.Join(query.Avoid, ","))
	}
	hashes := make([]string, 0, len(query.PromptParts))
	for _, p := range query.PromptParts {
		hashes = append(hashes, fmt.Sprintf(partHashFormat, p.Hash, p.Tokens))
	}
	if len(hashes) > 0 {
		out.Set(paramPartHashes, strings.Join(hashes, ","))
	}
	return out.Encode()
}

// partHashFormat is the format of a part of a prompt in the query to the leader. The leader
// knows the parts by the hashes of the entry that has sent them, which no other one can compute.
const partHashFormat = "%x:%d"

// leaderMetricsAddr returns the address of the leader's metrics listener, given where it accepts
// sessions: the two ports are as far apart as those of this entry, as all hosts have the same
// port ranges.
func (s *Server) leaderMetricsAddr(peer netip.AddrPort) netip.AddrPort {
	own := s.settings
	return netip.AddrPortFrom(peer.Addr(), peer.Port()+own.MetricsAddr.Port()-own.PeerAddr.Port())
}

// newExplanation returns the answer to a query with the given parameters.
func (s *Server) newExplanation(x gate.Explanation, values url.Values) explanation {
	out := explanation{
		Host:             x.Host,
		Zone:             x.Zone,
		Service:          x.Service,
		Model:            x.Model,
		Adapter:          x.Adapter,
		Route:            x.Route,
		Rank:             x.Rank,
		Customer:         x.Customer,
		ObjectiveMs:      milliseconds(x.Objective),
		Leads:            x.Leads,
		Leader:           x.Leader,
		ConfigVersion:    x.ConfigVersion,
		ConfigAgeMs:      ageMs(x.Now, x.ConfigAt),
		RegistryAgeMs:    ageMs(x.Now, x.RegistryAt),
		LeaderStateAgeMs: ageMs(x.Now, x.LeaderHeardAt),
		Outcome:          x.Outcome,
		Detail:           x.Detail,
		Endpoint:         x.Endpoint,
		AfterMs:          milliseconds(x.After),
		CostJitterMs:     milliseconds(x.CostJitter),
		Rate:             newRateExplanation(x.Rate),
		Options:          make([]endpointOption, 0, len(x.Options)),
	}
	if x.Outcome == gate.OutcomeAskLeader && x.LeaderAddress.IsValid() {
		out.LeaderAddress = s.leaderMetricsAddr(x.LeaderAddress).String()
		out.LeaderQuery = encodeLeaderQuery(values, x.LeaderQuery)
	}
	for _, o := range x.Options {
		out.Options = append(out.Options, newEndpointOption(x.Now, o))
	}
	return out
}

func newRateExplanation(r gate.RateExplanation) rateExplanation {
	out := rateExplanation{
		Outcome:       r.Outcome,
		Detail:        r.Detail,
		Cost:          r.Cost,
		Level:         r.Level,
		WaitingCost:   r.WaitingCost,
		RatePerSecond: r.RatePerSecond,
		Burst:         r.Burst,
		Share:         r.Share,
		RetryAfterMs:  milliseconds(r.RetryAfter),
	}
	if r.PoolKnown {
		out.Pool = &r.Pool
	}
	return out
}

func newEndpointOption(now time.Time, o gate.EndpointOption) endpointOption {
	out := endpointOption{
		EndpointStatus: newEndpointStatus(now, o.EndpointBelief),
		Exclusion:      o.Exclusion,
		Terms:          make([]costTerm, 0, len(o.Terms)),
		EstimateMs:     milliseconds(o.Estimate),
		CostMs:         milliseconds(o.Cost),
		CachedTokens:   o.CachedTokens,
		Near:           o.Near,
	}
	for _, t := range o.Terms {
		out.Terms = append(out.Terms, costTerm{
			Name: t.Name,
			Ms:   milliseconds(t.Time),
		})
	}
	return out
}

// milliseconds returns a duration in milliseconds, with a resolution of a microsecond.
func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}
