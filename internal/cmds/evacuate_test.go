package cmds

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
)

// Guards against an evacuation that is published in a format which doesn't know it, or that
// can't be ended.
func TestEvacuateCommandPublishesThePatch(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: fakes.NewLog(time.Hour).Handler()}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	p := publisher{log: plat.NewHTTPLog("http://" + listener.Addr().String()), wait: 5 * time.Second}
	if _, err := p.publish(context.Background(), []byte(`{"format":1,"services":{}}`)); err != nil {
		t.Fatal(err)
	}
	p.patch = true
	for _, step := range []struct {
		zone     string
		giveBack bool
		want     int
	}{{"a", false, 1}, {"b", false, 2}, {"a", true, 1}, {"b", true, 0}} {
		if _, err := p.evacuate(context.Background(), step.zone, step.giveBack); err != nil {
			t.Fatal(err)
		}
		fold, err := replayConfig(context.Background(), p.log, 0)
		if err != nil || len(fold.Config.EvacuatedZones) != step.want || fold.Config.Format != 2 {
			t.Errorf("after %+v: %+v, %v", step, fold.Config, err)
		}
	}
}
