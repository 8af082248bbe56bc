package demo

import (
	"encoding/json"
	"fmt"

	"dogwoodfold/pkg/config"
)

// Customer is a customer of the demo fleet with its API key.
type Customer struct {
	Name string
	Key  string
}

// Customers returns the customers of the demo fleet.
func Customers() []Customer {
	return []Customer{
		{
			Name: "booth-tablets",
			Key:  "demo-key-booth",
		},
		{
			Name: "troupe-leaders",
			Key:  "demo-key-troupe",
		},
	}
}

const configFormat = `{
 "format": 1,
 "services": {
  "lengua": {"kind": "model", "target": {"firstToken": "1.2s", "betweenTokens": "49ms", "objective": 0.95}},
  "pedidos": {"kind": "plain", "target": {"firstToken": "500ms", "objective": 0.99}}
 },
 "models": {
  "lengua-01": {
   "service": "lengua", "version": "v1",
   "versions": {"v1": {"memoryBytes": 8589934592}},
   "adapters": {"big-tour": {"memoryBytes": 268435456}}
  }
 },
 "customers": {
  "booth-tablets": {
   "keys": {"first": {"sha256": %q}},
   "ratePerSecond": 2000, "burstTokens": 40000, "services": ["lengua", "pedidos"]
  },
  "troupe-leaders": {
   "keys": {"first": {"sha256": %q}},
   "ratePerSecond": 10, "burstTokens": 200, "services": ["lengua"]
  }
 },
 "routes": {
  "chat": {
   "path": "/v1/chat/completions", "methods": ["POST"], "service": "lengua",
   "access": "keyed", "idempotent": true, "priority": "interactive", "timeout": "30s"
  },
  "stock": {
   "path": "/pedidos/stock", "methods": ["GET"], "service": "pedidos",
   "access": "open", "idempotent": true, "priority": "interactive", "query": ["sku"], "timeout": "5s"
  },
  "charge": {
   "path": "/pedidos/charges", "methods": ["POST"], "service": "pedidos",
   "access": "keyed", "idempotent": false, "priority": "interactive", "tokensPerCall": 5, "timeout": "10s"
  }
 }
}`

// demoConfig returns the configuration of the demo fleet.
func demoConfig() json.RawMessage {
	var digests []any
	for _, c := range Customers() {
		digests = append(digests, config.DigestKey([]byte(c.Key)).String())
	}
	return fmt.Appendf(nil, configFormat, digests...)
}

// keyWithdrawalPatch is the merge patch that revokes the second customer's key.
const keyWithdrawalPatch = `{"customers": {"troupe-leaders": {"keys": {"first": null}}}}`
