package entry

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/valyala/fasthttp"

	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

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
