package trace

import (
	"errors"
	"os"
	"strings"
	"testing"
)

const testLogs = `{"level":"info","host":"front-1","subject":"off","time":"2026-12-04T10:00:01.500Z","message":"gate: reads the store itself"}
 12.5 front-2 {"level":"info","host":"front-2","endpoint":"e1","load":true,"model":"m","result":"accepted","time":"2026-12-04T10:00:02.000Z","message":"orders: answered"}
{"level":"info","host":"front-2","endpoint":"e9","model":"other","time":"2026-12-04T10:00:02.000Z","message":"orders: answered"}
{"level":"info","host":"front-1","request":"r1","model":"m","status":503,"reason":"overloaded","tookMs":250,"time":"2026-12-04T10:00:03.250Z","message":"requests: ended"}
{"level":"info","host":"front-1","request":"r2","model":"m","status":200,"tookMs":10,"time":"2026-12-04T10:00:03.100Z","message":"requests: ended"}
not a line
{"level":"info","host":"front-1","time":"2026-12-04T09:59:00.000Z","message":"entry: starting"}
`

func Example() {
	lines, _, err := Read(strings.NewReader(testLogs))
	if err != nil {
		panic(err)
	}
	timeline, err := Find(lines, "r1")
	if err != nil {
		panic(err)
	}
	_ = timeline.Print(os.Stdout)
	// Output:
	// request r1, read at 2026-12-04T10:00:03.000Z by front-1
	//    -1.500 s  front-1  gate: reads the store itself  subject=off
	//    -1.000 s  front-2  orders: answered  endpoint=e1  load=true  model=m  result=accepted
	//    +0.250 s  front-1  requests: ended  model=m  reason=overloaded  request=r1  status=503  tookMs=250
}

func TestUnreadableLinesAreCounted(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(testLogs))
	if err != nil || len(lines) != 6 || skipped != 1 {
		t.Errorf("%d lines, %d skipped, %v; want 6 and 1", len(lines), skipped, err)
	}
	if _, err := Find(lines, "r3"); !errors.Is(err, ErrRequestNotFound) {
		t.Errorf("Find of an unknown request: error %v, want ErrRequestNotFound", err)
	}
}
