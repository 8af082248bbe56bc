package entry

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/valyala/fasthttp"

	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Created is always 0: the configuration doesn't say when a model was created.
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that the customer may use.
func (s *Server) serveModels(ctx *fasthttp.RequestCtx) {
	snapshot := s.index.Load()
	if snapshot == nil {
		writeError(ctx, fault.New(fault.NotRun, fault.CodeNotReady, "this entry has no configuration yet"))
		return
	}
	list, err := listModels(snapshot, presentedKey(ctx))
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, list)
}

// listModels returns the models and adapters that the customer of an API key
// may use.
func listModels(index *config.Index, key []byte) (modelList, error) {
	list := modelList{
		Object: "list",
		Data:   []modelItem{},
	}
	customer, ok := index.Customer(config.DigestKey(key))
	if !ok {
		return list, fault.New(fault.NotRun, fault.CodeBadKey, "the key is not valid")
	}
	permissions := index.Config.Customers[customer]
	for _, name := range slices.Sorted(maps.Keys(index.Config.Models)) {
		model := index.Config.Models[name]
		if !permissions.MayCall(model.Service) || !permissions.MayUse(name) {
			continue
		}
		list.add(name, model.Service)
		for _, adapter := range slices.Sorted(maps.Keys(model.Adapters)) {
			list.add(name+":"+adapter, model.Service)
		}
	}
	return list, nil
}

func (l *modelList) add(id, service string) {
	l.Data = append(l.Data, modelItem{
		ID:      id,
		Object:  "model",
		OwnedBy: service,
	})
}

// writeJSON writes a value as a JSON response.
func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeError(ctx, fault.Wrap(err, fault.NotRun, fault.CodeInternal))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
