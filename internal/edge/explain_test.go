package edge

import (
	"net/netip"
	"net/url"
	"reflect"
	"testing"

	"dogwoodfold/internal/gate"
	"dogwoodfold/platform"
)

// Guards against a leader that explains another request than the follower was asked about:
// only that one can compute the hashes by which the leader knows the parts of its prompts.
func TestLeaderIsAskedAboutTheSameRequest(t *testing.T) {
	values, err := url.ParseQuery("service=llm&model=m&adapter=a&promptParts=sys:350,own:1110&outputTokens=57&customer=acme")
	if err != nil {
		t.Fatal(err)
	}
	query, err := decodeExplainQuery(values)
	if err != nil {
		t.Fatal(err)
	}
	if query.PromptTokens != 1460 || len(query.PromptParts) != 2 || query.PromptParts[1].Hash == 0 || query.Rank != gate.RankOfRoute {
		t.Errorf("query %+v, want two parts of 1460 tokens and the rank of the route", query)
	}
	asked := query
	asked.Rank, asked.Zone, asked.ForOther, asked.Avoid, asked.TokensHeld = 2, "b", true, []string{"llm-1", "llm-2"}, 350.5
	asked.PromptParts[1].Hash++ // as of a process with another seed
	values, err = url.ParseQuery(encodeLeaderQuery(values, asked))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeExplainQuery(values); err != nil || !reflect.DeepEqual(got, asked) {
		t.Errorf("the leader reads %+v, error %v; want %+v", got, err, asked)
	}
}

func TestFaultyExplainQueriesAreRejected(t *testing.T) {
	for _, query := range []string{"servise=llm", "service=a&service=b", "rank=-1", "promptTokens=x", "promptParts=a", "partHashes=x"} {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decodeExplainQuery(values); err == nil {
			t.Errorf("%s: query %+v, want an error", query, got)
		}
	}
}

func TestLeaderMetricsAddr(t *testing.T) {
	s := &Server{settings: &platform.Settings{
		PeerAddr: netip.MustParseAddrPort("10.0.0.1:7600"), MetricsAddr: netip.MustParseAddrPort("10.0.0.1:7699"),
	}}
	if got := s.leaderMetricsAddr(netip.MustParseAddrPort("10.0.0.2:7600")).String(); got != "10.0.0.2:7699" {
		t.Errorf("the leader's metrics listener is at %s, want the port of this entry's", got)
	}
}
